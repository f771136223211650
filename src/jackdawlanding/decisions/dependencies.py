"""Learns from finished calls which services each kind of work calls.

A call whose work nearly always needs a service that is shedding its rank is
refused before it runs: its work would be wasted on an incomplete answer.
"""

import threading

REQUIRED_SHARE = 0.9
# Weight of the newest call in the moving average.
WEIGHT = 0.05
MINIMUM_CALLS = 20


class Dependencies:
    """The share of each work's calls that called each service."""

    def __init__(self):
        self._shares = {}
        self._counts = {}
        self._lock = threading.Lock()

    def record(self, *, work, services):
        """Record a finished call of ``work`` (a name) and the services it called."""
        with self._lock:
            shares = self._shares.setdefault(work, {})
            self._counts[work] = self._counts.get(work, 0) + 1
            for service in {*shares, *services}:
                called = 1.0 if service in services else 0.0
                share = shares.get(service, called)
                shares[service] = share + WEIGHT * (called - share)

    def list_required(self, *, work):
        """Return the services that nearly every call of ``work`` calls.

        There are none until enough calls have been recorded.
        """
        if self._counts.get(work, 0) < MINIMUM_CALLS:
            return ()
        with self._lock:
            return tuple(
                service
                for service, share in self._shares[work].items()
                if share >= REQUIRED_SHARE
            )

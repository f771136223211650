"""Which services a kind of work calls, learned from finished calls.

A call whose work nearly always needs a service that sheds its rank is refused
before it runs, so that no work is done for an answer that can't be whole.
"""

import threading

ALWAYS_SHARE = 0.9
WEIGHT = 0.05
MINIMUM_CALLS = 20


class Dependencies:
    """The share of each work's calls that called each service."""

    def __init__(self):
        self._shares = {}
        self._counts = {}
        self._lock = threading.Lock()

    def record(self, *, work, services):
        """Record a finished call of ``work`` (a name) and what it called."""
        with self._lock:
            shares = self._shares.setdefault(work, {})
            self._counts[work] = self._counts.get(work, 0) + 1
            for service in {*shares, *services}:
                called = 1.0 if service in services else 0.0
                known = shares.get(service, called)
                shares[service] = known + WEIGHT * (called - known)

    def list_required(self, *, work):
        """Return the services that nearly every call of ``work`` calls."""
        if self._counts.get(work, 0) < MINIMUM_CALLS:
            return ()
        with self._lock:
            return tuple(
                service
                for service, share in self._shares[work].items()
                if share >= ALWAYS_SHARE
            )

"""Requests that were in flight when a backend server died.

Each is a suspect with one death. A suspect that may be repeated is tried once
more, alone, on one instance chosen by its fingerprint; after a second death it
is refused by every daemon of the service for a while. A once-only request is
refused after its first death. A suspect that runs is cleared.
"""

import threading
import typing

from jackdawlanding.decisions import rendezvous

MAXIMUM_DEATHS = 2
HOLD_SECONDS = 600.0
CAPACITY = 4096


class Suspect(typing.NamedTuple):
    """A suspect: its deaths and when it is forgotten, in seconds."""

    deaths: int
    until: float


class Quarantine:
    """The suspects that a daemon knows of, its own and told ones.

    :param hold_seconds: how long a suspect is remembered.
    """

    def __init__(self, *, hold_seconds=HOLD_SECONDS, capacity=CAPACITY):
        self.hold_seconds = hold_seconds
        self.capacity = capacity
        self._suspects = {}
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._suspects)

    def count_deaths(self, *, now, fingerprint):
        """Return how many deaths are held against a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.until <= now:
            return 0
        return suspect.deaths

    def is_refused(self, *, now, fingerprint, once_only):
        """Return whether a request must not run any more."""
        most = 1 if once_only else MAXIMUM_DEATHS
        return self.count_deaths(now=now, fingerprint=fingerprint) >= most

    def record_death(self, *, now, fingerprint):
        """Hold one more death against a request; return its count."""
        deaths = self.count_deaths(now=now, fingerprint=fingerprint) + 1
        self._put(now, fingerprint, deaths, self.hold_seconds)
        return deaths

    def learn(self, *, now, fingerprint, deaths, left):
        """Take in what a peer tells; return whether it was new."""
        if deaths <= self.count_deaths(now=now, fingerprint=fingerprint):
            return False
        self._put(now, fingerprint, deaths, min(left, self.hold_seconds))
        return True

    def clear(self, *, fingerprint):
        """Forget a suspect that ran; return whether it was one."""
        with self._lock:
            return self._suspects.pop(fingerprint, None) is not None

    def export(self, *, now):
        """Return ``(fingerprint, deaths, seconds left)`` of each suspect."""
        with self._lock:
            items = list(self._suspects.items())
        return [
            (fingerprint, one.deaths, one.until - now)
            for fingerprint, one in items
            if one.until > now
        ]

    def _put(self, now, fingerprint, deaths, left):
        with self._lock:
            self._suspects.pop(fingerprint, None)
            if len(self._suspects) >= self.capacity:
                self._drop_one(now)
            self._suspects[fingerprint] = Suspect(deaths=deaths, until=now + left)

    def _drop_one(self, now):
        """Drop an expired suspect, else the oldest one with the fewest deaths."""
        victim = min(
            self._suspects,
            key=lambda one: (
                self._suspects[one].until > now,
                self._suspects[one].deaths,
            ),
        )
        del self._suspects[victim]


def fingerprint(*, service, method, target, key, body):
    """Return the digest by which a repeated request is known."""
    return rendezvous.digest(service, method, target, key, body.hex())

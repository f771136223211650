"""Requests that were in flight when a backend server died.

Each is a suspect with one death. A suspect that may be repeated is tried once
more, alone, on one instance chosen by its fingerprint; after a second death it
is refused by every daemon of the service for a while. A once-only request is
refused after its first death. A suspect that runs is cleared.
"""

import threading
import typing

from jackdawlanding.decisions import rendezvous

MAXIMUM_CRASHES = 2
HOLD_SECONDS = 600.0
CAPACITY = 4096


class Suspect(typing.NamedTuple):
    """A suspect: its crashes by who saw them, and when it is forgotten.

    Daemons that see crashes at the same time add up; told counts don't.
    """

    seen: dict
    until: float

    @property
    def crashes(self):
        """All crashes held against it."""
        return sum(self.seen.values())


class Quarantine:
    """The suspects that a daemon knows of, its own and told ones.

    :param retention_seconds: how long a suspect is remembered.
    """

    def __init__(self, *, retention_seconds=HOLD_SECONDS, capacity=CAPACITY):
        self.retention_seconds = retention_seconds
        self.capacity = capacity
        self._suspects = {}
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._suspects)

    def count_crashes(self, *, now, fingerprint):
        """Return how many crashes are held against a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.until <= now:
            return 0
        return suspect.crashes

    def is_refused(self, *, now, fingerprint, once_only):
        """Return whether a request must not run any more."""
        most = 1 if once_only else MAXIMUM_CRASHES
        return self.count_crashes(now=now, fingerprint=fingerprint) >= most

    def record_crash(self, *, now, fingerprint, origin=""):
        """Hold one more death against a request; return its count.

        :param origin: who saw it, where daemons count for themselves.
        """
        seen = self._get_seen(now, fingerprint)
        seen[origin] = seen.get(origin, 0) + 1
        self._put(now, fingerprint, seen, self.retention_seconds)
        return sum(seen.values())

    def merge(self, *, now, fingerprint, crashes, remaining, origin=""):
        """Take in what a peer tells; return whether it was new."""
        seen = self._get_seen(now, fingerprint)
        if crashes <= seen.get(origin, 0):
            return False
        seen[origin] = crashes
        self._put(now, fingerprint, seen, min(remaining, self.retention_seconds))
        return True

    def clear(self, *, fingerprint):
        """Forget a suspect that ran; return whether it was one."""
        with self._lock:
            return self._suspects.pop(fingerprint, None) is not None

    def export(self, *, now):
        """Return ``(fingerprint, crashes, seconds left)`` of each suspect."""
        return [
            (fingerprint, one.crashes, one.until - now)
            for fingerprint, one in self._list_held(now)
        ]

    def export_by_origin(self, *, now):
        """Return ``(fingerprint, origin, crashes, seconds left)`` of each origin."""
        return [
            (fingerprint, origin, crashes, one.until - now)
            for fingerprint, one in self._list_held(now)
            for origin, crashes in one.seen.items()
        ]

    def _list_held(self, now):
        with self._lock:
            items = list(self._suspects.items())
        return [(key, one) for key, one in items if one.until > now]

    def _get_seen(self, now, fingerprint):
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.until <= now:
            return {}
        return dict(suspect.seen)

    def _put(self, now, fingerprint, seen, remaining):
        with self._lock:
            self._suspects.pop(fingerprint, None)
            if len(self._suspects) >= self.capacity:
                self._drop_one(now)
            self._suspects[fingerprint] = Suspect(seen=seen, until=now + remaining)

    def _drop_one(self, now):
        """Drop an expired suspect, else the oldest one with the fewest crashes."""
        victim = min(
            self._suspects,
            key=lambda one: (
                self._suspects[one].until > now,
                self._suspects[one].crashes,
            ),
        )
        del self._suspects[victim]


def make_fingerprint(*, service, method, target, key, body):
    """Return the digest by which a repeated request is known."""
    return rendezvous.digest(service, method, target, key, body.hex())

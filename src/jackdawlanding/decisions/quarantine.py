"""Quarantine of requests that were in flight when a backend server crashed.

Each such request becomes a suspect with one crash. A suspect that may be retried is
tried once more, alone, on one instance chosen by its fingerprint. After a second
crash every daemon of the service refuses it for a while. A once-only request is
refused after its first crash. A suspect that completes is cleared.
"""

import threading
import typing

from jackdawlanding.decisions import rendezvous

MAXIMUM_CRASHES = 2
RETENTION_SECONDS = 600.0
CAPACITY = 4096


class Suspect(typing.NamedTuple):
    """A suspect: its crashes by the daemon that saw them, and when it expires.

    The counts of different daemons add up. The count of one daemon that arrives
    again does not.
    """

    seen: dict
    until: float

    @property
    def crashes(self):
        """Return the crashes that all daemons saw."""
        return sum(self.seen.values())


class Quarantine:
    """The suspects of a daemon, from crashes of its backend server and from peers.

    :param retention_seconds: how long a suspect is remembered.
    :param capacity: most suspects stored.
    """

    def __init__(self, *, retention_seconds=RETENTION_SECONDS, capacity=CAPACITY):
        self.retention_seconds = retention_seconds
        self.capacity = capacity
        self._suspects = {}
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._suspects)

    def count_crashes(self, *, now, fingerprint):
        """Return the number of crashes attributed to a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.until <= now:
            return 0
        return suspect.crashes

    def is_refused(self, *, now, fingerprint, once_only):
        """Return whether a request must not run any more."""
        maximum = 1 if once_only else MAXIMUM_CRASHES
        return self.count_crashes(now=now, fingerprint=fingerprint) >= maximum

    def record_crash(self, *, now, fingerprint, origin=""):
        """Attribute one more crash to a request; return its number of crashes.

        :param origin: the daemon that saw it, where each daemon counts separately.
        """
        seen = self._get_seen(now, fingerprint)
        seen[origin] = seen.get(origin, 0) + 1
        self._put(now, fingerprint, seen, self.retention_seconds)
        return sum(seen.values())

    def merge(self, *, now, fingerprint, crashes, remaining, origin=""):
        """Merge a suspect of a peer; return whether anything was new.

        :param crashes: the number of crashes that ``origin`` saw.
        :param remaining: seconds until the suspect expires at the peer.
        """
        seen = self._get_seen(now, fingerprint)
        if crashes <= seen.get(origin, 0):
            return False
        seen[origin] = crashes
        self._put(now, fingerprint, seen, min(remaining, self.retention_seconds))
        return True

    def clear(self, *, fingerprint):
        """Remove a suspect that completed; return whether it was one."""
        with self._lock:
            return self._suspects.pop(fingerprint, None) is not None

    def export(self, *, now):
        """Return ``(fingerprint, crashes, seconds remaining)`` of each suspect."""
        return [
            (fingerprint, suspect.crashes, suspect.until - now)
            for fingerprint, suspect in self._list_active(now)
        ]

    def export_by_origin(self, *, now):
        """Return each suspect once for each daemon that saw its crashes.

        The items are ``(fingerprint, origin, crashes, seconds remaining)``.
        """
        return [
            (fingerprint, origin, crashes, suspect.until - now)
            for fingerprint, suspect in self._list_active(now)
            for origin, crashes in suspect.seen.items()
        ]

    def _list_active(self, now):
        with self._lock:
            items = list(self._suspects.items())
        return [
            (fingerprint, suspect)
            for fingerprint, suspect in items
            if suspect.until > now
        ]

    def _get_seen(self, now, fingerprint):
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.until <= now:
            return {}
        return dict(suspect.seen)

    def _put(self, now, fingerprint, seen, remaining):
        with self._lock:
            self._suspects.pop(fingerprint, None)
            if len(self._suspects) >= self.capacity:
                self._evict(now)
            self._suspects[fingerprint] = Suspect(seen=seen, until=now + remaining)

    def _evict(self, now):
        """Remove an expired suspect, else the oldest one with the fewest crashes."""
        evicted = min(
            self._suspects,
            key=lambda fingerprint: (
                self._suspects[fingerprint].until > now,
                self._suspects[fingerprint].crashes,
            ),
        )
        del self._suspects[evicted]


def make_fingerprint(*, service, method, target, key, body):
    """Return a 16-byte digest that is the same for all attempts of a request."""
    body_digest = rendezvous.digest_bytes(body).hex()
    return rendezvous.digest(service, method, target, key, body_digest)

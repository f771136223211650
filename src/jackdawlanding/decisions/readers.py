"""Decides which daemons read the store.

The first few by rendezvous hashing read all the time; others take over when the
store's state has not been confirmed for a while.
"""

import bisect

from jackdawlanding.decisions import rendezvous

READER_COUNT = 2
# How long a read waits at the store for changes; the answer confirms the known
# state even when there are none.
WATCH_SECONDS = 1.0
# Least time between two reads of one daemon.
READ_INTERVAL_SECONDS = 0.25
# Other daemons begin to read this long after the last confirmation, one after the
# other.
TAKEOVER_SECONDS = 1.3
STAGGER_SECONDS = 0.1
MAXIMUM_STAGGER_SECONDS = 1.5
# Wait after a failed read, multiplied by the number of failures in a row.
FAILURE_SECONDS = 0.7
MAXIMUM_FAILURE_SECONDS = 3.0
_KEY = b"readers of the store"


class ReaderOrder:
    """Hosts in the order in which their daemons read the store, first the readers.

    Preferred hosts come before all others, which may have no daemon. Adding or removing
    a host takes a time that hardly grows with their number.

    :param hosts: the first hosts, in any order; all are preferred.
    """

    def __init__(self, hosts=()):
        self._weights = {host: _weigh(host, True) for host in hosts}
        # Ascending weights, each with its host.
        self._sorted = sorted(self._weights.values())

    def __len__(self):
        return len(self._sorted)

    def __contains__(self, host):
        return host in self._weights

    @property
    def preferred_count(self):
        """The number of preferred hosts."""
        return len(self._sorted) - bisect.bisect_left(self._sorted, (True,))

    def add(self, host, *, is_preferred=True):
        """Add a host, or move it to its place."""
        weight = _weigh(host, is_preferred)
        known = self._weights.get(host)
        if known == weight:
            return
        if known is not None:
            self.remove(host)
        self._weights[host] = weight
        bisect.insort(self._sorted, weight)

    def remove(self, host):
        """Remove a host."""
        weight = self._weights.pop(host)
        del self._sorted[bisect.bisect_left(self._sorted, weight)]

    def get(self, position):
        """Return the host at a position, 0 first."""
        return self._sorted[-1 - position][-1]

    def compute_position(self, host):
        """Return a host's position; a host that isn't in the order comes last."""
        weight = self._weights.get(host)
        if weight is None:
            return len(self._sorted)
        return len(self._sorted) - 1 - bisect.bisect_left(self._sorted, weight)


def _weigh(host, is_preferred):
    return is_preferred, *rendezvous.weigh(_KEY, host)


def compute_read_delay(*, position, age):
    """Return the seconds until a daemon should read.

    :param position: see :meth:`ReaderOrder.compute_position`.
    :param age: seconds since the store confirmed the daemon's state.
    """
    if position < READER_COUNT:
        return 0.0
    stagger = min(MAXIMUM_STAGGER_SECONDS, (position - READER_COUNT) * STAGGER_SECONDS)
    return max(0.0, TAKEOVER_SECONDS + stagger - age)


def compute_backoff(*, failures):
    """Return the seconds to wait after a number of failed reads in a row."""
    return min(MAXIMUM_FAILURE_SECONDS, FAILURE_SECONDS * failures)

"""Decides which daemons read the store.

The first few by rendezvous hashing read all the time; others take over when the
store's state has not been confirmed for a while.
"""

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


def order(hosts):
    """Return the hosts in the order in which their daemons read the store."""
    return rendezvous.order(_KEY, hosts)


def compute_position(*, host, hosts):
    """Return a host's position in the order of readers, 0 first.

    A host that isn't among ``hosts`` comes last.
    """
    ordered = order(hosts)
    return ordered.index(host) if host in ordered else len(ordered)


def compute_read_delay(*, position, age):
    """Return the seconds until a daemon should read.

    :param position: see :func:`compute_position`.
    :param age: seconds since the store confirmed the daemon's state.
    """
    if position < READER_COUNT:
        return 0.0
    stagger = min(MAXIMUM_STAGGER_SECONDS, (position - READER_COUNT) * STAGGER_SECONDS)
    return max(0.0, TAKEOVER_SECONDS + stagger - age)


def compute_backoff(*, failures):
    """Return the seconds to wait after a number of failed reads in a row."""
    return min(MAXIMUM_FAILURE_SECONDS, FAILURE_SECONDS * failures)

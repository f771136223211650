"""Which daemons read the store: a few by hash, others when these fall silent."""

from jackdawlanding.decisions import rendezvous

READER_COUNT = 2
# A reader waits this long for changes, so that what it knows is vouched for.
WATCH_SECONDS = 1.0
# Least time between two reads of one daemon.
READ_INTERVAL_SECONDS = 0.25
# Others read when nothing was vouched for in this time, one after the other.
TAKEOVER_SECONDS = 1.3
STAGGER_SECONDS = 0.1
MAXIMUM_STAGGER_SECONDS = 1.5
FAILURE_SECONDS = 0.7
MAXIMUM_FAILURE_SECONDS = 3.0
_KEY = b"readers of the store"


def order(hosts):
    """Return hosts in the order in which they read the store."""
    return rendezvous.order(_KEY, hosts)


def compute_position(*, host, hosts):
    """Return a host's place in the order of readers, 0 first.

    A host that isn't among ``hosts`` comes last.
    """
    places = order(hosts)
    return places.index(host) if host in places else len(places)


def compute_read_delay(*, position, age):
    """Return the seconds until a daemon should read.

    :param position: see :func:`compute_position`.
    :param age: seconds since the store vouched for what the daemon knows.
    """
    if position < READER_COUNT:
        return 0.0
    stagger = min(MAXIMUM_STAGGER_SECONDS, (position - READER_COUNT) * STAGGER_SECONDS)
    return max(0.0, TAKEOVER_SECONDS + stagger - age)


def compute_backoff(*, failures):
    """Return the seconds to wait after failed reads in a row."""
    return min(MAXIMUM_FAILURE_SECONDS, FAILURE_SECONDS * failures)

"""What the connections of callers take of a daemon, all together.

Callers may send parts of requests, read slowly or not at all, and open connections
without end. Who does least makes room for others.
"""

import collections
import heapq
import logging
import resource
import sys
import time

from jackdawlanding.mesh import memory

logger = logging.getLogger("jackdaw.entry")

# Bytes that hold more headers and parts of bodies than this take long to parse. One
# connection at a time reads on after such, at these intervals.
MAXIMUM_PIECES = 1000
DELAYED_READ_SECONDS = 0.02
# The share of the process's descriptors that callers may take, and what remains of them
# when some are closed.
CONNECTION_SHARE = 0.75
KEPT_SHARE = 0.95
# A partial request that receives nothing for this long makes room for others.
STALL_SECONDS = 1.0


def _compute_maximum_connections():
    """Return how many connections leave descriptors for those to other hosts."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return (
        sys.maxsize if soft == resource.RLIM_INFINITY else int(soft * CONNECTION_SHARE)
    )


class CallerRoom:
    """Bounds what some :class:`callers.CallerConnection` take, all together.

    ``held_bytes`` is about what their requests and parts of requests take.

    :param loop: the event loop.
    :param connections: the open connections; the set changes.
    """

    def __init__(self, *, loop, connections):
        self.held_bytes = 0
        self._loop = loop
        self._connections = connections
        self._maximum_connections = _compute_maximum_connections()
        self._delayed = collections.deque()
        # Cuts off slow readers where answers that were not read take too much.
        self.limit_unread = loop.coalesce(self._cut_slow_readers)

    def sweep(self):
        """Apply the process's limits, which may have changed."""
        self._maximum_connections = _compute_maximum_connections()
        self.limit_connections()

    def limit_connections(self):
        """Close some connections where there are too many."""
        if len(self._connections) > self._maximum_connections:
            self._close_least_active()

    def delay_reading(self, connection):
        """Let a connection read on after those that were delayed before it.

        One alone is read as fast as it sends, in turn with all other events.
        """
        self._delayed.append(connection)
        if len(self._delayed) == 1:
            self._loop.call_soon(self._end_delay)

    def _end_delay(self):
        self._delayed.popleft().read_on()
        if self._delayed:
            self._loop.call_later(DELAYED_READ_SECONDS, self._end_delay)

    def make_room(self, newcomer):
        """Return whether a connection may receive on, at the cost of others if needed.

        Of the connections that await the rest of a request, those go first from which
        nothing came for a while, then larger ones than a small newcomer; the largest
        first.
        """
        while not memory.has_room(
            held=self.held_bytes, by_largest=self._find_largest_bytes
        ):
            victim = self._find_victim(newcomer)
            if victim is None:
                return False
            victim.refuse_partial()
        return True

    def _find_largest_bytes(self):
        return max(
            (connection.held_bytes for connection in self._connections), default=0
        )

    def _find_victim(self, newcomer):
        stalled_since = time.monotonic() - STALL_SECONDS
        is_small = newcomer.held_bytes <= memory.LARGE_BYTES
        return max(
            (
                connection
                for connection in self._connections
                if connection is not newcomer
                and connection.is_receiving
                and (
                    connection.received_at < stalled_since
                    or (is_small and connection.held_bytes > newcomer.held_bytes)
                )
            ),
            key=lambda connection: (
                connection.received_at < stalled_since,
                connection.held_bytes,
            ),
            default=None,
        )

    @property
    def has_much_unread(self):
        """Whether no further answer may wait behind one that was not read."""
        return self._loop.unsent_bytes > memory.MAXIMUM_HELD_BYTES

    def _cut_slow_readers(self):
        """Close connections while answers that were not read take too much.

        Those go first that read nothing for a while, and the largest first.
        """
        if self._loop.unsent_bytes <= memory.MAXIMUM_UNREAD_BYTES:
            return
        stalled_since = time.monotonic() - STALL_SECONDS
        unread = sum(connection.stream.unsent for connection in self._connections)
        for connection in sorted(
            self._connections,
            key=lambda connection: (
                connection.read_at >= stalled_since,
                -connection.stream.unsent,
            ),
        ):
            if unread <= memory.MAXIMUM_UNREAD_BYTES:
                return
            if connection.stream.unsent:
                unread -= connection.stream.unsent
                logger.info("entry: A caller that reads slowly is cut off.")
                connection.close()

    def _close_least_active(self):
        """Close a share of the connections, those first that sent nothing for longest.

        Those whose requests are served, or that read an answer, stay.
        """
        count = len(self._connections) - int(self._maximum_connections * KEPT_SHARE)
        now = time.monotonic()
        waiting = [
            connection
            for connection in self._connections
            if connection.is_closable(now)
        ]
        least_active = heapq.nsmallest(
            count, waiting, key=lambda connection: connection.received_at
        )
        logger.info(
            "entry: There are too many connections; %d are closed.", len(least_active)
        )
        for connection in least_active:
            connection.close()

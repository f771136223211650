"""Persistent HTTP connections to the local backend server.

A request is sent at most once here, and its result tells whether any byte of it
may have been sent. Responses carry the ids of their requests and may come a second
time, late. A request that is sent again, such as for another instance, therefore
never takes a connection that has carried its id.
"""

import logging
import time
import typing

from jackdawlanding.mesh import memory, streams, turns
from jackdawlanding.wire import http, sockets

logger = logging.getLogger("jackdaw.backends")

# Backend servers close idle connections. Without a Keep-Alive header a connection is
# closed here first, well before the shortest usual timeout.
IDLE_SECONDS = 4.0
# The part of a Keep-Alive timeout after which a connection is closed here.
KEEP_ALIVE_SHARE = 0.6
# An unsafe request is sent on a connection that was used within this time, or on a
# new one: the backend server may be closing an idle one.
RECENT_SECONDS = 0.5
CONNECT_SECONDS = 1.0
# A connection remembers the ids of its requests, and is closed after this many.
MAXIMUM_REQUESTS_PER_CONNECTION = 256
# Responses with the id of another request that are dropped while one is awaited.
MAXIMUM_STRAY_RESPONSES = 16


class Result(typing.NamedTuple):
    """Result of a request.

    ``response`` is ``None`` if there is no complete one; ``reason`` then tells why,
    and ``sent`` whether the backend server may have received any byte.
    """

    response: http.Response | None
    reason: str
    sent: bool


class _Connection:
    """One connection, which carries one attempt at a time."""

    def __init__(self, *, pool, stream, connect_timer):
        self.pool = pool
        # Hashes of the ids that it has carried: the size of an id is its caller's.
        self._id_hashes = set()
        self.stream = stream
        self._connect_timer = connect_timer
        self.idle_since = 0.0
        self.idle_seconds = IDLE_SECONDS
        self.attempt = None
        self.reader = http.ResponseReader()
        self.turn = turns.Turn()
        self.was_opened = False
        self._stray_count = 0
        stream.reads_after_error = True
        stream.on_open = self._on_open
        stream.on_data = self._on_data
        stream.on_closed = self._on_closed

    def start(self, attempt):
        self.attempt = attempt
        self._id_hashes.add(hash(attempt.request_id))
        self._stray_count = 0
        if attempt.is_head:
            self.reader = http.ResponseReader(is_head=True)
        self.stream.write_all(attempt.parts)
        # The stream holds what is not sent yet.
        attempt.parts = ()

    def has_carried(self, request_id):
        """Return whether a late response may carry an id."""
        return hash(request_id) in self._id_hashes

    def close(self):
        self._connect_timer.cancel()
        self.stream.close()
        self.reader.close()

    def _on_open(self):
        self._connect_timer.cancel()
        self.was_opened = True

    def _on_data(self, data):
        is_valid = self._feed(data)
        ready, self.reader.ready = self.reader.ready, []
        if self.attempt is None:
            # No request is in flight, so that the bytes belong to none.
            self.pool.drop(self)
            return
        matched = self._match(ready)
        if matched is not None:
            self._finish(matched, not is_valid or matched is not ready[-1])
        elif not is_valid or self._stray_count > MAXIMUM_STRAY_RESPONSES:
            self.fail("garbled")
        elif self.reader.body_bytes > memory.LARGE_BYTES:
            self.turn.record(now=time.monotonic(), is_large=True)
            self.pool.limit_reading()

    def _feed(self, data):
        """Parse received bytes; return whether they are valid."""
        try:
            self.reader.feed(data)
        except http.ResponseError as error:
            logger.info("backends: a connection is closed: %s", error)
            return False
        return True

    def _match(self, ready):
        for response in ready:
            if response.get_header(self.attempt.id_header) == self.attempt.request_id:
                return response
            self._stray_count += 1
            logger.info("backends: dropped a response with another request's id.")
        return None

    def _finish(self, response, must_close):
        self.turn.end()
        attempt, self.attempt = self.attempt, None
        must_close = (
            must_close
            or attempt.is_head
            or self.stream.unsent
            or len(self._id_hashes) >= MAXIMUM_REQUESTS_PER_CONNECTION
        )
        if self.reader.is_reusable and not must_close:
            self.idle_seconds = _parse_idle_seconds(response)
            self.pool.release(self)
        else:
            self.pool.drop(self)
        attempt.end(Result(response=response, reason="", sent=True))

    def fail(self, reason):
        """End the attempt without a response and close the connection."""
        attempt, self.attempt = self.attempt, None
        self.pool.drop(self)
        if attempt is not None:
            attempt.end(Result(response=None, reason=reason, sent=self.was_opened))

    def _on_closed(self, was_reset):
        if self.attempt is None:
            self.pool.drop(self)
            return
        if not was_reset:
            self.reader.feed_eof()
            matched = self._match(self.reader.ready)
            if matched is not None:
                self._finish(matched, True)
                return
        self.fail("died" if self.was_opened else "unreachable")


class Attempt:
    """One request at the backend server; :meth:`cancel` closes its connection.

    :param parts: the bytes of the request, in order.
    :param is_head: whether its method is HEAD.
    :param id_header: the lower-case name of the header with the request's id.
    :param request_id: the id that the response must carry.
    :param on_done: called once with a :class:`Result`, unless cancelled.
    """

    def __init__(self, *, parts, is_head, id_header, request_id, on_done):
        self.parts = parts
        self.is_head = is_head
        self.id_header = id_header
        self.request_id = request_id
        self.connection = None
        self._on_done = on_done

    def end(self, result):
        """Report the result, once."""
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(result)

    def cancel(self):
        """Close the connection without a result."""
        self._on_done = None
        if self.connection and self.connection.attempt is self:
            self.connection.attempt = None
            self.connection.pool.drop(self.connection)


class BackendPool:
    """Pool of connections to one backend server.

    :param loop: the event loop.
    :param address: a pair of host and port.
    """

    def __init__(self, *, loop, address):
        self._loop = loop
        self.address = address
        self._idle = []
        self._open = set()

    def send(self, attempt, *, needs_recent):
        """Send a request on an idle connection or a new one.

        :param needs_recent: whether an idle connection must have been used recently.
        """
        connection = self._pop_idle(attempt.request_id, needs_recent) or self._connect()
        attempt.connection = connection
        try:
            connection.start(attempt)
        except Exception:
            self.drop(connection)
            raise

    def release(self, connection):
        """Return a connection to the pool after its attempt."""
        connection.idle_since = time.monotonic()
        self._idle.append(connection)

    def drop(self, connection):
        """Close a connection and remove it from the pool."""
        connection.close()
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def limit_reading(self):
        """Read large responses one after the other while too much is held.

        None is read while callers and peers alone have too much left to read.
        """
        large = [
            connection for connection in self._open if connection.turn.since is not None
        ]
        count = memory.count_readable(
            held=self._loop.unsent_bytes,
            arriving=sum(connection.reader.body_bytes for connection in large),
            count=len(large),
        )
        turns.share(large, count=count, now=time.monotonic())

    def sweep(self):
        """Close connections that have been idle for too long; read on where it may."""
        self.limit_reading()
        now = time.monotonic()
        for connection in [
            connection
            for connection in self._idle
            if now - connection.idle_since > connection.idle_seconds
        ]:
            self.drop(connection)

    def _pop_idle(self, request_id, needs_recent):
        """Return an idle connection that may carry a request, or ``None``."""
        now = time.monotonic()
        while self._idle:
            connection = self._idle[-1]
            idle_seconds = now - connection.idle_since
            if needs_recent and idle_seconds > RECENT_SECONDS:
                return None
            self._idle.pop()
            if (
                idle_seconds <= connection.idle_seconds
                and not connection.has_carried(request_id)
                and not sockets.has_unread(connection.stream.sock)
            ):
                return connection
            self.drop(connection)
        return None

    def _connect(self):
        stream = streams.connect(loop=self._loop, address=self.address)
        timer = self._loop.call_later(
            CONNECT_SECONDS, lambda: stream.close_and_notify(was_reset=True)
        )
        connection = _Connection(pool=self, stream=stream, connect_timer=timer)
        self._open.add(connection)
        return connection


def _parse_idle_seconds(response):
    """Return the seconds that a connection may stay idle after a response."""
    for part in response.get_header(b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            # An integer may have too many digits; a float is infinite then.
            return max(0.2, float(value) * KEEP_ALIVE_SHARE)
    return IDLE_SECONDS

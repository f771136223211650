"""Kept HTTP connections to the backend server beside the daemon.

A request is never sent twice here, and its end tells whether any byte of it
went out.
"""

import logging
import time
import typing

from jackdawlanding.mesh import streams
from jackdawlanding.wire import http

logger = logging.getLogger("jackdaw.backends")

# Backend servers close idle connections; without a Keep-Alive header the
# connection is left well before the shortest usual timeout.
IDLE_SECONDS = 4.0
KEEP_ALIVE_SHARE = 0.6
# A request that must not be sent twice goes on a connection that was used this
# recently, or on a new one: an idle one may be closing.
FRESH_SECONDS = 0.5
CONNECT_SECONDS = 1.0


class Result(typing.NamedTuple):
    """How a request ended.

    ``response`` is ``None`` where there is no whole one; ``reason`` then tells
    why, and ``sent`` whether any byte may have arrived.
    """

    response: http.Response | None
    reason: str
    sent: bool


class _Connection:
    """One connection; carries one attempt at a time."""

    def __init__(self, *, pool, stream):
        self.pool = pool
        self.stream = stream
        self.idle_since = 0.0
        self.idle_seconds = IDLE_SECONDS
        self.attempt = None
        self.reader = http.ResponseReader()
        self.was_opened = False
        stream.on_open = self._note_open
        stream.on_data = self._take
        stream.on_closed = self._note_closed

    def start(self, attempt):
        self.attempt = attempt
        if attempt.is_head:
            self.reader = http.ResponseReader(is_head=True)
        self.stream.write(attempt.data)

    def close(self):
        self.stream.close()

    def _note_open(self):
        self.was_opened = True

    def _take(self, data):
        error = None
        try:
            self.reader.feed(data)
        except http.ResponseError as failure:
            error = failure
        ready, self.reader.ready = self.reader.ready, []
        if self.attempt is None:
            # Nothing was asked: the bytes belong to no request.
            self.pool.drop(self)
            return
        matched = self._match(ready)
        if matched is not None:
            tainted = error is not None or matched is not ready[-1]
            self._finish(matched, tainted)
        elif error is not None:
            self._fail("garbled")

    def _match(self, ready):
        for response in ready:
            if response.get_header(self.attempt.id_header) == self.attempt.request_id:
                return response
            logger.info("backends: a response that belongs to no request is dropped.")
        return None

    def _finish(self, response, tainted):
        attempt, self.attempt = self.attempt, None
        tainted = tainted or attempt.is_head or self.stream.unsent
        if self.reader.is_reusable and not tainted:
            self.idle_seconds = _find_idle_seconds(response)
            self.pool.give_back(self)
        else:
            self.pool.drop(self)
        attempt.end(Result(response=response, reason="", sent=True))

    def _fail(self, reason):
        attempt, self.attempt = self.attempt, None
        self.pool.drop(self)
        if attempt is not None:
            attempt.end(Result(response=None, reason=reason, sent=self.was_opened))

    def _note_closed(self, was_reset):
        if self.attempt is None:
            self.pool.drop(self)
            return
        if not was_reset:
            self.reader.feed_eof()
            matched = self._match(self.reader.ready)
            if matched is not None:
                self._finish(matched, True)
                return
        self._fail("died" if self.was_opened else "unreachable")


class Attempt:
    """One request at the backend server; :meth:`cancel` closes its connection.

    :param data: the bytes of the request.
    :param is_head: whether its method is HEAD.
    :param done: called once with a :class:`Result`, unless cancelled.
    """

    def __init__(self, *, data, is_head, id_header, request_id, done):
        self.data = data
        self.is_head = is_head
        self.id_header = id_header
        self.request_id = request_id
        self.connection = None
        self._done = done

    def end(self, result):
        """Tell the result, once."""
        done, self._done = self._done, None
        if done is not None:
            done(result)

    def cancel(self):
        """Close the connection and tell nothing."""
        self._done = None
        if self.connection and self.connection.attempt is self:
            self.connection.attempt = None
            self.connection.pool.drop(self.connection)


class BackendPool:
    """Connections to one backend server.

    :param loop: the event loop.
    :param address: a pair of host and port.
    """

    def __init__(self, *, loop, address):
        self._loop = loop
        self.address = address
        self._idle = []
        self._open = set()

    def send(self, attempt, *, needs_fresh):
        """Send a request on an idle connection or a new one.

        :param needs_fresh: whether only a recently used one will do.
        """
        connection = self._take_idle(needs_fresh) or self._connect()
        attempt.connection = connection
        connection.start(attempt)

    def give_back(self, connection):
        """Keep a connection that has carried its attempt."""
        connection.idle_since = time.monotonic()
        self._idle.append(connection)

    def drop(self, connection):
        """Close a connection and forget it."""
        connection.close()
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def sweep(self):
        """Close connections that have been idle for too long."""
        now = time.monotonic()
        for one in [
            one for one in self._idle if now - one.idle_since > one.idle_seconds
        ]:
            self.drop(one)

    def _take_idle(self, needs_fresh):
        now = time.monotonic()
        while self._idle:
            connection = self._idle[-1]
            idle = now - connection.idle_since
            if needs_fresh and idle > FRESH_SECONDS:
                return None
            self._idle.pop()
            if idle <= connection.idle_seconds and not streams.has_unread(
                connection.stream.sock
            ):
                return connection
            self.drop(connection)
        return None

    def _connect(self):
        stream = streams.connect(loop=self._loop, address=self.address)
        connection = _Connection(pool=self, stream=stream)
        self._open.add(connection)
        self._loop.call_later(CONNECT_SECONDS, lambda: self._check_open(connection))
        return connection

    def _check_open(self, connection):
        if connection in self._open and not connection.was_opened:
            connection._fail("unreachable")


def _find_idle_seconds(response):
    for part in response.get_header(b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(0.2, int(value) * KEEP_ALIVE_SHARE)
    return IDLE_SECONDS

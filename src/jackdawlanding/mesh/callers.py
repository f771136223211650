"""HTTP connections of callers.

Responses are sent in the order of the requests. Safe requests that a caller sends
before the first of them is answered are served side by side.
"""

import collections
import logging
import time

from jackdawlanding.mesh import callerroom, memory, responses
from jackdawlanding.platform import headers
from jackdawlanding.wire import http

logger = logging.getLogger("jackdaw.entry")

SWEEP_SECONDS = 0.25
# Requests that a connection may have queued before reading from it pauses.
MAXIMUM_PIPELINED = 16
# Requests of one connection that are served at once.
MAXIMUM_OVERLAPPING = 8
# Bytes of queued requests before reading pauses, and of responses that the caller
# has not read before no further request of its connection is served.
MAXIMUM_QUEUED_BYTES = 1 << 20
# One request that takes no more is served also where there is no room for others.
SMALL_BYTES = 1 << 14
MAXIMUM_UNSENT_BYTES = 1 << 18
# The Retry-After value of a request beyond that: some others have ended by then.
BUFFERS_RETRY_SECONDS = 1.0
BUFFERS_FULL = responses.make_refusal(
    "too many large requests are being served", seconds=BUFFERS_RETRY_SECONDS
)
UNWRITABLE = http.make_text_response(502, "the answer of another daemon is malformed")
TOO_SLOW = http.make_text_response(408, "it came too slowly")


class _Entry:
    """A request and its place in the order of responses."""

    __slots__ = ("active", "held_bytes", "received_at", "request", "response")

    def __init__(self, *, request, received_at):
        self.request = request
        self.held_bytes = request.held_bytes
        self.received_at = received_at
        self.active = None
        self.response = None


class CallerConnection:
    """One caller's connection.

    :param server: the :class:`CallerServer` that it belongs to.
    :param stream: its ``streams.Stream``.
    :param host: the caller's IP address.
    """

    def __init__(self, *, server, stream, host):
        self.stream = stream
        self.host = host
        self._server = server
        # When the caller last read, or had nothing to read.
        self.read_at = time.monotonic()
        self._reader = http.RequestReader(limits=server.limits)
        self._entries = collections.deque()
        # How many of the entries are being served: the first ones.
        self._started = 0
        # What the entries take, and that with what the partial request takes.
        self._queued_bytes = 0
        self._buffered = 0
        # Whether reading waits, as the last bytes took long.
        self._is_delayed = False
        # The response to what can't be served, which ends the connection.
        self._refusal = None
        self._is_advancing = False
        self._is_last_sent = False
        self._unsent = 0
        self.waiting_since = self.received_at = time.monotonic()
        stream.on_data = self._on_data
        stream.on_closed = self._on_closed
        stream.on_drained = self._on_drained

    @property
    def is_idle(self):
        """Whether nothing is received, served or sent, and no close is under way."""
        return not (
            self._entries
            or self._reader.has_begun
            or self.stream.unsent
            or self._is_last_sent
        )

    @property
    def held_bytes(self):
        """What the received requests and parts of requests take."""
        return self._buffered

    @property
    def is_receiving(self):
        """Whether a part of a request was received, and the rest is awaited."""
        return self._reader.has_begun and self._refusal is None

    def read_on(self):
        """Read again after a delay."""
        self._is_delayed = False
        if not self.stream.is_closed:
            self._limit_buffers()

    def is_closable(self, now):
        """Whether no request is served, and no answer is being read."""
        is_reading = now - self.read_at <= callerroom.STALL_SECONDS
        return not self._started and not (self.stream.unsent and is_reading)

    def refuse_partial(self):
        """Drop the part of a request that was received, to make room."""
        self._refusal = BUFFERS_FULL
        self._reader.close()
        self._limit_buffers()
        self._advance()

    def check(self, now):
        """Refuse a request that arrives too slowly; close an idle connection.

        One that sent more requests, and reads nothing of an answer, is idle.
        """
        has_read = self.stream.unsent < self._unsent
        if has_read or not self._unsent:
            self.read_at = now
        self._unsent = self.stream.unsent
        if self._started:
            return
        if has_read:
            self.waiting_since = now
        limits, age = self._server.limits, now - self.waiting_since
        if self._is_last_sent or self._entries or not self._reader.has_begun:
            if age > limits.idle_seconds:
                self.close()
        elif age > (
            limits.idle_seconds if self._reader.has_head else limits.head_seconds
        ):
            self._refuse(TOO_SLOW)

    def close(self):
        """Close the connection and cancel its requests."""
        self.stream.close()
        self._on_closed(False)

    def _on_data(self, data):
        if self._refusal is not None:
            return
        now = self.received_at = time.monotonic()
        if not self._entries and (self._reader.has_head or not self._reader.has_begun):
            self.waiting_since = now
        try:
            self._reader.feed(data)
        except http.RequestError as error:
            self._refusal = http.make_text_response(error.status, str(error))
        if self._reader.piece_count > callerroom.MAXIMUM_PIECES:
            self._is_delayed = True
            self._server.room.delay_reading(self)
        ready, self._reader.ready = self._reader.ready, []
        for request in ready:
            entry = _Entry(request=request, received_at=now)
            self._entries.append(entry)
            self._queued_bytes += entry.held_bytes
        self._limit_buffers()
        self._advance()

    def _limit_buffers(self):
        """Count what is held; refuse what is too much and was not started."""
        self._count_buffered()
        if (
            self._refusal is None
            and self._needs_room
            and not self._server.room.make_room(self)
        ):
            self._refuse_waiting()
        # While one request alone is served, its caller's leave must be noticed.
        is_full = len(self._entries) > 1 and self._queued_bytes > MAXIMUM_QUEUED_BYTES
        if (
            self._refusal is not None
            or self._is_delayed
            or is_full
            or len(self._entries) > MAXIMUM_PIPELINED
        ):
            self.stream.pause()
        else:
            self.stream.resume()

    def _count_buffered(self):
        buffered = self._queued_bytes + self._reader.held_bytes
        self._server.room.held_bytes += buffered - self._buffered
        self._buffered = buffered

    def _refuse_waiting(self):
        """Drop what was not started, but for the first request if it is small."""
        self._refusal = BUFFERS_FULL
        self._reader.close()
        while len(self._entries) > self._started and not self._is_small_alone():
            self._queued_bytes -= self._entries.pop().held_bytes
        self._count_buffered()

    @property
    def _needs_room(self):
        """Whether more is held than one small request, which is always served."""
        return (
            self._reader.has_begun
            or len(self._entries) > 1
            or self._queued_bytes > SMALL_BYTES
        )

    def _is_small_alone(self):
        """Whether one request waits or runs, which takes little."""
        return len(self._entries) == 1 and self._queued_bytes <= SMALL_BYTES

    def _advance(self):
        """Send the responses that are due, and serve the requests that may start."""
        if self._is_advancing:
            return
        self._is_advancing = True
        try:
            while self._send_next() or self._start_next():
                pass
        finally:
            self._is_advancing = False
        if self._refusal is not None and not self._entries and not self._is_last_sent:
            self._refuse(self._refusal)

    def _send_next(self):
        """Send the response of the first entry if it is there; return whether."""
        if self._is_last_sent or not self._entries:
            return False
        response = self._entries[0].response
        if response is None:
            return False
        entry = self._entries.popleft()
        request = entry.request
        self._started -= 1
        self._queued_bytes -= entry.held_bytes
        self.waiting_since = time.monotonic()
        is_last = self._server.is_shutting_down and not self._started
        keep_alive = request.keep_alive and not is_last
        is_head = request.method == "HEAD"
        self._write(response, keep_alive=keep_alive, is_head=is_head)
        if not keep_alive:
            # A caller that asked for the close sends nothing more.
            self._end(lingers=request.keep_alive)
            return False
        self._limit_buffers()
        return True

    def _start_next(self):
        """Serve the next entry if it may start; return whether."""
        if self._is_last_sent or not self._may_start():
            return False
        entry = self._entries[self._started]
        self._started += 1

        def respond(response):
            entry.active = None
            entry.response = response
            self._advance()

        active = self._server.serve(
            entry.request, self.host, respond, received_at=entry.received_at
        )
        if entry.response is None:
            entry.active = active
        return True

    def _may_start(self):
        if self.stream.is_closed or self.stream.unsent > MAXIMUM_UNSENT_BYTES:
            return False
        if self.stream.unsent and self._server.room.has_much_unread:
            return False
        if self._started == len(self._entries):
            return False
        if not self._started:
            return True
        previous = self._entries[self._started - 1].request
        return (
            self._started < MAXIMUM_OVERLAPPING
            and previous.keep_alive
            and not self._server.is_shutting_down
            and self._server.may_overlap(previous)
            and self._server.may_overlap(self._entries[self._started].request)
        )

    def _refuse(self, response):
        """Answer a request that is not complete, and close the connection."""
        self._server.record_refusal(
            response,
            request_id=self._reader.get_partial_header(headers.REQUEST_ID.lower()),
            host=self.host,
        )
        self._write(response, keep_alive=False)
        self._end(lingers=True)

    def _write(self, response, *, keep_alive, is_head=False):
        options = {"keep_alive": keep_alive, "is_head": is_head}
        try:
            parts = _format_parts(response, **options)
        except Exception:
            # It may come from a daemon of another version.
            logger.exception("entry: An answer can't be written.")
            parts = _format_parts(UNWRITABLE, **options)
        self.stream.write_all(parts)
        if self.stream.unsent:
            self._server.room.limit_unread()

    def _end(self, *, lingers):
        """Close the connection once the last response is sent."""
        self._is_last_sent = True
        self._release()
        self.stream.close_after_flush(lingers=lingers)
        if self.stream.is_closed:
            self._server.remove(self)

    def _on_drained(self):
        if self.stream.is_closed:
            self._server.remove(self)
        else:
            self._advance()

    def _on_closed(self, was_reset):
        self._server.remove(self)
        self._release()

    def _release(self):
        self._reader.close()
        entries, self._entries = self._entries, collections.deque()
        self._started = 0
        self._server.room.held_bytes -= self._buffered
        self._queued_bytes = self._buffered = 0
        for entry in entries:
            if entry.active is not None:
                entry.active.cancel()


def _format_parts(response, **options):
    return memory.make_parts(*http.format_response_parts(response, **options))


class CallerServer:
    """Serves the connections of callers.

    :param loop: the event loop.
    :param serve: called with a request, the caller's IP address, ``respond`` and
        ``received_at``, in ``time.monotonic()`` seconds; returns an object with
        ``cancel()`` or ``None``.
    :param get_limits: returns the current ``routes.Limits``.
    :param may_overlap: returns whether a request may be served beside others of its
        connection.
    :param record_refusal: called with the response to an incomplete request, its
        ``request_id`` as bytes and the caller's ``host``.

    ``room`` is the :class:`callerroom.CallerRoom` of all connections.
    """

    def __init__(
        self,
        *,
        loop,
        serve,
        get_limits,
        may_overlap=lambda request: False,
        record_refusal=lambda response, *, request_id, host: None,
    ):
        self.serve = serve
        self.may_overlap = may_overlap
        self.record_refusal = record_refusal
        self.is_shutting_down = False
        self._get_limits = get_limits
        self._connections = set()
        self.room = callerroom.CallerRoom(loop=loop, connections=self._connections)
        loop.call_every(SWEEP_SECONDS, self._sweep)

    @property
    def limits(self):
        """The current limits."""
        return self._get_limits()

    @property
    def connection_count(self):
        """The number of open connections."""
        return len(self._connections)

    @property
    def busy_count(self):
        """The number of connections that are not idle."""
        return sum(1 for connection in self._connections if not connection.is_idle)

    def accept(self, stream, host):
        """Serve a new connection; called by a listener."""
        self._connections.add(CallerConnection(server=self, stream=stream, host=host))
        self.room.limit_connections()

    def remove(self, connection):
        """Stop tracking a connection."""
        self._connections.discard(connection)

    def close_idle(self):
        """Close idle connections."""
        for connection in [
            connection for connection in self._connections if connection.is_idle
        ]:
            connection.close()

    def _sweep(self):
        now = time.monotonic()
        self.room.sweep()
        for connection in list(self._connections):
            connection.check(now)

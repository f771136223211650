"""HTTP connections of callers; each connection's requests are served in turn."""

import logging
import time

from jackdawlanding.wire import http

logger = logging.getLogger("jackdaw.callers")

SWEEP_SECONDS = 0.25
# Requests that a connection may have queued before reading from it pauses.
MAXIMUM_PIPELINED = 16


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
        self._reader = http.RequestReader(limits=server.limits)
        self._pending = []
        self._active = None
        self._is_busy = False
        self._error = None
        self.waiting_since = time.monotonic()
        stream.on_data = self._on_data
        stream.on_closed = self._on_closed

    @property
    def is_idle(self):
        """Whether there is no request, partial, queued or being served."""
        return not self._is_busy and not self._reader.has_begun and not self._pending

    def check(self, now):
        """Refuse a request that arrives too slowly; close an idle connection."""
        if self._is_busy or self._pending:
            return
        limits, age = self._server.limits, now - self.waiting_since
        if not self._reader.has_begun:
            if age > limits.idle_seconds:
                self.close()
        elif age > (
            limits.idle_seconds if self._reader.has_head else limits.head_seconds
        ):
            self._refuse(http.RequestError(status=408, detail="it came too slowly"))

    def close(self):
        """Close the connection and cancel its request."""
        self.stream.close()
        self._on_closed(False)

    def _on_data(self, data):
        if not self._is_busy and (self._reader.has_head or not self._reader.has_begun):
            self.waiting_since = time.monotonic()
        try:
            self._reader.feed(data)
        except http.RequestError as error:
            self._error = error
            self.stream.pause()
        ready, self._reader.ready = self._reader.ready, []
        self._pending += ready
        if len(self._pending) > MAXIMUM_PIPELINED:
            self.stream.pause()
        self._serve_next()

    def _serve_next(self):
        if self._is_busy or self.stream.is_closed:
            return
        if self._pending:
            request = self._pending.pop(0)
            self._is_busy = True
            responses = []

            def respond(response):
                responses.append(response)
                self._respond(request, response)

            active = self._server.serve(request, self.host, respond)
            if not responses:
                self._active = active
        elif self._error is not None:
            self._refuse(self._error)
        else:
            self.stream.resume()

    def _respond(self, request, response):
        self._active = None
        self._is_busy = False
        self.waiting_since = time.monotonic()
        if self.stream.is_closed:
            return
        keep_alive = request.keep_alive and not self._server.is_shutting_down
        data = http.format_response(
            response, keep_alive=keep_alive, is_head=request.method == "HEAD"
        )
        self.stream.write(data)
        if not keep_alive:
            self._pending.clear()
            self._server.remove(self)
            self.stream.close_after_flush()
            return
        self._server.loop.call_soon(self._serve_next)

    def _refuse(self, error):
        response = http.make_text_response(error.status, str(error))
        self.stream.write(http.format_response(response, keep_alive=False))
        self._server.remove(self)
        self.stream.close_after_flush()

    def _on_closed(self, was_reset):
        self._server.remove(self)
        self._pending.clear()
        active, self._active = self._active, None
        if active is not None:
            active.cancel()


class CallerServer:
    """Serves the connections of callers.

    :param loop: the event loop.
    :param serve: called with a request, the caller's IP address and ``respond``;
        returns an object with ``cancel()`` or ``None``.
    :param get_limits: returns the current ``routes.Limits``.
    """

    def __init__(self, *, loop, serve, get_limits):
        self.loop = loop
        self.serve = serve
        self.is_shutting_down = False
        self._get_limits = get_limits
        self._connections = set()
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
        for connection in list(self._connections):
            connection.check(now)

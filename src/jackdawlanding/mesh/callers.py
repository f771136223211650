"""Connections of callers: one request after another, each answered whole."""

import logging
import time

from jackdawlanding.wire import http

logger = logging.getLogger("jackdaw.callers")

SWEEP_SECONDS = 0.25
# Requests that a caller may send ahead on one connection.
MAXIMUM_AHEAD = 16


class CallerConnection:
    """One caller's connection.

    :param front: the :class:`CallerServer` that it belongs to.
    :param stream: its ``streams.Stream``.
    """

    def __init__(self, *, front, stream, host):
        self.stream = stream
        self.host = host
        self._front = front
        self._reader = http.RequestReader(limits=front.limits)
        self._waiting = []
        self._active = None
        self._is_busy = False
        self._error = None
        self.since = time.monotonic()
        stream.on_data = self._take
        stream.on_closed = self._note_closed

    @property
    def is_idle(self):
        """Whether no request is under way, whole or in part."""
        return not self._is_busy and not self._reader.has_begun and not self._waiting

    def check(self, now):
        """Close if a request comes too slowly or nothing comes at all."""
        if self._is_busy or self._waiting:
            return
        limits, age = self._front.limits, now - self.since
        if not self._reader.has_begun:
            if age > limits.idle_seconds:
                self.close()
        elif age > (
            limits.idle_seconds if self._reader.has_head else limits.head_seconds
        ):
            self._refuse(http.RequestError(status=408, detail="it came too slowly"))

    def close(self):
        """Close the connection and cancel what is under way."""
        self.stream.close()
        self._note_closed(False)

    def _take(self, data):
        if not self._is_busy and (self._reader.has_head or not self._reader.has_begun):
            self.since = time.monotonic()
        try:
            self._reader.feed(data)
        except http.RequestError as error:
            self._error = error
            self.stream.pause()
        ready, self._reader.ready = self._reader.ready, []
        self._waiting += ready
        if len(self._waiting) > MAXIMUM_AHEAD:
            self.stream.pause()
        self._serve_next()

    def _serve_next(self):
        if self._is_busy or self.stream.is_closed:
            return
        if self._waiting:
            request = self._waiting.pop(0)
            self._is_busy = True
            answered = []

            def respond(response):
                answered.append(response)
                self._respond(request, response)

            active = self._front.serve(request, self.host, respond)
            if not answered:
                self._active = active
        elif self._error is not None:
            self._refuse(self._error)
        else:
            self.stream.resume()

    def _respond(self, request, response):
        self._active = None
        self._is_busy = False
        self.since = time.monotonic()
        if self.stream.is_closed:
            return
        keep_alive = request.keep_alive and not self._front.is_shutting_down
        data = http.format_response(
            response, keep_alive=keep_alive, is_head=request.method == "HEAD"
        )
        self.stream.write(data)
        if not keep_alive:
            self._waiting.clear()
            self._front.forget(self)
            self.stream.close_after_flush()
            return
        self._front.loop.call_soon(self._serve_next)

    def _refuse(self, error):
        response = http.make_text_response(error.status, str(error))
        self.stream.write(http.format_response(response, keep_alive=False))
        self._front.forget(self)
        self.stream.close_after_flush()

    def _note_closed(self, was_reset):
        self._front.forget(self)
        self._waiting.clear()
        active, self._active = self._active, None
        if active is not None:
            active.cancel()


class CallerServer:
    """All callers' connections of one listener.

    :param loop: the event loop.
    :param serve: called with a request, the caller's host and ``respond``; returns
        an object with ``cancel()`` or ``None``.
    :param get_limits: returns the ``routes.Limits`` in force.
    """

    def __init__(self, *, loop, serve, get_limits):
        self.loop = loop
        self.serve = serve
        self.is_shutting_down = False
        self._find_limits = get_limits
        self._connections = set()
        loop.call_every(SWEEP_SECONDS, self._sweep)

    @property
    def limits(self):
        """The limits in force."""
        return self._find_limits()

    @property
    def connection_count(self):
        """How many connections are open."""
        return len(self._connections)

    @property
    def busy_count(self):
        """How many connections have a request under way."""
        return sum(1 for one in self._connections if not one.is_idle)

    def accept(self, stream, host):
        """Take a new connection; called by a listener."""
        self._connections.add(CallerConnection(front=self, stream=stream, host=host))

    def forget(self, connection):
        """Look after a connection no more."""
        self._connections.discard(connection)

    def close_idle(self):
        """Close connections on which nothing is under way."""
        for one in [one for one in self._connections if one.is_idle]:
            one.close()

    def _sweep(self):
        now = time.monotonic()
        for one in list(self._connections):
            one.check(now)

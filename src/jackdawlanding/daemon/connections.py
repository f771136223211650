"""HTTP/1.1 connections of callers, with limits on the size and time of requests."""

import socket
import threading
import time
import typing

from jackdawlanding.daemon import messages, reactor
from jackdawlanding.decisions import outcomes
from jackdawlanding.wire import http

READ_BYTES = 65536
WRITE_TIMEOUT_SECONDS = 10.0


class RequestLimits(typing.NamedTuple):
    """Limits on one request: bytes of head and body, seconds to arrive."""

    head_bytes: int = 32768
    body_bytes: int = 1 << 20
    arrival_seconds: float = 10.0


class HttpConnection:
    """One caller's connection; requests are served in the order of their arrival.

    :param sock: the connection's socket.
    :param peer: the caller's address, a pair of host and port.
    :param serve: called with a ``http.Request``, returns a ``messages.Answer``.
    :param limits: a :class:`RequestLimits`.
    :param on_closed: called once when the connection closes.
    :param shutting_down: a ``threading.Event``; once it is set, a connection is closed
        after the current response.
    """

    def __init__(self, *, sock, peer, serve, limits, on_closed, shutting_down):
        self.sock = sock
        self._serve = serve
        self._limits = limits
        self._on_closed = on_closed
        self._shutting_down = shutting_down
        self._reader = http.RequestReader(limits=limits)
        self._peer = peer[0]
        self._started_at = None
        self._received_bytes = 0
        self._is_busy = False
        self._is_closed = False
        self._close_lock = threading.Lock()
        sock.settimeout(WRITE_TIMEOUT_SECONDS)

    def on_readable(self):
        """Read what has arrived and serve complete requests."""
        self._is_busy = True
        try:
            return self._read_and_respond()
        finally:
            self._is_busy = False

    def is_overdue(self, now):
        """Return whether a partial request has exceeded the time limit."""
        if self._is_busy or self._started_at is None:
            return False
        return now - self._started_at > self._limits.arrival_seconds

    def on_overdue(self):
        """Respond 408; the reactor then closes the connection."""
        self._refuse(
            http.RequestError(status=408, detail="The request came too slowly")
        )

    def close(self):
        """Close the socket, once."""
        with self._close_lock:
            if self._is_closed:
                return
            self._is_closed = True
        self.sock.close()
        self._on_closed()

    def _read_and_respond(self):
        data = self.sock.recv(READ_BYTES)
        if not data:
            return reactor.SocketAction.CLOSE
        try:
            self._check_size(data)
            self._reader.feed(data)
        except http.RequestError as error:
            if self._respond_to_ready() is reactor.SocketAction.WATCH:
                self._refuse(error)
            return reactor.SocketAction.CLOSE
        return self._respond_to_ready()

    def _check_size(self, data):
        """Limit the size of a request that the parser has not completed.

        :raises http.RequestError: the partial request is too large.
        """
        if self._started_at is None:
            self._started_at = time.monotonic()
            self._received_bytes = 0
        self._received_bytes += len(data)
        maximum = self._limits.head_bytes + self._limits.body_bytes + READ_BYTES
        if self._received_bytes > maximum and not self._reader.ready:
            raise http.RequestError(status=431, detail="The request is too large")

    def _respond_to_ready(self):
        ready, self._reader.ready = self._reader.ready, []
        if not self._reader.has_begun:
            self._started_at = None
        for request in ready:
            response = self._serve(request._replace(peer=self._peer)).response
            keep_alive = request.keep_alive and not self._shutting_down.is_set()
            data = http.format_response(
                response,
                keep_alive=keep_alive,
                is_head=request.method == "HEAD",
            )
            self.sock.sendall(data)
            if not keep_alive:
                return reactor.SocketAction.CLOSE
        return reactor.SocketAction.WATCH

    def _refuse(self, error):
        response = http.Response(
            status=error.status,
            headers=(
                (b"Content-Type", b"text/plain"),
                (messages.OUTCOME_HEADER, outcomes.Outcome.NOT_RUN.label.encode()),
            ),
            body=f"{error}.\n".encode(),
        )
        data = http.format_response(response, keep_alive=False)
        try:
            self.sock.settimeout(0.2)
            self.sock.sendall(data)
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return

"""HTTP/1.1 connections of callers: bounded, kept alive, whole or refused."""

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
    """One caller's connection; requests are answered in their order.

    :param serve: called with a ``http.Request``, returns an answer.
    :param on_closed: called once when the connection closes.
    :param shutting_down: an event; once it is set, connections are not kept.
    """

    def __init__(self, *, sock, peer, serve, limits, on_closed, shutting_down):
        self.sock = sock
        self._serve = serve
        self._bounds = limits
        self._on_closed = on_closed
        self._leaving = shutting_down
        self._reader = http.RequestReader(limits=limits)
        self._peer = peer[0]
        self._started_at = None
        self._head_bytes_seen = 0
        self._busy = False
        self._closed = False
        self._close_lock = threading.Lock()
        sock.settimeout(WRITE_TIMEOUT_SECONDS)

    def on_readable(self):
        """Read what has come and answer whole requests."""
        self._busy = True
        try:
            return self._read_and_answer()
        finally:
            self._busy = False

    def is_overdue(self, now):
        """Return whether a request has begun and not arrived in time."""
        if self._busy or self._started_at is None:
            return False
        return now - self._started_at > self._bounds.arrival_seconds

    def on_overdue(self):
        """Answer 408; the reactor closes the connection."""
        self._fail(http.RequestError(status=408, detail="The request came too slowly"))

    def close(self):
        """Close the socket, once."""
        with self._close_lock:
            if self._closed:
                return
            self._closed = True
        self.sock.close()
        self._on_closed()

    def _read_and_answer(self):
        data = self.sock.recv(READ_BYTES)
        if not data:
            return reactor.SocketAction.CLOSE
        try:
            self._count_head(data)
            self._reader.feed(data)
        except http.RequestError as error:
            if self._answer_ready() is reactor.SocketAction.WATCH:
                self._fail(error)
            return reactor.SocketAction.CLOSE
        return self._answer_ready()

    def _count_head(self, data):
        """Bound a head line that the parser has not yet handed over."""
        if self._started_at is None:
            self._started_at = time.monotonic()
            self._head_bytes_seen = 0
        self._head_bytes_seen += len(data)
        bound = self._bounds.head_bytes + self._bounds.body_bytes + READ_BYTES
        if self._head_bytes_seen > bound and not self._reader.ready:
            raise http.RequestError(status=431, detail="The request is too large")

    def _answer_ready(self):
        ready, self._reader.ready = self._reader.ready, []
        if not self._reader.has_begun:
            self._started_at = None
        for request in ready:
            response = self._serve(request._replace(peer=self._peer)).response
            keep_alive = request.keep_alive and not self._leaving.is_set()
            data = http.format_response(
                response,
                keep_alive=keep_alive,
                is_head=request.method == "HEAD",
            )
            self.sock.sendall(data)
            if not keep_alive:
                return reactor.SocketAction.CLOSE
        return reactor.SocketAction.WATCH

    def _fail(self, error):
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

"""HTTP/1.1 connections of callers: bounded, kept alive, whole or refused."""

import socket
import threading
import time
import typing

import httptools

from jackdawlanding.daemon import messages, reactor
from jackdawlanding.decisions import outcomes

READ_BYTES = 65536
WRITE_TIMEOUT_SECONDS = 10.0


class Bounds(typing.NamedTuple):
    """Bounds on one request: bytes of head and body, seconds to arrive."""

    head_bytes: int = 32768
    body_bytes: int = 1 << 20
    arrival_seconds: float = 10.0


class RequestError(Exception):
    """A request that breaks the protocol or a bound."""

    def __init__(self, *, status, detail):
        super().__init__(detail)
        self.status = status
        self.detail = detail


class _RequestReader:
    """Collects one request after another; the parser calls ``on_`` methods."""

    def __init__(self, *, bounds, peer):
        self.ready = []
        self.started_at = None
        self._bounds = bounds
        self._peer = peer
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self):
        self._target = b""
        self._headers = []
        self._chunks = []
        self._head_size = 0
        self._body_size = 0
        self._error = None
        self.started_at = None

    def feed(self, data, now):
        """Parse received bytes.

        :raises RequestError: they are malformed or over a bound.
        """
        if self.started_at is None:
            self.started_at = now
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise RequestError(status=400, detail="Upgrades are not offered") from None
        except httptools.HttpParserError as error:
            if self._error:
                raise self._error from None
            detail = f"The request is malformed: {error}"
            raise RequestError(status=400, detail=detail) from None

    def on_url(self, url):
        self._grow_head(len(url))
        self._target += url

    def on_header(self, name, value):
        self._grow_head(len(name) + len(value) + 4)
        self._headers.append((name, value))

    def on_headers_complete(self):
        lengths = [v for k, v in self._headers if k.lower() == b"content-length"]
        if lengths and int(lengths[0]) > self._bounds.body_bytes:
            self._fail(413, f"The body is over {self._bounds.body_bytes} bytes")

    def on_body(self, data):
        self._body_size += len(data)
        if self._body_size > self._bounds.body_bytes:
            self._fail(413, f"The body is over {self._bounds.body_bytes} bytes")
        self._chunks.append(data)

    def on_message_complete(self):
        request = messages.Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=tuple(self._headers),
            body=b"".join(self._chunks),
            keep_alive=self._parser.should_keep_alive(),
            peer=self._peer,
        )
        self._reset()
        self.ready.append(request)

    def _grow_head(self, size):
        self._head_size += size
        if self._head_size > self._bounds.head_bytes:
            self._fail(431, f"The head is over {self._bounds.head_bytes} bytes")

    def _fail(self, status, detail):
        self._error = RequestError(status=status, detail=detail)
        raise self._error


class HttpConnection:
    """One caller's connection; requests are answered in their order.

    :param serve: called with a :class:`messages.Request`, returns an answer.
    :param note_closed: called once when the connection closes.
    :param leaving: an event; once it is set, connections are not kept.
    """

    def __init__(self, *, sock, peer, serve, bounds, note_closed, leaving):
        self.sock = sock
        self._serve = serve
        self._bounds = bounds
        self._note_closed = note_closed
        self._leaving = leaving
        self._reader = _RequestReader(bounds=bounds, peer=peer[0])
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
        started_at = self._reader.started_at
        if self._busy or started_at is None:
            return False
        return now - started_at > self._bounds.arrival_seconds

    def on_overdue(self):
        """Answer 408; the reactor closes the connection."""
        self._fail(RequestError(status=408, detail="The request came too slowly"))

    def close(self):
        """Close the socket, once."""
        with self._close_lock:
            if self._closed:
                return
            self._closed = True
        self.sock.close()
        self._note_closed()

    def _read_and_answer(self):
        data = self.sock.recv(READ_BYTES)
        if not data:
            return reactor.Next.CLOSE
        try:
            self._count_head(data)
            self._reader.feed(data, time.monotonic())
        except RequestError as error:
            if self._answer_ready() is reactor.Next.WATCH:
                self._fail(error)
            return reactor.Next.CLOSE
        return self._answer_ready()

    def _count_head(self, data):
        """Bound a head line that the parser has not yet handed over."""
        if self._reader.started_at is None:
            self._head_bytes_seen = 0
        self._head_bytes_seen += len(data)
        bound = self._bounds.head_bytes + self._bounds.body_bytes + READ_BYTES
        if self._head_bytes_seen > bound and not self._reader.ready:
            raise RequestError(status=431, detail="The request is too large")

    def _answer_ready(self):
        ready, self._reader.ready = self._reader.ready, []
        for request in ready:
            response = self._serve(request).response
            keep_alive = request.keep_alive and not self._leaving.is_set()
            data = messages.format_response(
                response,
                keep_alive=keep_alive,
                head_only=request.method == "HEAD",
            )
            self.sock.sendall(data)
            if not keep_alive:
                return reactor.Next.CLOSE
        return reactor.Next.WATCH

    def _fail(self, error):
        response = messages.Response(
            status=error.status,
            headers=(
                (b"Content-Type", b"text/plain"),
                (messages.OUTCOME_HEADER, outcomes.Outcome.NOT_RUN.label.encode()),
            ),
            body=f"{error.detail}.\n".encode(),
        )
        data = messages.format_response(response, keep_alive=False)
        try:
            self.sock.settimeout(0.2)
            self.sock.sendall(data)
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return

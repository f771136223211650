"""HTTP client of the one backend server, which knows what it has sent.

libcurl sends a request again by itself when a reused connection closes before
the first byte of the answer, so that a call could run twice; docs/design/http.md
shows it. This client never sends twice, and says whether any byte went out.
"""

import socket
import threading
import time

import httptools

from jackdawlanding.daemon import messages
from jackdawlanding.wire import framing

READ_BYTES = 65536
MAXIMUM_IDLE_CONNECTIONS = 64
CONNECT_TIMEOUT_SECONDS = 1.0


class BackendError(Exception):
    """A call that gave no whole answer.

    :param reason: a key of :data:`messages.REFUSALS`.
    :param sent: whether any byte may have reached the backend server.
    """

    def __init__(self, *, reason, sent):
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class _ResponseReader:
    """Collects one response; the parser calls its ``on_`` methods."""

    def __init__(self, *, method, maximum_body):
        self.headers = []
        self.chunks = []
        self.size = 0
        self.is_whole = False
        self.is_framed = False
        self.status = 0
        self.keep_alive = False
        self._maximum_body = maximum_body
        self._has_no_body = method == "HEAD"
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data):
        self._parser.feed_data(data)

    def on_header(self, name, value):
        self.headers.append((name, value))
        self.is_framed |= name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self):
        self.status = self._parser.get_status_code()
        self.keep_alive = self._parser.should_keep_alive()
        if self._has_no_body or self.status in (204, 304):
            self.is_whole = True

    def on_body(self, data):
        self.size += len(data)
        if self.size > self._maximum_body:
            raise BackendError(reason="cut-short", sent=True)
        self.chunks.append(data)

    def on_message_complete(self):
        # A 1xx response comes before the one that counts.
        if self.status < 200:
            self.headers, self.chunks = [], []
            return
        self.is_whole = True


class BackendClient:
    """Sends calls to one backend server over kept connections.

    :param address: an ``addresses.Address``.
    :param maximum_body: largest answer accepted, in bytes.
    """

    def __init__(self, *, address, maximum_body=16 << 20):
        self.address = address
        self._maximum_body = maximum_body
        self._idle = []
        self._lock = threading.Lock()

    def call(self, *, method, target, headers, body, timeout, cancellation):
        """Send one request and return its whole response.

        :param timeout: seconds until the call is given up and cancelled, which
            closes its connection.
        :param cancellation: a ``cancellation.Cancellation``.
        :raises BackendError: there is no whole answer.
        """
        end = time.monotonic() + timeout
        sock = self._take() or self._connect(timeout)
        data = messages.format_request(
            method=method, target=target, headers=headers, body=body
        )
        try:
            cancellation.attach(sock)
            sock.settimeout(max(0.001, end - time.monotonic()))
            sock.sendall(data)
            reader = self._read(sock, method, end)
        except BackendError:
            sock.close()
            raise
        except TimeoutError:
            sock.close()
            raise BackendError(reason="timeout", sent=True) from None
        except (OSError, httptools.HttpParserError):
            sock.close()
            raise BackendError(reason="died", sent=True) from None
        finally:
            cancellation.attach(None)
        self._give_back(sock, reader)
        return messages.Response(
            status=reader.status,
            headers=messages.clean_answer(reader.headers),
            body=b"".join(reader.chunks),
        )

    def close(self):
        """Close idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for sock in idle:
            sock.close()

    def _read(self, sock, method, end):
        reader = _ResponseReader(method=method, maximum_body=self._maximum_body)
        received = False
        while not reader.is_whole:
            left = end - time.monotonic()
            if left <= 0:
                raise TimeoutError
            sock.settimeout(left)
            data = sock.recv(READ_BYTES)
            if not data:
                reason = "cut-short" if received else "died"
                raise BackendError(reason=reason, sent=True)
            received = True
            self._feed(reader, data)
        return reader

    def _feed(self, reader, data):
        try:
            reader.feed(data)
        except httptools.HttpParserCallbackError as error:
            raise BackendError(reason="cut-short", sent=True) from error

    def _take(self):
        while True:
            with self._lock:
                if not self._idle:
                    return None
                sock = self._idle.pop()
            if not framing.is_closed(sock):
                return sock
            sock.close()

    def _connect(self, timeout):
        limit = min(timeout, CONNECT_TIMEOUT_SECONDS)
        try:
            sock = socket.create_connection(self.address, timeout=max(0.001, limit))
        except OSError:
            raise BackendError(reason="unreachable", sent=False) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def _give_back(self, sock, reader):
        with self._lock:
            if reader.keep_alive and len(self._idle) < MAXIMUM_IDLE_CONNECTIONS:
                self._idle.append(sock)
                return
        sock.close()

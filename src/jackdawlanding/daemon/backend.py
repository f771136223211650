"""HTTP client of the local backend server, which never sends a request twice.

libcurl retries a request by itself when a reused connection closes before the
first byte of the response, so that a call could run twice; docs/design/http.md
shows it. This client does not, and reports whether any byte was sent.
"""

import logging
import socket
import threading
import time

from jackdawlanding.daemon import messages
from jackdawlanding.wire import http, sockets

READ_BYTES = 65536
MAXIMUM_IDLE_CONNECTIONS = 64
# Answers to other calls that are dropped while one is awaited.
MAXIMUM_STRAY_ANSWERS = 16
CONNECT_TIMEOUT_SECONDS = 1.0
# Methods whose requests carry a Content-Length even if it is 0.
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})

logger = logging.getLogger("jackdaw.backend")


class BackendError(Exception):
    """Raised when a call got no complete response.

    :param reason: a key of :data:`messages.REFUSALS`.
    :param sent: whether any byte may have reached the backend server.
    """

    def __init__(self, *, reason, sent):
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class BackendClient:
    """Sends calls to one backend server over reused connections.

    :param address: an ``addresses.Address``.
    :param maximum_body_bytes: largest response body accepted, in bytes.
    """

    def __init__(self, *, address, maximum_body_bytes=16 << 20):
        self.address = address
        self._limits = http.RESPONSE_LIMITS._replace(body_bytes=maximum_body_bytes)
        self._idle = []
        self._active = set()
        self._lock = threading.Lock()

    def call(self, *, method, target, headers, body, timeout, cancellation):
        """Send one request and return its complete response.

        :param timeout: seconds until the call fails, which closes its connection.
        :param cancellation: a ``cancellations.Cancellation``.
        :raises BackendError: there is no complete response.
        """
        deadline = time.monotonic() + timeout
        token = dict(headers).get(messages.CALL_HEADER, b"")
        sock = self._take_idle() or self._connect(timeout)
        data = http.format_request(
            method=method,
            target=target,
            headers=headers,
            body=body,
            has_body=method in BODY_METHODS,
        )
        try:
            self._active.add(cancellation)
            cancellation.attach(sock)
            sock.settimeout(max(0.001, deadline - time.monotonic()))
            sock.sendall(data)
            reader, response = self._read(sock, method, deadline, token)
        except BackendError:
            sock.close()
            raise
        except TimeoutError:
            sock.close()
            raise BackendError(reason="timeout", sent=True) from None
        except OSError:
            sock.close()
            raise BackendError(reason="died", sent=True) from None
        except http.ResponseError:
            sock.close()
            raise BackendError(reason="cut-short", sent=True) from None
        finally:
            self._active.discard(cancellation)
            cancellation.attach(None)
        named = response.get_header(messages.CALL_HEADER.lower())
        self._release(sock, reader, is_named=bool(named) and named == token)
        headers = tuple(http.remove_hop_by_hop_headers(response.headers))
        return response._replace(headers=headers)

    def abort(self):
        """Cancel the calls in flight; their outcome is unknown."""
        for cancellation in list(self._active):
            cancellation.cancel()

    def close(self):
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for sock in idle:
            sock.close()

    def _read(self, sock, method, deadline, token):
        """Return the reader and the response to the call of ``token``.

        The connection is unusable afterwards if the reader holds any other response.
        """
        reader = http.ResponseReader(is_head=method == "HEAD", limits=self._limits)
        received = False
        strays = 0
        while True:
            while reader.ready:
                response = reader.ready.pop(0)
                if _may_answer(response, token):
                    return reader, response
                strays += 1
                logger.warning("backend: an answer to another call is dropped.")
                if strays > MAXIMUM_STRAY_ANSWERS:
                    raise BackendError(reason="cut-short", sent=True)
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                raise TimeoutError
            sock.settimeout(remaining)
            data = sock.recv(READ_BYTES)
            if not data:
                reader.feed_eof()
                if reader.ready:
                    continue
                reason = "cut-short" if received else "died"
                raise BackendError(reason=reason, sent=True)
            received = True
            try:
                reader.feed(data)
            except http.ResponseError:
                if not reader.ready:
                    raise

    def _take_idle(self):
        while True:
            with self._lock:
                if not self._idle:
                    return None
                sock = self._idle.pop()
            if not sockets.has_unread(sock):
                return sock
            sock.close()

    def _connect(self, timeout):
        connect_timeout = min(timeout, CONNECT_TIMEOUT_SECONDS)
        try:
            sock = socket.create_connection(
                self.address, timeout=max(0.001, connect_timeout)
            )
        except OSError:
            raise BackendError(reason="unreachable", sent=False) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def _release(self, sock, reader, *, is_named):
        """Keep a connection for later calls if its answers name their calls.

        A late copy of an answer without a name could end a later call.
        """
        is_reusable = is_named and reader.is_reusable and not reader.ready
        with self._lock:
            if is_reusable and len(self._idle) < MAXIMUM_IDLE_CONNECTIONS:
                self._idle.append(sock)
                return
        sock.close()


def _may_answer(response, token):
    """Return whether a response may belong to the call of ``token``.

    A backend server may name the call in its answer, but need not.
    """
    named = response.get_header(messages.CALL_HEADER.lower())
    return named in (b"", token)

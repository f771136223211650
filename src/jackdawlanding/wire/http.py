"""HTTP/1.1 requests and responses: parsing by httptools, formatting here."""

import http
import typing

import httptools

HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
NO_BODY_STATUSES = frozenset({204, 304})
_PHRASES = {one.value: one.phrase.encode() for one in http.HTTPStatus}


def _find_header(message, name):
    """Return the first value of a lower-case header name, or ``b''``."""
    for key, value in message.headers:
        if key.lower() == name:
            return value
    return b""


class Request(typing.NamedTuple):
    """A whole request; ``headers`` are pairs of bytes as they came.

    :param peer: the sender's host, where the reader's owner fills it in.
    """

    method: str
    target: str
    headers: tuple
    body: bytes
    has_body: bool
    keep_alive: bool
    peer: str = ""

    get_header = _find_header

    def get_header_text(self, name):
        """Return what :meth:`get_header` does, as text."""
        return self.get_header(name).decode("latin-1")


class Response(typing.NamedTuple):
    """A whole response; ``headers`` are pairs of bytes."""

    status: int
    headers: tuple = ()
    body: bytes = b""

    get_header = _find_header


class RequestError(Exception):
    """A request that breaks the protocol or a bound; ``status`` answers it."""

    def __init__(self, *, status, detail):
        super().__init__(detail)
        self.status = status


class ResponseError(Exception):
    """Bytes that are no proper response."""


class RequestReader:
    """Cuts a byte stream into requests, within bounds.

    ``has_begun`` and ``has_head`` tell how far the next request has come.

    :param limits: has ``head_bytes`` and ``body_bytes``.
    """

    def __init__(self, *, limits):
        self.ready = []
        self.has_begun = False
        self.has_head = False
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def feed(self, data):
        """Parse received bytes; whole requests are appended to ``ready``.

        :raises RequestError: they are malformed or over a bound.
        """
        self.has_begun = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise RequestError(status=400, detail="upgrades are not offered") from None
        except httptools.HttpParserError as error:
            if self._error:
                raise self._error from None
            detail = f"the request is malformed: {error}"
            raise RequestError(status=400, detail=detail) from None
        if not self._url and self._head_bytes == 0 and not self._in_message:
            self.has_begun = False

    def on_message_begin(self):
        """Note that a message begins; called by the parser."""
        self._in_message = True

    def on_url(self, url):
        """Collect a part of the target; called by the parser."""
        self._grow_head(len(url))
        self._url += url

    def on_header(self, name, value):
        """Collect a header; called by the parser."""
        self._grow_head(len(name) + len(value) + 4)
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Note the end of the head; called by the parser."""
        self.has_head = True
        for name, value in self._headers:
            if name.lower() == b"content-length":
                self._check_body(int(value))

    def on_body(self, data):
        """Collect a part of the body; called by the parser."""
        self._body_bytes += len(data)
        self._check_body(self._body_bytes)
        self._chunks.append(data)

    def on_message_complete(self):
        """Take a whole message; called by the parser."""
        keys = {name.lower() for name, _ in self._headers}
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=tuple(self._headers),
            body=b"".join(self._chunks),
            has_body=b"content-length" in keys or b"transfer-encoding" in keys,
            keep_alive=self._parser.should_keep_alive(),
        )
        self._reset()
        self.ready.append(request)

    def _reset(self):
        self._url = b""
        self._headers = []
        self._chunks = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._error = None
        self._in_message = False
        self.has_begun = False
        self.has_head = False

    def _grow_head(self, size):
        self._head_bytes += size
        if self._head_bytes > self._limits.head_bytes:
            self._fail(431, f"the head is over {self._limits.head_bytes} bytes")

    def _check_body(self, size):
        if size > self._limits.body_bytes:
            self._fail(413, f"the body is over {self._limits.body_bytes} bytes")

    def _fail(self, status, detail):
        self._error = RequestError(status=status, detail=detail)
        raise self._error


class ResponseReader:
    """Cuts a byte stream into responses, which are appended to ``ready``.

    :param is_head: whether the responses answer HEAD requests, so have no body.
    :param body_bytes: the largest body that is taken, ``None`` for any.
    """

    def __init__(self, *, is_head=False, body_bytes=None):
        self.ready = []
        self._keeps_alive = False
        self._is_head = is_head
        self._body_bytes = body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._reset()

    @property
    def is_reusable(self):
        """Whether the last response leaves its connection fit for another."""
        return self._keeps_alive and not self._in_message

    def feed(self, data):
        """Parse received bytes.

        :raises ResponseError: they are no response; ``ready`` may still hold
            responses that came before.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise ResponseError(str(error)) from None

    def feed_eof(self):
        """Note the orderly end of the stream, which ends an unframed body."""
        if self._has_head and not self._is_framed:
            self._complete(keep_alive=False)

    def on_message_begin(self):
        """Note that a message begins; called by the parser."""
        self._in_message = True

    def on_header(self, name, value):
        """Collect a header; called by the parser."""
        self._headers.append((name, value))
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._is_framed = True

    def on_headers_complete(self):
        """Note the end of the head; called by the parser."""
        self._has_head = self._parser.get_status_code() >= 200
        if self._has_head and self._is_head:
            self._complete(keep_alive=self._parser.should_keep_alive())

    def on_body(self, data):
        """Collect a part of the body; called by the parser."""
        self._size += len(data)
        if self._body_bytes is not None and self._size > self._body_bytes:
            raise ResponseError(f"the body is over {self._body_bytes} bytes")
        self._chunks.append(data)

    def on_message_complete(self):
        """Take a whole message; called by the parser."""
        if self._parser.get_status_code() < 200:
            self._reset()
            return
        if self._is_head:
            return
        self._complete(keep_alive=self._parser.should_keep_alive())

    def _reset(self):
        self._headers = []
        self._chunks = []
        self._size = 0
        self._in_message = False
        self._is_framed = False
        self._has_head = False

    def _complete(self, *, keep_alive):
        self._keeps_alive = keep_alive
        self.ready.append(
            Response(
                status=self._parser.get_status_code(),
                headers=tuple(self._headers),
                body=b"".join(self._chunks),
            )
        )
        self._reset()


def remove_hop_by_hop_headers(headers):
    """Return the headers that concern more than one connection."""
    named = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(one.strip().lower() for one in value.split(b","))
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS and name.lower() not in named
    ]


def format_request(*, method, target, headers, body, has_body):
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in headers]
    if has_body or body:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def format_response(response, *, keep_alive, is_head=False):
    """Return the bytes of a response.

    :param is_head: whether it answers a HEAD request, so is sent without its body.
    """
    phrase = _PHRASES.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (response.status, phrase)]
    lines += [name + b": " + value for name, value in response.headers]
    if not is_head and response.status not in NO_BODY_STATUSES:
        lines.append(b"Content-Length: %d" % len(response.body))
    if not keep_alive:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if is_head else head + response.body


def make_text_response(status, text, *, headers=()):
    """Return a response of plain text."""
    body = f"{text}\n".encode()
    return Response(
        status=status,
        headers=((b"Content-Type", b"text/plain; charset=utf-8"), *headers),
        body=body,
    )

"""Parses HTTP/1.1 requests and responses with httptools, and formats them."""

import http
import re
import typing

import httptools

HOP_BY_HOP_HEADERS = frozenset(
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
# Fields for the final recipient, which are no valid connection options (RFC 9110,
# section 7.6.1).
END_TO_END_HEADERS = frozenset(
    {
        b"cache-control",
        b"content-encoding",
        b"content-type",
        b"date",
        b"host",
        b"retry-after",
    }
)
# The host and the rest of a target in absolute form, without a user's name.
_ABSOLUTE_FORM = re.compile(rb"https?://([^/?#@]+)([/?][^#]*)?", re.IGNORECASE)
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Bytes that end a line or a head, or that no head has.
_HEAD_ENDS = b"\r\n\0"
_STATUSES = range(100, 600)
_FINAL_STATUSES = range(200, 600)
NO_BODY_STATUSES = frozenset({204, 304})
_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def _get_header(message, name):
    """Return the first value of a header, ``b''`` if there is none.

    :param name: the header's name in lower case.
    """
    if message.index is not None:
        return message.index.get(name, b"")
    for key, value in message.headers:
        if key.lower() == name:
            return value
    return b""


class Request(typing.NamedTuple):
    """A complete request; ``headers`` holds pairs of bytes as received.

    ``peer`` is the sender's IP address; the reader leaves it empty, and the code
    that accepted the connection may set it. ``index`` maps the lower-case names of
    headers to their first values; ``None`` if it was not made. ``head_bytes`` is the
    size of the head.
    """

    method: str
    target: str
    headers: tuple
    body: bytes
    has_body: bool
    keep_alive: bool
    peer: str = ""
    index: dict | None = None
    head_bytes: int = 0

    get_header = _get_header

    @property
    def held_bytes(self):
        """About what the request takes in memory."""
        return REQUEST_BYTES + len(self.body) + _estimate_head(self)

    def get_header_text(self, name):
        """Return the first value of a header as text; see :meth:`get_header`."""
        return self.get_header(name).decode("latin-1")


def _estimate_head(message):
    """Return about what a head takes: each name is held once more, in the index."""
    return HEADER_BYTES * len(message.headers) + 2 * message.head_bytes


class Response(typing.NamedTuple):
    """A complete response; ``headers`` holds pairs of bytes.

    ``index`` maps the lower-case names of headers to their first values; ``None`` if
    it was not made.
    """

    status: int
    headers: tuple = ()
    body: bytes = b""
    index: dict | None = None

    get_header = _get_header


class RequestError(Exception):
    """A request is malformed or over a limit; ``status`` is the response's status."""

    def __init__(self, *, status, detail):
        super().__init__(detail)
        self.status = status


class ResponseError(Exception):
    """Received bytes are not a valid response."""


class HeadError(ValueError):
    """A message can't be written: a part of its head would end it or isn't valid."""


class Limits(typing.NamedTuple):
    """The most bytes of a message's head, and of its body."""

    head_bytes: int
    body_bytes: int


RESPONSE_LIMITS = Limits(head_bytes=65536, body_bytes=16 << 20)
MAXIMUM_RESPONSE_HEADERS = 256
# What the objects of a request take beside its body and head, and those of a header
# beside its characters: three bytes objects, a tuple and an entry of the index.
REQUEST_BYTES = 2048
HEADER_BYTES = 300
MAXIMUM_INTERIM_RESPONSES = 16


class _MessageReader:
    """Collects the parts of one message at a time, up to limits.

    Of the current message, ``has_head`` says whether the whole head was received.

    The parser keeps an unfinished header or chunk head to itself. A message without
    end is therefore also noticed by the bytes in a row that complete no part of it.

    ``piece_count`` tells how many headers and parts of bodies the last bytes held.

    :param limits: an object with ``head_bytes`` and ``body_bytes``.
    """

    def __init__(self, *, limits):
        self.ready = []
        self.piece_count = 0
        self._limits = limits
        self._reset()

    @property
    def body_bytes(self):
        """The size of the part of the current message's body that was received."""
        return self._body_size

    @property
    def held_bytes(self):
        """About what the current message takes in memory."""
        head = HEADER_BYTES * len(self._headers) + 2 * self._head_size
        return self._body_size + head + self._stalled_size

    def on_message_begin(self):
        """Record the start of a message; called by httptools."""
        self._in_message = self._has_progressed = True

    def on_header(self, name, value):
        """Append a header, and drop a trailer; called by httptools.

        RFC 9110, section 6.5.1: a trailer may not be taken for a header.
        """
        self.piece_count += 1
        self._count_head_bytes(len(name) + len(value) + 4)
        if not self.has_head:
            self._headers.append((name, value))

    def on_body(self, data):
        """Append a part of the body; called by httptools."""
        self._has_progressed = True
        self.piece_count += 1
        self._body_size += len(data)
        self._check_body_size(self._body_size)
        # An object for each piece can take many times the piece's bytes.
        self._body += data

    def get_partial_header(self, name):
        """Return a header of the current message as bytes, ``b""`` if not received.

        :param name: in lower case.
        """
        return next(
            (value for known, value in self._headers if known.lower() == name), b""
        )

    def close(self):
        """Drop what was received of a message; nothing may be fed any more.

        The parser and the reader refer to each other.
        """
        self._parser = None
        self._reset()

    def _feed(self, data):
        self._has_progressed = False
        self._parser.feed_data(data)
        if self._has_progressed or not self._in_message:
            self._stalled_size = 0
        else:
            self._stalled_size += len(data)
            self._check_head_size(self._stalled_size)

    def _make_index(self):
        """Index the headers by lower-case name; the first of several counts."""
        self._index = {name.lower(): value for name, value in reversed(self._headers)}

    def _reset(self):
        self._headers = []
        self._index = {}
        self._body = bytearray()
        self._head_size = 0
        self._body_size = 0
        self._stalled_size = 0
        self._in_message = False
        self._has_progressed = True
        self.has_head = False

    def _count_head_bytes(self, size):
        self._head_size += size
        self._check_head_size(self._head_size)


class RequestReader(_MessageReader):
    """Parses a stream of bytes into requests of limited size.

    ``ready`` holds the complete requests; ``has_begun`` says whether any byte of
    the next one was received.

    :param limits: an object with ``head_bytes`` and ``body_bytes``.
    """

    def __init__(self, *, limits):
        self._parser = httptools.HttpRequestParser(self)
        super().__init__(limits=limits)

    def feed(self, data):
        """Parse received bytes and append complete requests to ``ready``.

        :raises RequestError: a request is malformed or over a limit.
        """
        self.has_begun = True
        self.piece_count = 0
        rest = memoryview(data)
        try:
            while rest is not None:
                rest = self._feed_to_offer(rest)
        except (httptools.HttpParserError, HeadError) as error:
            if self._error:
                raise self._error from None
            detail = f"the request is malformed: {error}"
            raise RequestError(status=400, detail=detail) from None
        if not self._url and self._head_size == 0 and not self._in_message:
            self.has_begun = False

    def _feed_to_offer(self, data):
        """Parse up to an offer of another protocol; return the rest, if there is one.

        RFC 9110, section 7.8: a server may ignore an offer. The parser stops at the
        head of such a request, which is parsed again without the offer.
        """
        try:
            self._feed(data)
        except httptools.HttpParserUpgrade as offer:
            self._restart_without_offer()
            return data[offer.args[0] :]
        return None

    def _restart_without_offer(self):
        method = self._parser.get_method()
        version = self._parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (method, self._url, version)]
        lines += [
            name + b": " + value
            for name, value in self._headers
            if name.lower() != b"upgrade"
        ]
        head = _join_head(lines, self._headers)
        self._reset()
        self.has_begun = True
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(head)

    def on_url(self, url):
        """Append a part of the target; called by httptools."""
        self._count_head_bytes(len(url))
        self._url += url

    def on_headers_complete(self):
        """Check the method and the declared length; called by httptools."""
        self.has_head = self._has_progressed = True
        if self._parser.get_method() == b"CONNECT":
            self._fail(501, "tunnels are not offered")
        self._make_index()
        if b"content-length" in self._index:
            self._check_body_size(int(self._index[b"content-length"]))

    def on_message_complete(self):
        """Append the complete request to ``ready``; called by httptools."""
        if self._parser.should_upgrade():
            # The body is yet to come.
            return
        if b"://" in self._url and not self._url.startswith(b"/"):
            self._convert_absolute_form()
        index = self._index
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=tuple(self._headers),
            body=bytes(self._body),
            has_body=b"content-length" in index or b"transfer-encoding" in index,
            keep_alive=self._parser.should_keep_alive(),
            index=index,
            head_bytes=self._head_size,
        )
        self._reset()
        self.ready.append(request)

    def _convert_absolute_form(self):
        """Take the host from the target, which is then a path.

        RFC 9112, section 3.2.2: the host in the target replaces that of ``Host``.
        """
        match = _ABSOLUTE_FORM.fullmatch(self._url)
        if match is None:
            self._fail(400, "the target is no absolute URI of http or https")
        host, path = match.groups(default=b"")
        self._url = path if path.startswith(b"/") else b"/" + path
        self._headers = [
            (name, value) for name, value in self._headers if name.lower() != b"host"
        ]
        self._headers.insert(0, (b"Host", host))
        self._make_index()

    def _reset(self):
        super()._reset()
        self._url = b""
        self._error = None
        self.has_begun = False

    def _check_head_size(self, size):
        if size > self._limits.head_bytes:
            self._fail(431, f"the head is over {self._limits.head_bytes} bytes")

    def _check_body_size(self, size):
        if size > self._limits.body_bytes:
            self._fail(413, f"the body is over {self._limits.body_bytes} bytes")

    def _fail(self, status, detail):
        self._error = RequestError(status=status, detail=detail)
        raise self._error


class ResponseReader(_MessageReader):
    """Parses a stream of bytes into responses of limited size.

    Complete responses are appended to ``ready``; interim responses (1xx) are
    dropped.

    :param is_head: whether the responses answer HEAD requests and have no body.
    :param limits: the :class:`Limits` of a response.
    """

    def __init__(self, *, is_head=False, limits=RESPONSE_LIMITS):
        self._keeps_alive = False
        self._is_head = is_head
        self._interim_count = 0
        self._parser = httptools.HttpResponseParser(self)
        super().__init__(limits=limits)

    @property
    def is_reusable(self):
        """Whether the connection can carry another request after this response."""
        return self._keeps_alive and not self._in_message

    def feed(self, data):
        """Parse received bytes and append complete responses to ``ready``.

        :raises ResponseError: the bytes are not a valid response or are over a
            limit; ``ready`` may still hold responses that were complete before.
        """
        try:
            self._feed(data)
        except httptools.HttpParserUpgrade:
            self._keeps_alive = False
            raise ResponseError("the protocol was switched unasked") from None
        except httptools.HttpParserError as error:
            self._keeps_alive = False
            raise ResponseError(str(error.__context__ or error)) from None

    def feed_eof(self):
        """Handle the end of the stream.

        It ends a body that has neither a length nor a transfer encoding.
        """
        if self.has_head and not self._is_framed:
            self._complete(keep_alive=False)

    def on_header(self, name, value):
        """Append a header; called by httptools."""
        super().on_header(name, value)
        if len(self._headers) > MAXIMUM_RESPONSE_HEADERS:
            raise ResponseError(f"there are over {MAXIMUM_RESPONSE_HEADERS} headers")

    def on_headers_complete(self):
        """Record the end of the head, which completes a response to HEAD."""
        self._has_progressed = True
        if self._parser.get_status_code() not in _STATUSES:
            raise ResponseError(f"{self._parser.get_status_code():03} is no status")
        self._make_index()
        self._is_framed = not _FRAMING_HEADERS.isdisjoint(self._index)
        self.has_head = self._parser.get_status_code() >= 200
        if self.has_head and self._is_head:
            self._complete(keep_alive=self._parser.should_keep_alive())

    def on_message_complete(self):
        """Append a final response to ``ready``; called by httptools."""
        if self._parser.get_status_code() < 200:
            self._drop_interim()
        elif not self._is_head:
            self._complete(keep_alive=self._parser.should_keep_alive())

    def _reset(self):
        super()._reset()
        self._is_framed = False

    def _drop_interim(self):
        self._interim_count += 1
        if self._interim_count > MAXIMUM_INTERIM_RESPONSES:
            raise ResponseError(
                f"there are over {MAXIMUM_INTERIM_RESPONSES} interim responses"
            )
        self._reset()

    def _complete(self, *, keep_alive):
        self._keeps_alive = keep_alive
        self._interim_count = 0
        self.ready.append(
            Response(
                status=self._parser.get_status_code(),
                headers=tuple(self._headers),
                body=bytes(self._body),
                index=self._index,
            )
        )
        self._reset()

    def _check_head_size(self, size):
        if size > self._limits.head_bytes:
            raise ResponseError(f"the head is over {self._limits.head_bytes} bytes")

    def _check_body_size(self, size):
        if size > self._limits.body_bytes:
            raise ResponseError(f"the body is over {self._limits.body_bytes} bytes")


def remove_hop_by_hop_headers(
    headers, *, index=None, dropped=HOP_BY_HOP_HEADERS, kept=END_TO_END_HEADERS
):
    """Return the headers that are meant for the final recipient.

    :param index: the index of the message's headers, if it was made.
    :param dropped: lower-case names that are left out, beside those that
        ``Connection`` names.
    :param kept: lower-case names that ``Connection`` can't leave out.
    """
    if index is None or b"connection" in index:
        dropped = dropped | (_list_connection_options(headers) - kept)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def _list_connection_options(headers):
    """Return the lower-case names in all ``Connection`` headers."""
    return {
        option.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for option in value.split(b",")
    }


def format_request(*, method, target, headers, body, has_body):
    """Return the bytes of a request; see :func:`format_request_head`."""
    head = format_request_head(
        method=method, target=target, headers=headers, body=body, has_body=has_body
    )
    return head + body


def format_request_head(*, method, target, headers, body, has_body):
    """Return the bytes of a request that come before its body.

    :param has_body: whether to send a ``Content-Length`` for an empty body too.
    :raises HeadError: a part of the head would end its line, or the whole head.
    """
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in headers]
    if has_body or body:
        lines.append(b"Content-Length: %d" % len(body))
    return _join_head(lines, headers)


def _join_head(lines, headers):
    """Return the bytes of a head.

    :raises HeadError: a line would end early, or the whole head.
    """
    head = b"\r\n".join(lines)
    rest = head.translate(None, _HEAD_ENDS)
    if len(head) - len(rest) != 2 * (len(lines) - 1):
        raise HeadError(
            "a line break or NUL in the first line or a header; "
            f"the names of the headers are {[name for name, _ in headers]}"
        )
    return head + b"\r\n\r\n"


def format_response(response, *, keep_alive, is_head=False):
    """Return the bytes of a response; see :func:`format_response_parts`."""
    return b"".join(
        format_response_parts(response, keep_alive=keep_alive, is_head=is_head)
    )


def format_response_parts(response, *, keep_alive, is_head=False):
    """Return the bytes of a response's head and of its body.

    :param is_head: whether it answers a HEAD request and is sent without a body.
    :raises HeadError: its status is no final one, or a part of its head would end its
        line, or the whole head.
    """
    if type(response.status) is not int or response.status not in _FINAL_STATUSES:
        raise HeadError(f"{response.status!r} is no status of a final response")
    phrase = _PHRASES.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (response.status, phrase)]
    lines += [name + b": " + value for name, value in response.headers]
    if not is_head and response.status not in NO_BODY_STATUSES:
        lines.append(b"Content-Length: %d" % len(response.body))
    if not keep_alive:
        lines.append(b"Connection: close")
    head = _join_head(lines, response.headers)
    return head, b"" if is_head else response.body


def make_text_response(status, text, *, headers=()):
    """Return a :class:`Response` with a body of plain text."""
    body = f"{text}\n".encode()
    return Response(
        status=status,
        headers=((b"Content-Type", b"text/plain; charset=utf-8"), *headers),
        body=body,
    )

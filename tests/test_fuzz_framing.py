"""Random headers of one connection beside lengths and chunks; the reader's requests
are compared with what was sent."""

import os
import typing
import unittest

from hypothesis import given, settings, strategies

from jackdawlanding.wire import http

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "400"))
LIMITS = http.Limits(head_bytes=4096, body_bytes=4096)
OPTIONS = strategies.lists(
    strategies.sampled_from(
        (b"Upgrade", b"upgrade", b"HTTP2-Settings", b"keep-alive", b"TE", b"X-Odd")
    ),
    max_size=3,
)
FIELDS = strategies.lists(
    strategies.one_of(
        strategies.sampled_from(
            (
                (b"Upgrade", b"h2c"),
                (b"UPGRADE", b"websocket, h2c"),
                (b"upgrade", b"TLS/1.0"),
                (b"HTTP2-Settings", b"AAMAAABkAAQAAP__"),
                (b"Expect", b"100-continue"),
                (b"Trailer", b"X-Sum"),
                (b"Keep-Alive", b"timeout=5"),
                (b"X-Other", b"Upgrade: h2c"),
            )
        ),
        OPTIONS.filter(bool).map(
            lambda options: (b"Connection", b", ".join(options)),
        ),
    ),
    max_size=5,
)
TRAILERS = strategies.lists(
    strategies.sampled_from(
        ((b"X-Sum", b"1"), (b"Upgrade", b"h2c"), (b"Connection", b"upgrade"))
    ),
    max_size=2,
)


class Sent(typing.NamedTuple):
    """A request as its client means it; ``chunks`` is ``None`` for a length."""

    method: bytes
    fields: list
    pieces: list
    is_chunked: bool
    trailers: list

    def encode(self, number):
        head = b"%s /%d HTTP/1.1\r\nHost: a.example\r\n" % (self.method, number)
        body = b"".join(self.pieces)
        fields = list(self.fields)
        if self.is_chunked:
            fields.append((b"Transfer-Encoding", b"chunked"))
            body = b"".join(
                b"%x\r\n%s\r\n" % (len(piece), piece) for piece in self.pieces if piece
            )
            body += b"0\r\n" + _format_fields(self.trailers) + b"\r\n"
        elif body:
            fields.insert(0, (b"Content-Length", b"%d" % len(body)))
        return head + _format_fields(fields) + b"\r\n" + body


def _format_fields(fields):
    return b"".join(b"%s: %s\r\n" % field for field in fields)


REQUESTS = strategies.lists(
    strategies.builds(
        Sent,
        method=strategies.sampled_from((b"GET", b"POST", b"PUT", b"HEAD", b"DELETE")),
        fields=FIELDS,
        pieces=strategies.lists(
            strategies.sampled_from(
                (b"a", b"bc", b"GET /smuggled HTTP/1.1\r\n\r\n", b"\r\n", b"x" * 300)
            ),
            max_size=4,
        ),
        is_chunked=strategies.booleans(),
        trailers=TRAILERS,
    ),
    min_size=1,
    max_size=4,
)


class FramingFuzzTest(unittest.TestCase):
    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(REQUESTS, strategies.lists(strategies.integers(1, 90), max_size=12))
    def test_each_request_is_what_its_client_framed(self, requests, sizes):
        """A request that offered HTTP/2 was taken without its body."""
        data = b"".join(sent.encode(number) for number, sent in enumerate(requests))
        reader = http.RequestReader(limits=LIMITS)
        for size in sizes:
            reader.feed(data[:size])
            data = data[size:]
        reader.feed(data)
        self.assertEqual(
            [(r.method, r.target, r.body) for r in reader.ready],
            [
                (sent.method.decode(), f"/{number}", b"".join(sent.pieces))
                for number, sent in enumerate(requests)
            ],
        )
        for request, sent in zip(reader.ready, requests, strict=True):
            passed = http.remove_hop_by_hop_headers(request.headers)
            named = {name.lower() for name, _ in passed}
            self.assertTrue(named.isdisjoint({b"upgrade", b"connection", b"expect"}))
            kept = [field for field in sent.fields if field[0] == b"X-Other"]
            self.assertEqual([f for f in passed if f[0] == b"X-Other"], kept)
            self.assertNotIn(b"x-sum", named)
        self.assertFalse(reader.has_begun)

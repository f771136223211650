"""Requests and responses are cut whole, within bounds, from any pieces."""

import typing
import unittest

from hypothesis import given, settings, strategies

from jackdawlanding.wire import http


class Limits(typing.NamedTuple):
    """Bounds of a reader, in bytes."""

    head_bytes: int = 200
    body_bytes: int = 10


def read_responses(*pieces, **options):
    """Return a reader that was fed with pieces."""
    reader = http.ResponseReader(**options)
    for piece in pieces:
        reader.feed(piece)
    return reader


class RequestReaderTest(unittest.TestCase):
    def read_error(self, data):
        reader = http.RequestReader(limits=Limits())
        with self.assertRaises(http.RequestError) as caught:
            reader.feed(data)
        return caught.exception.status

    def test_a_declared_body_over_the_bound_is_refused_by_its_head(self):
        head = b"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"
        self.assertEqual(self.read_error(head), 413)

    def test_a_chunked_body_over_the_bound_is_refused(self):
        head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(self.read_error(head + b"b\r\n" + b"x" * 11), 413)

    def test_a_head_over_the_bound_is_refused(self):
        head = b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 200 + b"\r\n\r\n"
        self.assertEqual(self.read_error(head), 431)

    def test_garbage_is_refused(self):
        self.assertEqual(self.read_error(b"\x00\x01\r\n\r\n"), 400)

    def test_it_tells_how_far_a_request_has_come(self):
        reader = http.RequestReader(limits=Limits())
        self.assertFalse(reader.has_begun)
        reader.feed(b"GE")
        self.assertTrue(reader.has_begun)
        reader.feed(b"T / HTTP/1.1\r\nContent-Length: 2\r\n\r\n")
        self.assertTrue(reader.has_head)
        reader.feed(b"ab")
        self.assertFalse(reader.has_begun)
        self.assertEqual(reader.ready[0].body, b"ab")

    @settings(max_examples=60, derandomize=True)
    @given(strategies.lists(strategies.integers(1, 120), max_size=8))
    def test_pieces_of_any_size_give_the_same_requests(self, sizes):
        data = (
            b"POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
            b"GET /d HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        reader = http.RequestReader(limits=Limits())
        for size in sizes:
            reader.feed(data[:size])
            data = data[size:]
        reader.feed(data)
        self.assertEqual([one.target for one in reader.ready], ["/a?b=c", "/d"])
        self.assertEqual([one.body for one in reader.ready], [b"abc", b""])


class ResponseReaderTest(unittest.TestCase):
    def test_a_response_without_a_length_ends_with_its_stream(self):
        reader = read_responses(b"HTTP/1.1 200 OK\r\n\r\nab", b"c")
        self.assertEqual(reader.ready, [])
        reader.feed_eof()
        self.assertEqual(reader.ready[0].body, b"abc")
        self.assertFalse(reader.is_reusable)

    def test_a_response_cut_short_is_not_whole(self):
        reader = read_responses(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab")
        reader.feed_eof()
        self.assertEqual(reader.ready, [])

    def test_an_interim_response_is_passed_over(self):
        reader = read_responses(
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
        )
        self.assertEqual([one.status for one in reader.ready], [200])
        self.assertTrue(reader.is_reusable)

    def test_the_begin_of_another_response_spoils_the_connection(self):
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
        self.assertTrue(read_responses(whole).is_reusable)
        self.assertFalse(read_responses(whole + whole[:20]).is_reusable)

    def test_the_answer_to_head_has_no_body(self):
        reader = read_responses(
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", is_head=True
        )
        self.assertEqual(reader.ready[0].body, b"")

    def test_a_body_over_the_bound_is_an_error(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
        with self.assertRaises(http.ResponseError):
            read_responses(head, b"abcde", body_bytes=4)

    def test_garbage_is_an_error(self):
        with self.assertRaises(http.ResponseError):
            read_responses(b"garbage\r\n\r\n")


class FormatTest(unittest.TestCase):
    def test_what_is_formatted_is_read_again(self):
        data = http.format_request(
            method="POST", target="/a", headers=[(b"A", b"b")], body=b"c", has_body=True
        )
        reader = http.RequestReader(limits=Limits())
        reader.feed(data)
        self.assertEqual(reader.ready[0].get_header_text(b"a"), "b")
        self.assertEqual(reader.ready[0].body, b"c")

    def test_a_response_to_head_is_sent_without_a_body(self):
        response = http.make_text_response(200, "hello")
        data = http.format_response(response, keep_alive=True, is_head=True)
        self.assertTrue(data.endswith(b"\r\n\r\n"))
        self.assertNotIn(b"Content-Length", data)

    def test_headers_of_one_connection_are_left_out(self):
        pairs = [(b"Connection", b"X-Own"), (b"X-Own", b"1"), (b"A", b"b")]
        self.assertEqual(http.remove_hop_by_hop_headers(pairs), [(b"A", b"b")])


if __name__ == "__main__":
    unittest.main()

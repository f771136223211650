"""Requests of callers are served, or refused with the right status."""

import socket
import time
import unittest

from jackdawlanding.emulator import backend
from tests import support


class ListenerTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.platform = support.start_platform(support.AWARDS)
        cls.addClassCleanup(cls.platform.stop)
        cls.node = support.Node(
            service="awards",
            platform=cls.platform,
            head_bytes=2048,
            body_bytes=4096,
            arrival_seconds=0.5,
            behaviour=backend.Behaviour(service_seconds=0.01),
        ).start()
        cls.addClassCleanup(cls.node.stop)

    def exchange(self, *pieces, pause=0.0):
        """Send raw pieces; return all bytes that are received until the close."""
        with socket.create_connection(("127.0.0.1", self.node.port)) as sock:
            sock.settimeout(5)
            for piece in pieces:
                sock.sendall(piece)
                time.sleep(pause)
            answer = b""
            while data := sock.recv(65536):
                answer += data
            return answer

    def assertStatus(self, answer, status):
        self.assertTrue(answer.startswith(b"HTTP/1.1 %d " % status), answer[:80])

    def test_garbage_is_a_400(self):
        self.assertStatus(self.exchange(b"\x00\x01 nonsense\r\n\r\n"), 400)

    def test_a_long_head_is_a_431(self):
        head = b"GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + b"x" * 4000 + b"\r\n\r\n"
        self.assertStatus(self.exchange(head), 431)

    def test_a_long_declared_body_is_a_413(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n"
        self.assertStatus(self.exchange(head), 413)

    def test_a_long_chunked_body_is_a_413(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        self.assertStatus(self.exchange(head, chunk, chunk), 413)

    def test_a_slow_request_is_a_408(self):
        answer = self.exchange(b"GET / HTTP/1.1\r\nHo", pause=0.9)
        self.assertStatus(answer, 408)
        self.assertIn(b"Jackdaw-Outcome: not-run", answer)

    def test_a_request_in_single_bytes_is_served(self):
        request = b"GET /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        pieces = [request[at : at + 1] for at in range(len(request))]
        self.assertStatus(self.exchange(*pieces), 200)

    def test_pipelined_requests_are_answered_in_order(self):
        first = b"GET /one HTTP/1.1\r\nHost: a\r\n\r\n"
        last = b"GET /two HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        answer = self.exchange(first + last)
        self.assertLess(answer.index(b"/one"), answer.index(b"/two"))

    def test_an_offer_of_another_protocol_is_ignored(self):
        """The request was taken without its body, and answered twice."""
        offer = b"Upgrade: h2c\r\nConnection: Upgrade, close\r\n"
        head = b"POST /one HTTP/1.1\r\nHost: a\r\n" + offer
        answer = self.exchange(head + b"Content-Length: 3\r\n\r\n", b"abc", pause=0.1)
        self.assertStatus(answer, 200)
        self.assertEqual(answer.count(b"HTTP/1.1 "), 1)

    def test_slow_senders_do_not_delay_others(self):
        slow = [
            socket.create_connection(("127.0.0.1", self.node.port)) for _ in range(40)
        ]
        for sock in slow:
            sock.sendall(b"GET / HT")
        started_at = time.monotonic()
        self.assertEqual(support.call(self.node.port, "GET", "/a").status, 200)
        self.assertLess(time.monotonic() - started_at, 0.4)
        for sock in slow:
            sock.close()

    def test_internal_headers_of_a_caller_are_ignored(self):
        headers = {"Jackdaw-Rank": "0", "Jackdaw-Caller": "x", "Jackdaw-Call": "y"}
        self.assertEqual(
            support.call(self.node.port, "GET", "/a", headers=headers).status, 200
        )
        ranks = {
            rank for (rank, *_), _ in self.node.daemon.context.metrics.list_calls()
        }
        self.assertNotIn(0, ranks)

    def test_a_truncated_response_is_a_502_with_its_outcome(self):
        reply = support.call(self.node.port, "GET", "/a?cut", headers={"X-Cut": "1"})
        self.assertEqual(reply.status, 502)
        self.assertEqual(reply.outcome, "unknown")
        self.assertEqual(reply.reason, "cut-short")

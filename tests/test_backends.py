"""Connections to a backend server whose answers come a second time, late."""

import collections
import contextlib
import random
import socket
import threading
import unittest

from jackdawlanding.mesh import backends, eventloop
from jackdawlanding.wire import http

REQUESTS = 1000


class RepeatingServer:
    """Answers 503 to the first request with an id and 200 to those after it.

    Before an answer it sends all earlier ones of the connection again, or with
    ``draw``, a ``random.Random``, some of them. The body of an answer is the number of
    its request, and ``served`` that of the last one.
    """

    def __init__(self):
        self.connections = 0
        self.most_requests = 0
        self.served = 0
        self.draw = None
        self._counts = collections.Counter()
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = self._sock.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        reader = http.RequestReader(
            limits=http.Limits(head_bytes=4096, body_bytes=4096)
        )
        sent = collections.deque(maxlen=backends.MAXIMUM_STRAY_RESPONSES - 1)
        served = 0
        with sock, contextlib.suppress(OSError):
            while data := sock.recv(65536):
                reader.feed(data)
                ready, reader.ready = reader.ready, []
                for request in ready:
                    served += 1
                    self.most_requests = max(self.most_requests, served)
                    answer = self._make_answer(request.get_header(b"x-request-id"))
                    sock.sendall(b"".join(self._choose_copies(sent)) + answer)
                    sent.append(answer)

    def _choose_copies(self, sent):
        if self.draw is None:
            return sent
        return self.draw.sample(sent, self.draw.randint(0, len(sent)))

    def _make_answer(self, request_id):
        self._counts[request_id] += 1
        status = 503 if self._counts[request_id] == 1 else 200
        fields = ((b"X-Request-Id", request_id),) if request_id else ()
        self.served += 1
        body = b"%d" % self.served
        response = http.Response(status=status, headers=fields, body=body)
        return http.format_response(response, keep_alive=True)


class BackendPoolTest(unittest.TestCase):
    def setUp(self):
        self.server = RepeatingServer()
        self.addCleanup(self.server.stop)
        self.loop = eventloop.EventLoop()
        self.addCleanup(self.loop.close)
        self.pool = backends.BackendPool(loop=self.loop, address=self.server.address)

    def send(self, request_id):
        """Return the answer to a request."""
        results = []
        attempt = backends.Attempt(
            parts=(
                http.format_request(
                    method="PUT",
                    target="/",
                    headers=[(b"X-Request-Id", request_id)] if request_id else [],
                    body=b"",
                    has_body=True,
                ),
            ),
            is_head=False,
            id_header=b"x-request-id",
            request_id=request_id,
            on_done=results.append,
        )
        self.pool.send(attempt, needs_recent=True)
        for _ in range(100):
            if results:
                return results[0].response
            self.loop.run_once()
        raise AssertionError("no result after 100 iterations")

    def test_a_late_copy_answers_no_second_sending_of_its_request(self):
        """A request was taken for not run by the refusal of its first sending."""
        for others in (0, 1, 5):
            with self.subTest(others=others):
                request_id = b"id-%d" % others
                self.assertEqual(self.send(request_id).status, 503)
                for number in range(others):
                    self.assertEqual(
                        self.send(b"%s.%d" % (request_id, number)).status, 503
                    )
                self.assertEqual(self.send(request_id).status, 200)

    def test_each_sending_gets_its_own_answer_whatever_comes_again(self):
        for seed in range(20):
            self.server.draw = draw = random.Random(seed)
            for _ in range(50):
                request_id = draw.choice((b"", b"a", b"b", b"c", b"d"))
                body = self.send(request_id).body
                self.assertEqual(body, b"%d" % self.server.served, seed)

    def test_a_late_copy_of_a_health_check_answers_no_later_one(self):
        self.assertEqual(self.send(b"").status, 503)
        self.assertEqual(self.send(b"").status, 200)

    def test_a_connection_is_kept_for_other_requests_but_not_for_good(self):
        for number in range(REQUESTS):
            self.assertEqual(self.send(b"id-%d" % number).status, 503)
        self.assertLessEqual(self.server.connections, REQUESTS // 100)
        self.assertLessEqual(
            self.server.most_requests, backends.MAXIMUM_REQUESTS_PER_CONNECTION
        )

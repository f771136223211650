"""The client of the backend server never sends a request twice."""

import contextlib
import socket
import threading
import unittest

from jackdawlanding.daemon import backend, cancellations
from jackdawlanding.settings import addresses

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class OneAnswerServer:
    """Answers a number of requests on each connection and closes it at the next."""

    def __init__(self, *, answers=1):
        self.requests = 0
        self._answers = answers
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = addresses.Address(*self._sock.getsockname())
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self):
        # close() alone does not end a blocked accept(), which keeps listening.
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _serve(self):
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            for number in range(self._answers + 1):
                if not sock.recv(65536):
                    break
                self.requests += 1
                if number < self._answers:
                    sock.sendall(ANSWER)
            sock.close()


class BackendClientTest(unittest.TestCase):
    def call(self, client):
        return client.call(
            method="POST",
            target="/x",
            headers=(),
            body=b"b",
            timeout=2.0,
            cancellation=cancellations.Cancellation(),
        )

    def test_a_request_on_a_reused_connection_that_closes_is_not_retried(self):
        """The backend server may have run the request before it closed."""
        server = OneAnswerServer()
        self.addCleanup(server.stop)
        client = backend.BackendClient(address=server.address)
        self.assertEqual(self.call(client).body, b"ok")
        with self.assertRaises(backend.BackendError) as caught:
            self.call(client)
        self.assertTrue(caught.exception.sent)
        self.assertEqual(caught.exception.reason, "died")
        self.assertEqual(server.requests, 2)

    def test_a_refused_connection_reports_that_nothing_was_sent(self):
        server = OneAnswerServer()
        server.stop()
        client = backend.BackendClient(address=server.address)
        with self.assertRaises(backend.BackendError) as caught:
            self.call(client)
        self.assertFalse(caught.exception.sent)

    def test_a_response_without_a_length_is_not_taken_as_complete(self):
        global ANSWER
        server = OneAnswerServer(answers=1)
        self.addCleanup(server.stop)
        before, ANSWER = ANSWER, b"HTTP/1.1 200 OK\r\n\r\nhalf a pa"
        self.addCleanup(globals().__setitem__, "ANSWER", before)
        client = backend.BackendClient(address=server.address)
        with self.assertRaises(backend.BackendError) as caught:
            client.call(
                method="GET",
                target="/x",
                headers=(),
                body=b"",
                timeout=0.3,
                cancellation=cancellations.Cancellation(),
            )
        self.assertTrue(caught.exception.sent)

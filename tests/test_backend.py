"""The client of the backend server never sends a request twice."""

import contextlib
import socket
import threading
import time
import unittest

from jackdawlanding.daemon import backend, cancellations, messages
from jackdawlanding.settings import addresses

ANSWER = b"HTTP/1.1 200 OK\r\nJackdaw-Call: 1\r\nContent-Length: 2\r\n\r\nok"
UNNAMED_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


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


class ScriptedServer(OneAnswerServer):
    """Sends the given bytes on each request; all connections share the script.

    A script entry is bytes, or a list of bytes that are sent 50 ms apart.
    """

    def __init__(self, *script):
        self._script = list(script)
        self.connections = 0
        super().__init__(answers=len(script))

    def _serve(self):
        while self._script:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self.connections += 1
            # The client may reset a connection on which it left bytes unread.
            with sock, contextlib.suppress(OSError):
                while self._script and sock.recv(65536):
                    pieces = self._script.pop(0)
                    for piece in [pieces] if isinstance(pieces, bytes) else pieces:
                        sock.sendall(piece)
                        time.sleep(0.05)


REFUSAL = b"HTTP/1.1 503 Full\r\nJackdaw-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
FIRST_ECHOED = (
    b"HTTP/1.1 503 Full\r\nJackdaw-Outcome: not-run\r\nJackdaw-Call: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
SECOND_ECHOED = b"HTTP/1.1 200 OK\r\nJackdaw-Call: 2\r\nContent-Length: 2\r\n\r\nok"


class BackendClientTest(unittest.TestCase):
    def start(self, *script):
        server = ScriptedServer(*script)
        self.addCleanup(server.stop)
        return server, backend.BackendClient(address=server.address)

    def call(self, client, *, token=b"1"):
        return client.call(
            method="POST",
            target="/x",
            headers=((messages.CALL_HEADER, token),),
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

    def test_a_second_copy_of_an_answer_is_not_taken_for_the_next_one(self):
        """It came while the connection was idle, which was then used again."""
        server, client = self.start(ANSWER.replace(b"ok", b"no") * 2, ANSWER)
        self.call(client)
        self.assertEqual(self.call(client).body, b"ok")
        server, client = self.start([ANSWER.replace(b"ok", b"no")] * 2, ANSWER)
        self.call(client)
        time.sleep(0.1)
        self.assertEqual(self.call(client).body, b"ok")

    def test_an_earlier_refusal_that_is_sent_again_refuses_no_other_call(self):
        server, client = self.start(REFUSAL, [REFUSAL, ANSWER], ANSWER)
        self.assertEqual(self.call(client).status, 503)
        self.call(client)
        self.assertEqual(server.connections, 2)

    def test_a_late_copy_of_an_answer_without_a_name_answers_no_other_call(self):
        for answer, connections in ((UNNAMED_ANSWER, 2), (ANSWER, 1)):
            with self.subTest(answer=answer):
                server, client = self.start(answer, answer)
                self.call(client)
                self.call(client)
                self.assertEqual(server.connections, connections)

    def test_an_answer_that_names_another_call_is_dropped(self):
        first = FIRST_ECHOED.replace(b"Jackdaw-Outcome: not-run\r\n", b"")
        server, client = self.start(first, [first, SECOND_ECHOED])
        self.assertEqual(self.call(client).status, 503)
        self.assertEqual(self.call(client, token=b"2").body, b"ok")

    def test_an_answer_with_invalid_bytes_behind_it_is_delivered(self):
        for rest in (b"\x00\x01 garbage\r\n\r\n", ANSWER[:30]):
            with self.subTest(rest=rest):
                server, client = self.start(ANSWER + rest, ANSWER)
                self.assertEqual(self.call(client).body, b"ok")
                self.assertEqual(self.call(client).body, b"ok")
                self.assertEqual(server.connections, 2)

    def test_an_answer_that_ends_in_its_head_is_no_answer(self):
        server, client = self.start(ANSWER[:30])
        with self.assertRaises(backend.BackendError) as caught:
            self.call(client)
        self.assertTrue(caught.exception.sent)

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

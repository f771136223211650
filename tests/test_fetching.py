"""Reads of the store over one connection, and answers without end."""

import contextlib
import socket
import threading
import time
import tracemalloc
import unittest
from unittest import mock

from jackdawlanding.mesh import eventloop, fetching
from jackdawlanding.platform import targets
from jackdawlanding.wire import http
from tests import meshes, proxies, stores

HEAD = b"HTTP/1.1 200 OK\r\n"


class EndlessStore:
    """Answers each request with a head, and a piece again and again."""

    def __init__(self, *, head, piece):
        self._head = head
        self._piece = piece
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self):
        self._listener.close()

    def _serve(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                with sock, contextlib.suppress(OSError):
                    sock.recv(65536)
                    sock.sendall(self._head)
                    while True:
                        sock.sendall(self._piece)


class IdleConnectionTest(unittest.TestCase):
    def test_an_idle_connection_that_went_silent_fails_no_read(self):
        """A daemon that took over from the store's readers lost two seconds."""
        store = stores.Store()
        self.addCleanup(store.stop)
        port = meshes.find_free_port()
        proxy = proxies.Proxy(host="127.0.0.1", port=port, target=store.bound_address)
        self.addCleanup(proxy.stop)
        loop = eventloop.EventLoop()
        self.addCleanup(loop.close)
        fetcher = fetching.Fetcher(loop=loop, address=("127.0.0.1", port))
        self.assertEqual(self.fetch(loop, fetcher).status, 200)
        proxy.go_silent()
        with mock.patch.object(fetching, "MAXIMUM_IDLE_SECONDS", 0.1):
            time.sleep(0.2)
            self.assertEqual(self.fetch(loop, fetcher).status, 200)

    def fetch(self, loop, fetcher):
        responses = []
        target = targets.format_range("", after="")
        fetcher.get(target, seconds=1.0, on_response=responses.append)
        while not responses:
            loop.call_later(0.05, lambda: None)
            loop.run_once()
        return responses[0]


class EndlessAnswerTest(unittest.TestCase):
    def fetch(self, store):
        loop = eventloop.EventLoop()
        self.addCleanup(loop.close)
        fetcher = fetching.Fetcher(loop=loop, address=store.address)
        responses = []
        fetcher.get("/", seconds=30, on_response=responses.append)
        end = time.monotonic() + 10
        while not responses and time.monotonic() < end:
            loop.call_later(0.05, lambda: None)
            loop.run_once()
        return responses

    def test_an_answer_without_end_fails_the_read(self):
        """The store's answer filled the daemon's memory until the read timed out."""
        for name, head, piece in (
            ("value", HEAD + b"A: ", b"a" * 32768),
            ("headers", HEAD, b"A: b\r\n" * 1000),
            ("body", HEAD + b"\r\n", b"a" * 32768),
            ("interim", b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        ):
            store = EndlessStore(head=head, piece=piece)
            self.addCleanup(store.stop)
            with self.subTest(name=name):
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                self.assertEqual(self.fetch(store), [None])
                peak = tracemalloc.get_traced_memory()[1]
                self.assertLess(peak, http.RESPONSE_LIMITS.body_bytes * 2)


if __name__ == "__main__":
    unittest.main()

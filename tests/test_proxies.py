"""The proxy that tests interrupt connections with."""

import socket
import time
import unittest

from tests import meshes, proxies

HOST = "127.0.0.1"


class ProxyTest(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server((HOST, 0))
        self.addCleanup(self.listener.close)
        self.proxy = proxies.Proxy(
            host=HOST,
            port=meshes.find_free_port(),
            target=self.listener.getsockname(),
        )
        self.addCleanup(self.proxy.stop)

    def connect(self):
        near = socket.create_connection((HOST, self.proxy.port), timeout=2)
        self.addCleanup(near.close)
        far, _ = self.listener.accept()
        self.addCleanup(far.close)
        far.settimeout(2)
        near.sendall(b"x")
        self.assertEqual(far.recv(1), b"x")
        return near, far

    def test_idle_connections_are_reset_at_once(self):
        ends = self.connect()
        self.proxy.reset_all()
        for end in ends:
            with self.assertRaises(ConnectionResetError):
                end.recv(1)

    def test_a_silent_connection_carries_nothing_and_does_not_end(self):
        near, far = self.connect()
        self.proxy.go_silent()
        near.sendall(b"y")
        near.shutdown(socket.SHUT_WR)
        far.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            far.recv(1)
        self.connect()

    def test_a_connection_may_be_silent_one_way(self):
        near, far = self.connect()
        self.proxy.go_silent(only_answers=True)
        far.sendall(b"y")
        near.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            near.recv(1)
        near.sendall(b"z")
        self.assertEqual(far.recv(1), b"z")

    def test_a_connection_that_was_idle_for_long_carries_on(self):
        """Answers were lost after 2 s: nobody drew that fault, or knew of it."""
        near, far = self.connect()
        time.sleep(2.5)
        far.sendall(b"y")
        self.assertEqual(near.recv(1), b"y")
        near.sendall(b"z")
        self.assertEqual(far.recv(1), b"z")

    def test_what_is_forwarded_may_be_delayed(self):
        near, far = self.connect()
        self.proxy.delay = 0.2
        started_at = time.monotonic()
        near.sendall(b"y")
        self.assertEqual(far.recv(1), b"y")
        self.assertGreaterEqual(time.monotonic() - started_at, 0.2)


if __name__ == "__main__":
    unittest.main()

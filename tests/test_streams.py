"""Streams whose peer has stopped reading."""

import errno
import socket
import time
import unittest
from unittest import mock

from jackdawlanding.mesh import eventloop, streams
from tests import proxies


class SendErrorTest(unittest.TestCase):
    def setUp(self):
        self.loop = eventloop.EventLoop()
        self.addCleanup(self.loop.close)
        self.received = b""
        self.closed = []

    def receive(self, data):
        self.received += data

    def send_to_reset_peer(self, *, reads_after_error):
        """Send more than fits to a peer that has sent three bytes and reset."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            stream = streams.connect(loop=self.loop, address=listener.getsockname())
            stream.reads_after_error = reads_after_error
            stream.on_data = self.receive
            stream.on_closed = self.closed.append
            stream.write(bytes(8 << 20))
            peer, _ = listener.accept()
            self.loop.run_once()
            stream.pause()
            peer.sendall(b"abc")
            time.sleep(0.05)
            proxies.reset(peer)
            time.sleep(0.05)
            while not self.closed:
                stream._flush()

    def test_data_that_arrived_before_a_send_error_is_read(self):
        """An early answer was dropped because the rest could not be sent."""
        self.send_to_reset_peer(reads_after_error=True)
        self.assertEqual((self.received, self.closed), (b"abc", [True]))

    def test_requests_behind_a_send_error_are_not_read(self):
        """Their caller is gone, so that serving them is wasted work."""
        self.send_to_reset_peer(reads_after_error=False)
        self.assertEqual((self.received, self.closed), (b"", [True]))


class ListenerTest(unittest.TestCase):
    def test_a_listener_without_descriptors_waits_and_then_accepts(self):
        """A pending connection kept the loop busy, and the log full."""
        loop = eventloop.EventLoop()
        self.addCleanup(loop.close)
        accepted = []
        listener = streams.Listener(
            loop=loop,
            address=("127.0.0.1", 0),
            accept=lambda stream, host: accepted.append(stream),
        )
        self.addCleanup(listener.close)
        sock = listener._sock
        failing = mock.Mock(wraps=sock)
        failing.accept.side_effect = OSError(errno.EMFILE, "no descriptors")
        listener._sock = failing
        client = socket.create_connection(sock.getsockname())
        self.addCleanup(client.close)
        self.run_for(loop, 0.35)
        self.assertIn(failing.accept.call_count, range(2, 6))
        listener._sock = sock
        self.run_for(loop, 0.2)
        self.assertEqual(len(accepted), 1)

    def run_for(self, loop, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            loop.call_later(0.02, lambda: None)
            loop.run_once()


if __name__ == "__main__":
    unittest.main()

"""Connections between daemons: each request gets its own reply or an error."""

import concurrent.futures
import contextlib
import random
import socket
import threading
import unittest

from jackdawlanding.daemon import peers
from jackdawlanding.wire import codec, framing


class ShufflingPeer:
    """Answers calls in batches, out of order and some of them twice."""

    def __init__(self, *, seed, batch=5, drops_after=None):
        self._random = random.Random(seed)
        self._batch = batch
        self._drops_after = drops_after
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.cancelled = []
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        reader, waiting, count = framing.FrameReader(), [], 0
        sock.settimeout(0.05)
        while True:
            try:
                data = sock.recv(65536)
                if not data:
                    return
            except TimeoutError:
                data = b""
            reader.feed(data)
            while frame := reader.read_frame():
                if frame.kind == framing.Kind.CANCEL:
                    self.cancelled.append(codec.decode_cancel(frame.message).id)
                else:
                    waiting.append((codec.decode_call(frame.message), frame.body))
                    count += 1
            if self._drops_after and count >= self._drops_after:
                sock.close()
                return
            if len(waiting) >= self._batch or not data:
                self._random.shuffle(waiting)
                for call, body in waiting:
                    self._answer(sock, call, body)
                waiting = []

    def _answer(self, sock, call, body):
        if call.target == "/never":
            return
        message = codec.encode_answer(codec.AnswerMessage(id=call.id, status=200))
        data = framing.encode_frame(
            kind=framing.Kind.ANSWER, message=message, body=body
        )
        sock.sendall(data * self._random.choice([1, 1, 2]))


class PeersTest(unittest.TestCase):
    def make_pool(self, **options):
        peer = ShufflingPeer(**options)
        self.addCleanup(peer.stop)
        pool = peers.PeerPool()
        self.addCleanup(pool.close)
        return peer, pool

    def call(self, pool, peer, body, *, target="/x", timeout=5.0):
        def encode(number):
            return codec.encode_call(
                codec.CallMessage(id=number, service="s", method="GET", target=target)
            )

        reply = pool.request(
            address=peer.address,
            kind=framing.Kind.CALL,
            encode=encode,
            body=body,
            timeout=timeout,
        )
        return reply.body

    def test_replies_out_of_order_and_duplicated_reach_their_requests(self):
        for seed in range(4):
            peer, pool = self.make_pool(seed=seed)
            bodies = [f"{seed}-{number}".encode() * 50 for number in range(120)]
            with concurrent.futures.ThreadPoolExecutor(12) as threads:
                answers = list(
                    threads.map(
                        lambda body, pool=pool, peer=peer: self.call(pool, peer, body),
                        bodies,
                    )
                )
            self.assertEqual(answers, bodies)

    def test_a_call_that_times_out_is_cancelled_and_its_connection_still_serves(self):
        peer, pool = self.make_pool(seed=1, batch=1)
        with self.assertRaises(peers.PeerError) as caught:
            self.call(pool, peer, b"a", target="/never", timeout=0.2)
        self.assertEqual(caught.exception.reason, "timeout")
        self.assertEqual(self.call(pool, peer, b"b"), b"b")
        self.assertEqual(len(peer.cancelled), 1)

    def test_a_lost_connection_fails_a_call_as_sent(self):
        peer, pool = self.make_pool(seed=1, batch=99, drops_after=1)
        with self.assertRaises(peers.PeerError) as caught:
            self.call(pool, peer, b"a")
        self.assertTrue(caught.exception.sent)

    def test_a_call_to_a_peer_that_does_not_listen_fails_as_not_sent(self):
        peer, pool = self.make_pool(seed=1)
        peer.stop()
        with self.assertRaises(peers.PeerError) as caught:
            self.call(pool, peer, b"a")
        self.assertFalse(caught.exception.sent)

    def test_a_connection_closed_while_idle_is_replaced(self):
        peer, pool = self.make_pool(seed=1, batch=1)
        self.assertEqual(self.call(pool, peer, b"a"), b"a")
        pool._connections[peer.address]._sock.shutdown(socket.SHUT_RDWR)
        self.assertEqual(self.call(pool, peer, b"b"), b"b")

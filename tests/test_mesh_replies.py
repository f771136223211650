"""Malformed replies of other daemons: callers get an answer in the protocol."""

import http.client
import socket
import threading
import time
import unittest

import msgpack

from jackdawlanding.mesh import messages
from tests import backendservers, configurations, meshes

TIMEOUT_MILLIS = 1000
PEER_HOST = "127.0.1.9"
KINDS = {kind: number for number, kind in enumerate(messages.KINDS)}
GOOD = messages.Reply(
    number=0,
    outcome=1,
    arrived=1,
    reason="",
    status=200,
    headers=[b"X-Server-Signature", b"s"],
    body=b"ok",
    retry_after=0.0,
    load=[0, 0, 4, 0.1],
)
ODD_VALUES = (None, True, -1, 2**63, float("nan"), "", b"\xff", [], [None], {}, "x")
ODD_HEADERS = (
    [b"a"],
    [b"a", b"b\r\nc: d"],
    [b"a\r\nb", b"c"],
    [b"a", b"b\0"],
    ["a", "b"],
    [1, 2],
)
# What makes a reply unreadable: its call ends at its deadline.
LOST_FIELDS = {"number"}


class Peer:
    """Accepts links like a daemon, and answers each call with one odd reply."""

    def __init__(self, *, host, port):
        self.fields = {}
        self._listener = socket.create_server((host, port))
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        unpacker = msgpack.Unpacker(strict_map_key=False)
        self._send(sock, messages.Welcome(incarnation="peer", failure_domain="a1"))
        while True:
            try:
                data = sock.recv(65536)
            except OSError:
                return
            if not data:
                return
            unpacker.feed(data)
            for kind, *values in unpacker:
                self._answer(sock, kind, values)

    def _answer(self, sock, kind, values):
        if kind == KINDS[messages.Ping]:
            self._send(sock, messages.Pong(number=values[0]))
        numbers = {KINDS[messages.Call]: [values[0]], KINDS[messages.Resume]: values[0]}
        for number in numbers.get(kind, ()):
            self._send(sock, GOOD._replace(number=number)._replace(**self.fields))

    def _send(self, sock, message):
        fields = message[:-1] if isinstance(message, messages.Reply) else message
        try:
            sock.sendall(msgpack.packb((KINDS[type(message)], *fields)))
        except OSError:
            return


class MalformedReplyTest(unittest.TestCase):
    def setUp(self):
        routes = [
            configurations.make_route("own", service="desk"),
            configurations.make_route(
                "pay", service="bank", kind="unsafe", timeout=TIMEOUT_MILLIS
            ),
        ]
        self.mesh = meshes.Mesh(services=[("desk", "a1")], routes=routes)
        self.addCleanup(self.mesh.close)
        [self.member] = self.mesh.members
        self.peer = Peer(host=PEER_HOST, port=self.member.peer_port)
        self.addCleanup(self.peer.close)
        entry = backendservers.make_entry(
            service="bank", address=f"{PEER_HOST}:99", slots=4
        )
        self.mesh.store.put("servers/i-9", entry)
        known = self.member.daemon.fleet_state.directory
        meshes.wait_until(lambda: known.list_service("bank"))

    def test_a_caller_gets_an_answer_whatever_a_reply_holds(self):
        """Callers got status lines with -5, headers of other making, or no answer."""
        cases = [(name, odd) for name in GOOD._fields[:-1] for odd in ODD_VALUES]
        cases += [("headers", odd) for odd in ODD_HEADERS]
        cases += [("status", odd) for odd in (0, 99, 600, 1000)]
        for name, odd in cases:
            if name in LOST_FIELDS:
                continue
            with self.subTest(name=name, odd=odd):
                self.peer.fields = {name: odd}
                self.check()

    def test_a_reply_without_a_number_ends_its_call_at_the_deadline(self):
        self.peer.fields = {"number": []}
        self.check()

    def check(self):
        """Check that a call ends in time with a status of ours, or a whole answer."""
        started_at = time.monotonic()
        try:
            status, headers, body = self.member.call(
                "/pay/1", method="POST", body=b"x", deadline=TIMEOUT_MILLIS
            )
        except http.client.HTTPException as error:
            self.fail(f"no answer in the protocol: {error!r}")
        self.assertLess(time.monotonic() - started_at, TIMEOUT_MILLIS / 1000 + 0.4)
        self.assertIn(status, (200, 502, 503, 504))
        self.assertNotIn("c", headers)
        self.assertNotIn("b", headers)
        self.assertEqual(self.member.call("/own/1")[0], 200)


if __name__ == "__main__":
    unittest.main()

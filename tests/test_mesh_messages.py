"""Malformed messages on a link: a daemon of another version may send any."""

import socket
import unittest

import msgpack

from jackdawlanding.decisions import outcomes
from jackdawlanding.mesh import messages
from tests import calls, configurations, meshes

# Values of other types than most fields have, or out of any range.
ODD_VALUES = (
    None,
    True,
    -1,
    2**63,
    1.5,
    float("nan"),
    float("inf"),
    "",
    "\x00\n",
    b"\xff",
    [],
    [None],
    {},
)
KINDS = {kind: number for number, kind in enumerate(messages.KINDS)}


class MalformedCallTest(unittest.TestCase):
    def make(self):
        return meshes.Mesh(
            services=[("bank", "a1")],
            routes=[configurations.make_route("look", service="bank")],
        )

    def connect(self, member, number):
        sock = socket.create_connection((member.host, member.peer_port))
        self.addCleanup(sock.close)
        sock.settimeout(3)
        hello = messages.Hello(
            number=number, incarnation=f"peer-{number}", failure_domain="a1"
        )
        sock.sendall(msgpack.packb((KINDS[messages.Hello], *hello)))
        return sock

    def send(self, sock, call):
        sock.sendall(msgpack.packb((KINDS[messages.Call], *call[:-1])))

    def read_replies(self, sock, count):
        """Return ``count`` replies by number; fewer if the link is closed."""
        unpacker = msgpack.Unpacker(strict_map_key=False)
        replies = {}
        while len(replies) < count:
            try:
                data = sock.recv(65536)
            except TimeoutError:
                self.fail(f"only {replies} within 3 s")
            if not data:
                break
            unpacker.feed(data)
            for kind, *values in unpacker:
                if kind == KINDS[messages.Reply]:
                    reply = messages.Reply(*values)
                    replies[reply.number] = reply
        return replies

    def test_a_malformed_call_is_answered_and_frees_its_slot(self):
        """One whose id is a list kept its slot, and stopped the sweep for good."""
        good = calls.make_call(
            1,
            instance="i-0",
            service="bank",
            route="look",
            target="/look/1",
            headers=[b"X-Request-Id", b"q1"],
            # One whose answer names another id ends a second after its deadline.
            remaining=0.5,
            objective=0.5,
        )
        with self.make() as mesh, self.assertLogs("jackdaw.links", "WARNING"):
            [member] = mesh.members
            number = 0
            for field in messages.Call._fields[1:-1]:
                for value in ODD_VALUES:
                    number += 1
                    with self.subTest(field=field, value=value):
                        sock = self.connect(member, number)
                        self.send(sock, good._replace(number=1, **{field: value}))
                        self.send(sock, good._replace(number=2))
                        replies = self.read_replies(sock, 2)
                        self.assertEqual(replies.keys(), {1, 2})
                        self.assertEqual(replies[2].outcome, outcomes.Outcome.DONE)
                        sock.close()
            meshes.wait_until(lambda: member.daemon.executor.in_flight == 0)
            self.assertEqual(member.call("/look/1")[0], 200)


if __name__ == "__main__":
    unittest.main()

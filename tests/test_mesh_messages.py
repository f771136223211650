"""Malformed messages on a link: a daemon of another version may send any."""

import contextlib
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


# Sound messages of the kinds that tell something to a daemon.
SOUND = (
    messages.Reply(
        number=1,
        outcome=0,
        arrived=0,
        reason="x",
        status=200,
        headers=[],
        body=b"",
        retry_after=0.0,
        load=[0, 0, 1, 0.1],
    ),
    messages.Cancel(number=1),
    messages.Resume(numbers=[1]),
    messages.Welcome(incarnation="a", failure_domain="a1"),
    messages.Ack(numbers=[1]),
    messages.Ping(number=1),
    messages.Pong(number=1),
    messages.Digest(revision=1, age=0.1, version=1, suspects=0),
    messages.StateUpdate(
        tree=-1,
        is_snapshot=False,
        since=0,
        revision=5,
        age=0.1,
        records=[["i-9", 3, ["i-9", "bank", "127.0.1.1", 1, "a1", 1, False, 0.0, 1]]],
        configuration=b"",
        suspects=[[b"f", "o", 1, 3.0]],
    ),
    messages.Leaving(host="127.0.1.9"),
)


class MalformedMessageTest(unittest.TestCase):
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

    def test_malformed_messages_of_any_kind_hold_up_nothing(self):
        with self.make() as mesh:
            [member] = mesh.members
            number = 0
            for message in SOUND:
                for field in message._fields:
                    for value in ODD_VALUES:
                        number += 1
                        sock = self.connect(member, number)
                        odd = message._replace(**{field: value})
                        sock.sendall(msgpack.packb((KINDS[type(message)], *odd)))
                        sock.settimeout(0.01)
                        with contextlib.suppress(OSError):
                            sock.recv(4096)
                        sock.close()
                self.assertEqual(member.call("/look/1")[0], 200, type(message))
            entry = member.backend_server.make_entry(host=member.host, state="draining")
            mesh.store.put("servers/i-0", entry)
            known = member.daemon.fleet_state.directory
            meshes.wait_until(lambda: known.get("i-0").is_draining, seconds=2.5)


if __name__ == "__main__":
    unittest.main()

"""What daemons tell each other, without sockets."""

import random
import time
import unittest

from jackdawlanding.decisions import directory
from jackdawlanding.mesh import eventloop, gossip, logs

NAMES = ("a", "b", "c", "d")


def make_backend(number):
    return directory.Backend(
        instance=f"i-{number}",
        service="desk",
        host=f"10.0.0.{number}",
        port=80,
        failure_domain="a1",
        slots=4,
        is_draining=False,
    )


class FakeLink:
    """Hands each message to another daemon at once, or loses it."""

    def __init__(self, *, wire, sender, receiver):
        self.wire, self.sender, self.receiver = wire, sender, receiver

    def send(self, message):
        self.wire.deliver(self.sender, self.receiver, message)


class FakeLinks:
    def __init__(self, *, wire, name):
        self.wire, self.name = wire, name

    def get(self, host):
        return FakeLink(wire=self.wire, sender=self.name, receiver=host)


class Wire:
    """Daemons by their host; ``lost`` holds pairs that do not reach each other."""

    def __init__(self, names):
        self.lost = set()
        self.daemons = {}
        for name in names:
            fleet_state = gossip.FleetState(decode=None, log=logs.Log(), origin=name)
            self.daemons[name] = gossip.Gossip(
                loop=eventloop.EventLoop(),
                fleet_state=fleet_state,
                links=FakeLinks(wire=self, name=name),
                local_host=name,
                generator=random.Random(1),
            )

    def know(self, name):
        return self.daemons[name]._fleet_state

    def list_from_store(self, name, numbers, revision):
        fleet_state = self.know(name)
        for number in numbers:
            fleet_state.put(
                instance=f"i-{number}",
                revision=number,
                backend=make_backend(number),
                source="store",
            )
        names = {f"i-{number}" for number in numbers}
        fleet_state.remove_unlisted(names=names, revision=revision, source="store")
        fleet_state.directory.confirm(revision=revision, at=time.monotonic())

    def deliver(self, sender, receiver, message):
        if receiver in self.daemons and (sender, receiver) not in self.lost:
            back = FakeLink(wire=self, sender=receiver, receiver=sender)
            self.daemons[receiver].handle(back, message)

    def ask(self, asker, answerer):
        link = FakeLink(wire=self, sender=asker, receiver=answerer)
        link.send(self.daemons[asker]._make_digest())


class GossipTest(unittest.TestCase):
    def setUp(self):
        self.wire = Wire(NAMES)
        for name in ("a", "b"):
            self.wire.list_from_store(name, (1, 2, 3), 10)

    def remove(self, name, number, revision):
        fleet_state = self.wire.know(name)
        fleet_state.put(
            instance=f"i-{number}", revision=revision, backend=None, source="store"
        )
        fleet_state.directory.confirm(revision=revision, at=time.monotonic())

    def test_an_answer_brings_what_is_newer(self):
        self.remove("a", 2, 12)
        self.wire.ask("b", "a")
        known = self.wire.know("b").directory
        self.assertEqual(sorted(known.list_instances()), ["i-1", "i-3"])
        self.assertEqual(known.complete_revision, 12)

    def test_one_that_started_after_a_removal_tells_it_too(self):
        self.remove("a", 2, 12)
        self.wire.list_from_store("c", (1, 3), 12)
        self.wire.ask("b", "c")
        known = self.wire.know("b").directory
        self.assertEqual(sorted(known.list_instances()), ["i-1", "i-3"])
        self.assertEqual(known.complete_revision, 12)

    def test_one_that_knows_nothing_gets_all(self):
        self.wire.ask("d", "a")
        known = self.wire.know("d").directory
        self.assertEqual(len(known), 3)
        self.assertEqual(known.complete_revision, 10)
        self.assertEqual(known.history_from, 10)

    def test_one_that_knows_nothing_vouches_for_nothing(self):
        increment = self.wire.daemons["c"]._make_increment(tree=gossip.NO_TREE)
        self.wire.deliver("c", "d", increment)
        self.assertEqual(self.wire.know("d").directory.confirmed_at, float("-inf"))

    def test_missed_news_are_asked_for(self):
        self.remove("a", 2, 12)
        increment = self.wire.daemons["a"]._make_increment(tree=gossip.NO_TREE)
        self.remove("a", 3, 14)
        increment = self.wire.daemons["a"]._make_increment(tree=gossip.NO_TREE)
        self.assertEqual((increment.since, increment.revision), (12, 14))
        self.wire.deliver("a", "b", increment)
        known = self.wire.know("b").directory
        self.assertEqual(known.list_instances(), ["i-1"])
        self.assertEqual(known.complete_revision, 14)

    def test_a_held_removal_is_neither_told_nor_vouched_for(self):
        fleet_state = self.wire.know("a")
        now = time.monotonic()
        fleet_state.directory.confirmed_at = now - 60
        fleet_state.directory.record_store_contact(now=now)
        self.remove("a", 2, 12)
        digest = self.wire.daemons["a"]._make_digest()
        self.assertEqual(digest.revision, 11)
        before = self.wire.know("b").directory.confirmed_at
        self.wire.ask("b", "a")
        self.assertLessEqual(
            self.wire.know("b").directory.confirmed_at, max(before, now) + 0.05
        )
        self.assertLess(self.wire.know("b").directory.complete_revision, 12)

    def test_deaths_add_up_over_daemons(self):
        for name in ("a", "b"):
            self.wire.know(name).record_crash(b"x")
        self.wire.ask("b", "a")
        self.wire.ask("a", "b")
        for name in ("a", "b"):
            self.assertEqual(self.wire.know(name).count_crashes(), 2)


if __name__ == "__main__":
    unittest.main()

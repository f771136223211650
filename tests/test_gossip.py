"""Gossip between daemons, over a simulated network."""

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
    """Delivers each message to another daemon at once, or loses it."""

    def __init__(self, *, network, sender, receiver):
        self.network, self.sender, self.receiver = network, sender, receiver

    def send(self, message):
        self.network.deliver(self.sender, self.receiver, message)


class FakeLinks:
    def __init__(self, *, network, name):
        self.network, self.name = network, name

    def get(self, host):
        return FakeLink(network=self.network, sender=self.name, receiver=host)


class Network:
    """Connects daemons by name.

    Messages of a ``(sender, receiver)`` pair in ``lost`` are dropped.
    """

    def __init__(self, names):
        self.lost = set()
        self.daemons = {}
        for name in names:
            fleet_state = gossip.FleetState(decode=None, log=logs.Log(), origin=name)
            self.daemons[name] = gossip.Gossip(
                loop=eventloop.EventLoop(),
                fleet_state=fleet_state,
                links=FakeLinks(network=self, name=name),
                local_host=name,
                generator=random.Random(1),
            )

    def get_state(self, name):
        return self.daemons[name]._fleet_state

    def apply_listing(self, name, numbers, revision):
        fleet_state = self.get_state(name)
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
            reply_link = FakeLink(network=self, sender=receiver, receiver=sender)
            self.daemons[receiver].handle(reply_link, message)

    def ask(self, sender, receiver):
        link = FakeLink(network=self, sender=sender, receiver=receiver)
        link.send(self.daemons[sender]._make_digest())


class GossipTest(unittest.TestCase):
    def setUp(self):
        self.network = Network(NAMES)
        for name in ("a", "b"):
            self.network.apply_listing(name, (1, 2, 3), 10)

    def remove(self, name, number, revision):
        fleet_state = self.network.get_state(name)
        fleet_state.put(
            instance=f"i-{number}", revision=revision, backend=None, source="store"
        )
        fleet_state.directory.confirm(revision=revision, at=time.monotonic())

    def test_a_digest_is_answered_with_newer_records(self):
        self.remove("a", 2, 12)
        self.network.ask("b", "a")
        known = self.network.get_state("b").directory
        self.assertEqual(sorted(known.list_instances()), ["i-1", "i-3"])
        self.assertEqual(known.complete_revision, 12)

    def test_a_record_of_an_unnamed_service_counts_once_it_is_named(self):
        """It took the place of the live server at its address, at each peer."""
        odd = make_backend(2)._replace(instance="odd", service="nosuch", born=2**62)
        for name in ("a", "b"):
            known = self.network.get_state(name).directory
            known.set_services(frozenset({"desk"}))
        source = self.network.get_state("a")
        source.put(instance="odd", revision=12, backend=odd, source="store")
        source.directory.confirm(revision=12, at=time.monotonic())
        self.network.ask("b", "a")
        known = self.network.get_state("b").directory
        self.assertIn("odd", known)
        self.assertEqual(len(known.list_service("desk")), 3)
        self.assertEqual(known.list_service("nosuch"), ())
        known.set_services(frozenset({"desk", "nosuch"}))
        self.assertEqual(len(known.list_service("nosuch")), 1)

    def test_a_revision_that_no_store_has_is_not_taken_over(self):
        """The reading of the store's changes ended for good, on all daemons."""
        known = self.network.get_state("b").directory
        update = self.network.daemons["a"]._make_update(0, with_configuration=False)
        update = update._replace(is_snapshot=False)
        backend = make_backend(2)._replace(is_draining=True)
        odd = (2**63, float("inf"), float("nan"), -1, "7", None)
        for value in odd:
            with self.subTest(value=value):
                for name in ("revision", "since", "age"):
                    if (name, value) != ("age", 2**63):
                        with self.assertRaises(ValueError):
                            self.network.deliver(
                                "a", "b", update._replace(**{name: value})
                            )
                records = [("i-1", value, None), ("i-2", 11, backend)]
                self.network.deliver("a", "b", update._replace(records=records))
        self.assertEqual(known.complete_revision, 10)
        self.assertEqual(sorted(known.list_instances()), ["i-1", "i-2", "i-3"])
        self.assertTrue(known.get("i-2").is_draining)

    def test_a_daemon_started_after_a_removal_sends_a_snapshot(self):
        """Its history begins after the removal, so its records lack the removal."""
        self.remove("a", 2, 12)
        self.network.apply_listing("c", (1, 3), 12)
        self.network.ask("b", "c")
        known = self.network.get_state("b").directory
        self.assertEqual(sorted(known.list_instances()), ["i-1", "i-3"])
        self.assertEqual(known.complete_revision, 12)

    def test_an_empty_daemon_receives_a_snapshot(self):
        self.network.ask("d", "a")
        known = self.network.get_state("d").directory
        self.assertEqual(len(known), 3)
        self.assertEqual(known.complete_revision, 10)
        self.assertEqual(known.history_from, 10)

    def test_an_empty_daemon_confirms_nothing(self):
        increment = self.network.daemons["c"]._make_increment(tree=gossip.NO_TREE)
        self.network.deliver("c", "d", increment)
        self.assertEqual(
            self.network.get_state("d").directory.confirmed_at, float("-inf")
        )

    def test_a_missed_update_is_requested(self):
        self.remove("a", 2, 12)
        increment = self.network.daemons["a"]._make_increment(tree=gossip.NO_TREE)
        self.remove("a", 3, 14)
        increment = self.network.daemons["a"]._make_increment(tree=gossip.NO_TREE)
        self.assertEqual((increment.since, increment.revision), (12, 14))
        self.network.deliver("a", "b", increment)
        known = self.network.get_state("b").directory
        self.assertEqual(known.list_instances(), ["i-1"])
        self.assertEqual(known.complete_revision, 14)

    def test_an_invalid_record_of_a_peer_holds_up_no_other(self):
        """A daemon of an earlier version took entries that this one refuses."""
        good = make_backend(5)
        records = [
            ("i-1", 20, (*make_backend(1)[:-1], "today")),
            ("i-2", 21, ("i-2\n", *make_backend(2)[1:])),
            ("i-3", 22, tuple(good)[:4]),
            ("i-5", 23, tuple(good)),
        ]
        update = self.network.daemons["a"]._make_increment(tree=gossip.NO_TREE)
        update = update._replace(records=records, revision=23)
        self.network.deliver("a", "b", update)
        known = self.network.get_state("b").directory
        self.assertEqual(known.get("i-5"), good)
        self.assertEqual([known.get(f"i-{n}") for n in (1, 2, 3)], [None] * 3)
        self.assertEqual(known.complete_revision, 23)

    def test_a_removal_that_was_forgotten_reaches_a_daemon_that_was_cut_off(self):
        """It was left out of the updates for good, and the instance stayed in use."""
        self.remove("a", 2, 12)
        state = self.network.get_state("a")
        later = time.monotonic() + directory.REMOVAL_SECONDS + 1
        state.directory.apply_held_changes(now=later)
        self.assertEqual(state.directory.get_revision("i-2"), 0)
        self.network.ask("b", "a")
        self.assertNotIn("i-2", self.network.get_state("b").directory)

    def test_a_held_removal_is_neither_sent_nor_confirmed(self):
        fleet_state = self.network.get_state("a")
        now = time.monotonic()
        fleet_state.directory.confirmed_at = now - 60
        fleet_state.directory.record_store_contact(now=now)
        self.remove("a", 2, 12)
        digest = self.network.daemons["a"]._make_digest()
        self.assertEqual(digest.revision, 11)
        before = self.network.get_state("b").directory.confirmed_at
        self.network.ask("b", "a")
        self.assertLessEqual(
            self.network.get_state("b").directory.confirmed_at, max(before, now) + 0.05
        )
        self.assertLess(self.network.get_state("b").directory.complete_revision, 12)

    def test_crashes_add_up_over_daemons(self):
        for name in ("a", "b"):
            self.network.get_state(name).record_crash(b"x")
        self.network.ask("b", "a")
        self.network.ask("a", "b")
        for name in ("a", "b"):
            self.assertEqual(self.network.get_state(name).count_crashes(), 2)


if __name__ == "__main__":
    unittest.main()

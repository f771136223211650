"""Who may run a key: plain cases, and schedules that fuzzing found."""

import unittest

from jackdawlanding.decisions import rendezvous
from tests import worlds

OUTAGE, GONE = worlds.OUTAGE_SECONDS, worlds.GONE_SECONDS


class OwnershipTest(unittest.TestCase):
    def make_world(self, *instances):
        world = worlds.World()
        for instance in instances:
            world.start(instance)
        world.advance(4.0)
        return world

    def send_everywhere(self, world, key, *, timed=False):
        verdicts = []
        for daemon in list(world.daemons):
            if daemon.is_running and world.may_send(key):
                verdicts.append(world.send(key, daemon, timed=timed))
                for attempt in list(world.attempts):
                    world.deliver(attempt, answer_is_lost=True)
        return verdicts

    def count_served(self, world, keys):
        for key in keys:
            self.send_everywhere(world, key)
        return sum(world.runs[key] for key in keys)

    def test_a_new_service_runs_keys_at_once(self):
        world = self.make_world("i0", "i1", "i2")
        self.assertEqual(self.count_served(world, "abcdef"), 6)

    def test_a_member_takes_over_the_keys_of_its_dead_partner(self):
        world = self.make_world("i0", "i1", "i2")
        self.count_served(world, "abcdef")
        world.kill(world.daemons[0])
        world.check_health()
        world.advance(8.0)
        self.count_served(world, "abcdef")
        self.assertEqual(set(world.runs.values()), {1})
        self.assertEqual(self.count_served(world, "ghijkl"), 6)

    def test_keys_whose_whole_pair_died_are_refused(self):
        """The pair may have run them, so they wait for a repeat horizon."""
        world = self.make_world("i0", "i1", "i2", "i3")
        dead = {
            world.daemons[0].roster.local_member,
            world.daemons[1].roster.local_member,
        }
        keys = [f"k{number}" for number in range(40)]
        lost = [
            key
            for key in keys
            if set(world.daemons[2].ownership.choose_pair(rendezvous.digest(key)))
            == dead
        ]
        for name in dead:
            world.kill(world.find_member(name))
        world.check_health()
        world.advance(8.0)
        self.count_served(world, keys)
        self.assertTrue(lost)
        self.assertEqual({key for key in keys if not world.runs[key]}, set(lost))

    def test_only_a_key_made_after_the_loss_runs(self):
        world = self.make_world("i0", "i1")
        for daemon in list(world.daemons):
            world.kill(daemon)
        world.check_health()
        for instance in ("i2", "i3"):
            world.start(instance)
        world.advance(8.0)
        self.send_everywhere(world, "old")
        self.send_everywhere(world, "early", timed=True)
        world.advance(OUTAGE + GONE + 1.0)
        self.send_everywhere(world, "untimed")
        self.send_everywhere(world, "timed", timed=True)
        served = {key for key, count in world.runs.items() if count}
        self.assertEqual(served, {"timed"})

    def test_a_key_made_after_a_partition_runs_on_one_side_only(self):
        """Three of four members lose the platform but still reach each other."""
        world = self.make_world("i0", "i1", "i2", "i3")
        world.partition({"i0", "i1", "i2"})
        world.check_health()
        world.advance(12.0)
        for key in "abcdefghijkl":
            self.send_everywhere(world, key, timed=True)
        self.assertLessEqual(max(world.runs.values(), default=0), 1)

    def test_members_act_during_a_short_platform_outage(self):
        world = self.make_world("i0", "i1", "i2")
        world.platform_is_up = False
        world.advance(OUTAGE - 2.0)
        self.assertEqual(self.count_served(world, "abcdef"), 6)

    def test_no_member_acts_once_others_may_have_taken_over(self):
        """The unreachable platform may list other members by then."""
        world = self.make_world("i0", "i1", "i2")
        world.platform_is_up = False
        world.advance(OUTAGE + GONE)
        self.assertEqual(self.count_served(world, "abcdef"), 0)

    def test_two_sides_that_read_the_list_in_turn_do_not_both_run_a_key(self):
        """A partition of two of five members is followed by one of the other three."""
        world = self.make_world("i0", "i1", "i2", "i3", "i4")
        for far_side, seconds in (({"i1", "i4"}, 6.0), ({"i0", "i2", "i3"}, 36.0)):
            world.partition(far_side)
            world.check_health()
            world.advance(seconds)
        self.count_served(world, "abcdef")
        self.assertLessEqual(max(world.runs.values(), default=0), 1)

    def test_an_isolated_member_does_not_act(self):
        world = self.make_world("i0", "i1", "i2")
        world.platform_is_up = False
        world.partition({"i0"})
        world.advance(6.0)
        isolated = world.daemons[0]
        key = rendezvous.digest("a")
        pair = isolated.ownership.choose_pair(key)
        self.assertFalse(isolated.ownership.may_act(now=world.now, key=key, pair=pair))

    def test_leaving_members_hand_over_one_after_another(self):
        world = self.make_world("i0", "i1", "i2")
        self.count_served(world, "abcdef")
        for number in range(3):
            world.start(f"n{number}")
            world.advance(6.0)
            world.disturb(f"i{number}", "leave")
            world.check_health()
            world.advance(2.0)
            world.kill(world.find_instance(f"i{number}"))
            world.advance(6.0)
        self.count_served(world, "abcdef")
        self.assertEqual(set(world.runs.values()), {1})
        self.assertEqual(self.count_served(world, "ghijkl"), 6)

    def test_no_key_runs_twice_when_a_member_that_continued_alone_leaves(self):
        """Two of three members pause; the third continues alone and shuts down."""
        world = self.make_world("i0", "i1", "i2")
        for name in ("i0", "i1"):
            world.disturb(name, "pause")
        world.partition({"i0", "i1"})
        world.check_health()
        world.advance(36.0)
        world.partition(())
        for name in ("i0", "i1"):
            world.disturb(name, "wake")
        world.check_health()
        world.start("i0")
        world.disturb("i2", "leave")
        world.check_health()
        world.advance(3.0)
        self.count_served(world, "abcdef")
        self.assertLessEqual(max(world.runs.values(), default=0), 1)

    def test_a_majority_without_the_platform_stops_before_the_rest_takes_over(self):
        """Two of three members lose the platform but still reach each other."""
        world = self.make_world("i0", "i1", "i2")
        world.partition({"i0", "i1"})
        world.check_health()
        world.advance(36.0)
        self.count_served(world, "abcdefghijkl")
        self.assertLessEqual(max(world.runs.values(), default=0), 1)

"""The pacing limit follows the share of requests that end badly."""

import unittest

from jackdawlanding.decisions import pacing

CEILING = 50


def end_many(limit, count, *, is_bad, now=0.0, step=0.05, running=20):
    for number in range(count):
        while limit.running < running:
            limit.begin()
        limit.end(now=now + number * step, is_bad=is_bad, ceiling=CEILING)


class PacingLimitTest(unittest.TestCase):
    def test_there_is_no_limit_while_all_requests_end_well(self):
        limit = pacing.PacingLimit()
        end_many(limit, 200, is_bad=False)
        self.assertEqual(limit.limit, pacing.UNBOUNDED)

    def test_rare_bad_ends_do_not_set_a_limit(self):
        limit = pacing.PacingLimit()
        for number in range(500):
            end_many(limit, 1, is_bad=number % 10 == 0, now=number * 0.05)
        self.assertEqual(limit.limit, pacing.UNBOUNDED)

    def test_many_bad_ends_set_a_limit(self):
        limit = pacing.PacingLimit()
        end_many(limit, 40, is_bad=True)
        self.assertLess(limit.limit, 20)
        self.assertFalse(limit.has_room)

    def test_simultaneous_bad_ends_decrease_the_limit_once(self):
        limit = pacing.PacingLimit()
        end_many(limit, 40, is_bad=True, step=0.0)
        self.assertAlmostEqual(limit.limit, 20 * pacing.DECREASE)

    def test_the_limit_never_falls_below_the_minimum(self):
        limit = pacing.PacingLimit()
        end_many(limit, 500, is_bad=True, running=2)
        self.assertEqual(limit.limit, pacing.MINIMUM)

    def test_the_limit_rises_again_and_is_removed(self):
        limit = pacing.PacingLimit()
        end_many(limit, 40, is_bad=True)
        end_many(limit, 3000, is_bad=False, now=10.0, running=5)
        self.assertEqual(limit.limit, pacing.UNBOUNDED)

    def test_ends_without_information_change_nothing(self):
        limit = pacing.PacingLimit()
        end_many(limit, 40, is_bad=True)
        before = limit.limit
        end_many(limit, 100, is_bad=None, now=10.0)
        self.assertEqual(limit.limit, before)

    def test_each_kind_has_its_own_limit(self):
        limits = pacing.PacingLimits()
        end_many(limits.get("a"), 40, is_bad=True)
        self.assertTrue(limits.get("b").has_room)
        self.assertEqual([kind for kind, _ in limits.list_limits()], ["a"])


if __name__ == "__main__":
    unittest.main()

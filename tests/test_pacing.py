import unittest

from jackdawlanding.decisions import pacing

MOST = 50


def end_many(pace, count, *, is_bad, now=0.0, step=0.05, running=20):
    for number in range(count):
        while pace.running < running:
            pace.begin()
        pace.end(now=now + number * step, is_bad=is_bad, ceiling=MOST)


class PaceTest(unittest.TestCase):
    def test_there_is_no_limit_while_all_ends_well(self):
        pace = pacing.PacingLimit()
        end_many(pace, 200, is_bad=False)
        self.assertEqual(pace.limit, pacing.UNBOUNDED)

    def test_rare_bad_ends_are_no_overload(self):
        pace = pacing.PacingLimit()
        for number in range(500):
            end_many(pace, 1, is_bad=number % 10 == 0, now=number * 0.05)
        self.assertEqual(pace.limit, pacing.UNBOUNDED)

    def test_many_bad_ends_bound_what_runs(self):
        pace = pacing.PacingLimit()
        end_many(pace, 40, is_bad=True)
        self.assertLess(pace.limit, 20)
        self.assertFalse(pace.has_room)

    def test_one_moment_s_bad_ends_cut_once(self):
        pace = pacing.PacingLimit()
        end_many(pace, 40, is_bad=True, step=0.0)
        self.assertAlmostEqual(pace.limit, 20 * pacing.DECREASE)

    def test_the_limit_never_shuts_out_all(self):
        pace = pacing.PacingLimit()
        end_many(pace, 500, is_bad=True, running=2)
        self.assertEqual(pace.limit, pacing.MINIMUM)

    def test_it_rises_again_and_is_lifted(self):
        pace = pacing.PacingLimit()
        end_many(pace, 40, is_bad=True)
        end_many(pace, 3000, is_bad=False, now=10.0, running=5)
        self.assertEqual(pace.limit, pacing.UNBOUNDED)

    def test_what_tells_nothing_changes_nothing(self):
        pace = pacing.PacingLimit()
        end_many(pace, 40, is_bad=True)
        before = pace.limit
        end_many(pace, 100, is_bad=None, now=10.0)
        self.assertEqual(pace.limit, before)

    def test_kinds_are_paced_apart(self):
        paces = pacing.PacingLimits()
        end_many(paces.get("a"), 40, is_bad=True)
        self.assertTrue(paces.get("b").has_room)
        self.assertEqual([kind for kind, _ in paces.list_limits()], ["a"])


if __name__ == "__main__":
    unittest.main()

"""A rate limit that may be named, changed and lifted at any time."""

import unittest

from hypothesis import given, settings, strategies

from jackdawlanding.decisions import rates, slots
from tests import test_slots

WINDOW_SECONDS = 4.0


def send_all(limit, *, until, step=0.001, since=0.0):
    """Send whenever the limit lets it; return the times."""
    times, now = [], since
    while now < until:
        while limit.get_delay(now=now) <= 0.0:
            limit.take(now=now)
            times.append(now)
        now += step
    return times


class RateLimitTest(unittest.TestCase):
    def test_without_a_rate_nothing_waits(self):
        limit = rates.RateLimit()
        limit.take(now=0.0)
        self.assertEqual(limit.get_delay(now=0.0, ahead=100), 0.0)

    def test_a_new_limit_starts_without_a_burst(self):
        limit = rates.RateLimit()
        limit.set_rate(now=5.0, rate=10.0)
        self.assertAlmostEqual(limit.get_delay(now=5.0), 0.1)
        self.assertAlmostEqual(limit.get_delay(now=5.0, ahead=3), 0.4)

    def test_the_whole_rate_is_used_and_no_more(self):
        limit = rates.RateLimit()
        limit.set_rate(now=0.0, rate=50.0)
        self.assertAlmostEqual(len(send_all(limit, until=10.0)), 500, delta=2)

    def test_a_pause_saves_a_short_burst_only(self):
        limit = rates.RateLimit()
        limit.set_rate(now=0.0, rate=20.0)
        self.assertEqual(len(send_all(limit, until=60.0001, since=60.0)), 6)

    def test_a_backend_server_that_takes_nothing_is_still_asked_now_and_then(self):
        limit = rates.RateLimit()
        limit.set_rate(now=0.0, rate=0.0)
        times = send_all(limit, until=WINDOW_SECONDS, step=0.01)
        self.assertTrue(0 < len(times) <= 5)

    def test_a_rate_beyond_all_numbers_of_slots_limits_nothing_else(self):
        controller = slots.SlotController(slots=100)
        controller.mean_seconds = 3.0
        controller.rate_limit.set_rate(now=0.0, rate=1e308)
        self.assertEqual(controller.capacity, controller.limit)
        self.assertEqual(controller.rate_limit.get_delay(now=1.0), 0.0)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 2.0), strategies.floats(0.5, 200.0)
            ),
            min_size=1,
            max_size=6,
        )
    )
    def test_no_window_holds_more_than_its_highest_rate_allows(self, changes):
        limit, now, times = rates.RateLimit(), 0.0, []
        for pause, rate in changes:
            limit.set_rate(now=now, rate=rate)
            times += send_all(limit, until=now + pause, since=now, step=0.005)
            now += pause
        highest = max(rate for _, rate in changes)
        for start in times:
            count = sum(1 for at in times if start <= at <= start + WINDOW_SECONDS)
            self.assertLessEqual(count, 1.5 * WINDOW_SECONDS * highest + 5)


class RateLimitedSlotsTest(unittest.TestCase):
    def make(self, *, rate, slots_count=100):
        controller = slots.SlotController(slots=slots_count)
        controller.rate_limit.set_rate(now=0.0, rate=rate)
        return controller

    def test_jobs_wait_for_the_rate_by_rank_although_slots_are_free(self):
        controller = self.make(rate=10.0)
        later, urgent = test_slots.make_job(2), test_slots.make_job(0)
        for job in (later, urgent):
            result = controller.submit(now=0.0, job=job)
            self.assertIs(result.verdict, slots.Verdict.QUEUED)
        self.assertAlmostEqual(controller.get_delay(now=0.0), 0.1)
        self.assertEqual(controller.admit_next(now=0.11), ([urgent], []))
        self.assertEqual(controller.admit_next(now=0.22), ([later], []))

    def test_a_job_that_the_rate_makes_late_is_refused_with_the_time_to_return(self):
        controller = self.make(rate=1.0)
        result = controller.submit(
            now=0.0, job=test_slots.make_job(deadline=0.9, objective=0.5)
        )
        self.assertIs(result.verdict, slots.Verdict.REFUSED)
        self.assertAlmostEqual(result.retry_after, 1.0)

    def test_the_reported_capacity_shows_the_rate(self):
        controller = self.make(rate=30.0)
        controller.mean_seconds = 0.1
        self.assertEqual(controller.capacity, 3)
        controller.rate_limit.set_rate(now=1.0, rate=None)
        self.assertEqual(controller.capacity, controller.limit)

    def test_the_capacity_is_occupied_while_no_job_may_start(self):
        controller = self.make(rate=2.0)
        self.assertEqual(controller.get_occupied(now=0.4), controller.capacity)
        self.assertEqual(controller.get_occupied(now=0.6), 0)
        controller.rate_limit.set_rate(now=1.0, rate=None)
        self.assertEqual(controller.get_occupied(now=1.0), 0)


if __name__ == "__main__":
    unittest.main()

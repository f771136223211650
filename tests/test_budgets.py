"""The retries of all daemons together stay within the budget of a window."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from jackdawlanding.decisions import budgets

RATIO, WINDOW = 0.2, 10.0
# Numbers of daemons, and the slack that the platform grants them together.
FLEETS = ((6, 20), (24, 48), (82, 112), (300, 300))


def make_budget(*, slack=48, daemon_count=24, generator=None):
    return budgets.WindowBudget(
        ratio=RATIO,
        window=WINDOW,
        slack=slack,
        daemon_count=daemon_count,
        generator=generator or random.Random(3),
    )


def make_rates(generator, daemon_count):
    """Return the first tries per second of each daemon; some fleets make only a few."""
    busiest = generator.choice((30, 3, 0.3))
    return [generator.uniform(busiest / 60, busiest) for _ in range(daemon_count)]


class WindowBudgetTest(unittest.TestCase):
    def test_a_first_try_earns_less_than_the_ratio(self):
        budget = make_budget()
        spent = 0
        for number in range(1000):
            budget.record_first_try(now=number * 0.01)
            spent += budget.spend()
        self.assertLessEqual(spent, 1000 * RATIO)
        self.assertGreater(spent, 1000 * RATIO * 0.7)

    def test_a_daemon_with_little_traffic_saves_few_tokens(self):
        budget = make_budget()
        for number in range(100):
            budget.record_first_try(now=number * 60.0)
        self.assertLessEqual(budget.ceiling, 2.0)

    def test_more_daemons_get_smaller_parts_of_the_slack(self):
        budget = make_budget(slack=48, daemon_count=24)
        before = budget.slack_tokens
        budget.daemon_count = 240
        self.assertLess(budget.slack_tokens, before)
        parts = [
            make_budget(
                slack=112, daemon_count=300, generator=random.Random(seed)
            ).slack_tokens
            for seed in range(300)
        ]
        self.assertLess(abs(sum(parts) - 112), 30)

    def test_a_charge_may_leave_a_debt_up_to_the_ceiling(self):
        budget = make_budget()
        budget.charge(5.0)
        self.assertEqual(budget.tokens, -budget.ceiling)
        self.assertFalse(budget.spend())

    def test_failures_after_a_time_without_any_stay_within_the_bound(self):
        for daemon_count, slack in FLEETS:
            for tries in (1, 2, 5):
                with self.subTest(daemon_count=daemon_count, tries=tries):
                    generator = random.Random(daemon_count)
                    retries = sum(
                        self.spend_after_calm(slack, daemon_count, tries, generator)
                        for _ in range(daemon_count)
                    )
                    allowed = slack + RATIO * tries * daemon_count
                    self.assertLessEqual(retries, allowed)

    def spend_after_calm(self, slack, daemon_count, tries, generator):
        """Return the retries of one daemon whose tries all fail at the same time."""
        budget = make_budget(
            slack=slack, daemon_count=daemon_count, generator=generator
        )
        for number in range(100):
            budget.record_first_try(now=number * WINDOW)
        retries = 0
        for _ in range(tries):
            budget.record_first_try(now=101 * WINDOW)
            retries += budget.spend()
        return retries

    @hypothesis.settings(max_examples=30, deadline=None, derandomize=True)
    @hypothesis.given(
        seed=strategies.integers(0, 10**6), size=strategies.sampled_from(FLEETS)
    )
    def test_all_daemons_together_stay_within_the_bound(self, seed, size):
        """Daemons have uneven traffic, and their failures come in waves."""
        generator = random.Random(seed)
        daemon_count, slack = size
        fleet = [
            (
                make_budget(
                    slack=slack, daemon_count=daemon_count, generator=generator
                ),
                rate,
            )
            for rate in make_rates(generator, daemon_count)
        ]
        tries, retries = [], []
        seconds = 0.1
        for step in range(400):
            now = step * seconds
            is_failing = generator.random() < 0.5 or 150 < step < 260
            for budget, rate in fleet:
                for _ in range(int(rate * seconds + generator.random())):
                    budget.record_first_try(now=now)
                    tries.append(now)
                    if is_failing and budget.spend():
                        retries.append(now)
        for start in range(10, 30):
            allowed = slack + RATIO * max(
                sum(start - offset <= at < start - offset + WINDOW for at in tries)
                for offset in (0, WINDOW / 2, WINDOW)
            )
            sent = sum(start <= at < start + WINDOW for at in retries)
            self.assertLessEqual(sent, allowed)


class RetryEffectivenessTest(unittest.TestCase):
    def test_retries_that_never_succeed_are_only_probed(self):
        effectiveness = budgets.RetryEffectiveness(generator=random.Random(1))
        sent = 0
        for _ in range(1000):
            if effectiveness.should_retry("k"):
                sent += 1
                effectiveness.record("k", is_success=False)
        self.assertLess(sent, 1000 * budgets.PROBE_SHARE * 1.5)

    def test_retries_are_sent_again_once_they_succeed(self):
        effectiveness = budgets.RetryEffectiveness(generator=random.Random(1))
        for _ in range(50):
            effectiveness.record("k", is_success=False)
        for _ in range(20):
            effectiveness.record("k", is_success=True)
        self.assertTrue(effectiveness.should_retry("k"))


if __name__ == "__main__":
    unittest.main()

"""Repeats over all daemons stay within the window's budget."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from jackdawlanding.decisions import budgets

RATIO, WINDOW, SLACK = 0.2, 10.0, 48


def make_budget():
    return budgets.WindowBudget(ratio=RATIO, window=WINDOW)


class WindowBudgetTest(unittest.TestCase):
    def test_a_first_try_earns_less_than_the_ratio(self):
        budget = make_budget()
        spent = 0
        for number in range(1000):
            budget.record_first_try(now=number * 0.01)
            spent += budget.spend()
        self.assertLessEqual(spent, 1000 * RATIO)
        self.assertGreater(spent, 1000 * RATIO * 0.7)

    def test_a_daemon_without_traffic_saves_little(self):
        budget = make_budget()
        for number in range(100):
            budget.record_first_try(now=number * 60.0)
        self.assertEqual(budget.ceiling, budgets.LEAST_CEILING)

    def test_what_repeats_cause_is_paid_for(self):
        budget = make_budget()
        budget.charge(5.0)
        self.assertEqual(budget.tokens, -budgets.LEAST_CEILING)
        self.assertFalse(budget.spend())

    @hypothesis.settings(max_examples=30, deadline=None, derandomize=True)
    @hypothesis.given(seed=strategies.integers(0, 10**6))
    def test_all_daemons_together_keep_to_the_rule(self, seed):
        """24 daemons with uneven traffic and failures that come in waves."""
        generator = random.Random(seed)
        fleet = [(make_budget(), generator.uniform(0.5, 30)) for _ in range(24)]
        tries, repeats = [], []
        second = 0.1
        for step in range(400):
            now = step * second
            is_failing = generator.random() < 0.5 or 150 < step < 260
            for budget, rate in fleet:
                for _ in range(int(rate * second + generator.random())):
                    budget.record_first_try(now=now)
                    tries.append(now)
                    if is_failing and budget.spend():
                        repeats.append(now)
        for start in range(10, 30):
            allowed = SLACK + RATIO * max(
                sum(start - back <= at < start - back + WINDOW for at in tries)
                for back in (0, WINDOW / 2, WINDOW)
            )
            found = sum(start <= at < start + WINDOW for at in repeats)
            self.assertLessEqual(found, allowed)


class RepeatWorthTest(unittest.TestCase):
    def test_repeats_that_never_help_are_only_probed(self):
        worth = budgets.RepeatWorth(generator=random.Random(1))
        sent = 0
        for _ in range(1000):
            if worth.is_worth("k"):
                sent += 1
                worth.record("k", is_success=False)
        self.assertLess(sent, 1000 * budgets.PROBE_SHARE * 1.5)

    def test_they_are_sent_again_once_they_help(self):
        worth = budgets.RepeatWorth(generator=random.Random(1))
        for _ in range(50):
            worth.record("k", is_success=False)
        for _ in range(20):
            worth.record("k", is_success=True)
        self.assertTrue(worth.is_worth("k"))


if __name__ == "__main__":
    unittest.main()

"""The retries of a request tree are bounded end to end, at any depth."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from jackdawlanding.decisions import allowances

DEPTH, FAN_OUT, ALLOWANCE, NAIVE_TRIES = 9, 3, 2, 3


class Tree:
    """A tree of calls, each of which fails at random and may be retried."""

    def __init__(self, *, failure_share, seed, depth=DEPTH):
        self.random = random.Random(seed)
        self.failure_share = failure_share
        self.depth = depth
        self.budgets = [allowances.RetryBudget() for _ in range(depth)]
        self.calls = self.first_tries = self.maximum_tries = 0

    def call(self, level, allowance):
        """Make one call at a level; return whether it succeeded."""
        self.first_tries += 1
        self.budgets[level].record_first_try()
        tries = 0
        while True:
            tries += 1
            self.calls += 1
            self.maximum_tries = max(self.maximum_tries, tries)
            share = allowances.TreeAllowance(retries=allowance.take_share())
            succeeded = self.run(level, share)
            allowance.return_unused(retries=share.remaining)
            if succeeded or not (allowance.take() and self.budgets[level].spend()):
                return succeeded

    def run(self, level, allowance):
        if self.random.random() < self.failure_share:
            return False
        if level + 1 < self.depth:
            for _ in range(FAN_OUT if level % 4 == 0 else 1):
                self.call(level + 1, allowance)
        return True


class AllowanceTest(unittest.TestCase):
    def test_retries_of_a_deep_tree_do_not_multiply(self):
        tree = Tree(failure_share=0.3, seed=1)
        for _ in range(300):
            tree.call(0, allowances.TreeAllowance(retries=ALLOWANCE))
        self.assertLessEqual(tree.calls / tree.first_tries, 1.1)
        self.assertLessEqual(tree.maximum_tries, ALLOWANCE + 1)

    @hypothesis.settings(
        max_examples=60, derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(
        share=st.floats(0, 1), seed=st.integers(0, 999), depth=st.integers(1, 9)
    )
    def test_no_tree_exceeds_its_bounds(self, share, seed, depth):
        tree = Tree(failure_share=share, seed=seed, depth=depth)
        for _ in range(20):
            before = tree.calls - tree.first_tries
            tree.call(0, allowances.TreeAllowance(retries=ALLOWANCE))
            retries = tree.calls - tree.first_tries - before
            self.assertLessEqual(retries, ALLOWANCE)
        self.assertLessEqual(tree.calls, tree.first_tries * 1.1 + 1e-9)

    def test_shares_add_up_to_the_allowance(self):
        allowance = allowances.TreeAllowance(retries=5)
        shares = [allowance.take_share() for _ in range(4)]
        self.assertEqual(sum(shares) + allowance.remaining, 5)

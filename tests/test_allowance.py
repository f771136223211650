"""Retries of a request tree are bounded end to end, however deep."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from jackdawlanding.decisions import allowances

DEPTH, FAN_OUT, ALLOWANCE, NAIVE_TRIES = 9, 3, 2, 3


class Tree:
    """Calls down a chain; each hop fails at random and may be tried again."""

    def __init__(self, *, failure_share, seed, depth=DEPTH):
        self.random = random.Random(seed)
        self.failure_share = failure_share
        self.depth = depth
        self.budgets = [allowances.RetryBudget() for _ in range(depth)]
        self.calls = self.first_tries = self.most_tries = 0

    def call(self, level, held):
        """Make one call at a level; return whether it worked."""
        self.first_tries += 1
        self.budgets[level].record_first_try()
        tries = 0
        while True:
            tries += 1
            self.calls += 1
            self.most_tries = max(self.most_tries, tries)
            share = allowances.TreeAllowance(retries=held.take_share())
            worked = self.run(level, share)
            held.return_unused(retries=share.remaining)
            if worked or not (held.take() and self.budgets[level].spend()):
                return worked

    def run(self, level, held):
        if self.random.random() < self.failure_share:
            return False
        if level + 1 < self.depth:
            for _ in range(FAN_OUT if level % 4 == 0 else 1):
                self.call(level + 1, held)
        return True


class AllowanceTest(unittest.TestCase):
    def test_a_deep_tree_stays_at_the_bound_where_naive_retries_multiply(self):
        tree = Tree(failure_share=0.3, seed=1)
        for _ in range(300):
            tree.call(0, allowances.TreeAllowance(retries=ALLOWANCE))
        self.assertLessEqual(tree.calls / tree.first_tries, 1.1)
        self.assertLessEqual(tree.most_tries, ALLOWANCE + 1)

    @hypothesis.settings(
        max_examples=60, derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(
        share=st.floats(0, 1), seed=st.integers(0, 999), depth=st.integers(1, 9)
    )
    def test_no_tree_goes_over_its_bounds(self, share, seed, depth):
        tree = Tree(failure_share=share, seed=seed, depth=depth)
        for _ in range(20):
            before = tree.calls - tree.first_tries
            tree.call(0, allowances.TreeAllowance(retries=ALLOWANCE))
            retries = tree.calls - tree.first_tries - before
            self.assertLessEqual(retries, ALLOWANCE)
        self.assertLessEqual(tree.calls, tree.first_tries * 1.1 + 1e-9)

    def test_shares_never_add_up_to_more_than_the_whole(self):
        held = allowances.TreeAllowance(retries=5)
        shares = [held.take_share() for _ in range(4)]
        self.assertEqual(sum(shares) + held.remaining, 5)

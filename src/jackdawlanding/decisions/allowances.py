"""Retries bounded end to end: a tree's allowance and a daemon's budget.

A request tree gets one allowance at its entry. Each call handed further down
takes a share out of it, so that fan-out divides the allowance and never
multiplies it. A retry also needs a token of the daemon's own budget, which
grows by a fraction of a token with each first try.
"""

import threading


class TreeAllowance:
    """The retries that one held request may still cause below it.

    :param retries: how many retries the whole tree may use.
    """

    def __init__(self, *, retries):
        self._remaining = retries
        self._lock = threading.Lock()

    @property
    def remaining(self):
        """Retries not yet used or handed out."""
        return self._remaining

    def take(self):
        """Take one retry; return whether there was one."""
        with self._lock:
            if self._remaining < 1:
                return False
            self._remaining -= 1
            return True

    def take_share(self):
        """Take half of what is left, rounded down, for a call further down."""
        with self._lock:
            share = self._remaining // 2
            self._remaining -= share
            return share

    def return_unused(self, *, retries):
        """Return retries that a call further down did not use."""
        with self._lock:
            self._remaining += retries


class RetryBudget:
    """Retry tokens of one daemon.

    :param ratio: tokens earned by a first try.
    :param ceiling: most tokens that can be saved up.
    """

    def __init__(self, *, ratio=0.1, ceiling=10.0):
        self.ratio = ratio
        self.ceiling = ceiling
        self._tokens = 0.0
        self._lock = threading.Lock()

    @property
    def tokens(self):
        """Tokens at hand."""
        return self._tokens

    def record_first_try(self):
        """Earn a fraction of a token."""
        with self._lock:
            self._tokens = min(self.ceiling, self._tokens + self.ratio)

    def spend(self):
        """Spend a token on a retry; return whether there was one."""
        with self._lock:
            # Ten tenths add up to slightly less than one.
            if self._tokens < 1.0 - 1e-9:
                return False
            self._tokens -= 1.0
            return True

"""End-to-end bounds on retries: the allowance of a request tree and a daemon's budget.

A request tree gets one allowance where it enters. Each nested call takes a share
of it, so that fan-out divides the allowance and never multiplies it. A retry also
needs a token of the local daemon's budget, which earns a fraction of a token with
each first try.
"""

import threading


class TreeAllowance:
    """Retries that one request and its nested calls may still use.

    :param retries: how many retries the whole tree may use.
    """

    def __init__(self, *, retries):
        self._remaining = retries
        self._lock = threading.Lock()

    @property
    def remaining(self):
        """Return the retries that are neither used nor given to nested calls."""
        return self._remaining

    def take(self):
        """Take one retry; return whether there was one."""
        with self._lock:
            if self._remaining < 1:
                return False
            self._remaining -= 1
            return True

    def take_share(self):
        """Take half of the remaining retries, rounded down, for a nested call."""
        with self._lock:
            share = self._remaining // 2
            self._remaining -= share
            return share

    def return_unused(self, *, retries):
        """Add retries that a nested call did not use."""
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
        """Return the tokens saved up."""
        return self._tokens

    def record_first_try(self):
        """Add a fraction of a token."""
        with self._lock:
            self._tokens = min(self.ceiling, self._tokens + self.ratio)

    def spend(self):
        """Spend a token on a retry; return whether there was one."""
        with self._lock:
            # The sum of ten tenths is slightly less than one in floating point.
            if self._tokens < 1.0 - 1e-9:
                return False
            self._tokens -= 1.0
            return True

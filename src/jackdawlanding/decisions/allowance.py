"""Retries bounded end to end: a tree's allowance and a daemon's budget.

A request tree gets one allowance at its entry. Each call handed further down
takes a share out of it, so that fan-out divides the allowance and never
multiplies it. A retry also needs a token of the daemon's own budget, which
grows by a fraction of a token with each first try.
"""

import threading

# A repeat that helps less often than this isn't worth its load further down.
LEAST_REPEAT_SUCCESS = 0.4
PROBE_SHARE = 0.1
REPEAT_WEIGHT = 0.1


class TreeAllowance:
    """The retries that one held request may still cause below it.

    :param retries: how many retries the whole tree may use.
    """

    def __init__(self, *, retries):
        self._left = retries
        self._lock = threading.Lock()

    @property
    def left(self):
        """Retries not yet used or handed out."""
        return self._left

    def take(self):
        """Take one retry; return whether there was one."""
        with self._lock:
            if self._left < 1:
                return False
            self._left -= 1
            return True

    def take_share(self):
        """Take half of what is left, rounded down, for a call further down."""
        with self._lock:
            share = self._left // 2
            self._left -= share
            return share

    def give_back(self, *, retries):
        """Return retries that a call further down did not use."""
        with self._lock:
            self._left += retries


class RetryBudget:
    """Retry tokens of one daemon.

    :param ratio: tokens earned by a first try.
    :param ceiling: most tokens that can be saved up.
    :param initial: tokens at the start.
    """

    def __init__(self, *, ratio=0.1, ceiling=10.0, initial=0.0):
        self.ratio = ratio
        self.ceiling = ceiling
        self._tokens = initial
        self._lock = threading.Lock()

    @property
    def tokens(self):
        """Tokens at hand."""
        return self._tokens

    def record_first_try(self):
        """Earn a fraction of a token."""
        with self._lock:
            self._tokens = min(self.ceiling, self._tokens + self.ratio)

    def charge(self, amount):
        """Pay for repeats that others caused, on credit if need be."""
        with self._lock:
            self._tokens = max(-self.ceiling, self._tokens - amount)

    def spend(self):
        """Spend a token on a retry; return whether there was one."""
        with self._lock:
            # Ten tenths add up to slightly less than one.
            if self._tokens < 1.0 - 1e-9:
                return False
            self._tokens -= 1.0
            return True


class RepeatWorth:
    """Whether it helps to send a failed request again.

    Where all backend servers of a service fail for the same reason, repeats only
    add load. Each kind of request has a moving average of its repeats' success;
    below a bound only a few probes are sent.

    :param generator: a ``random.Random``.
    """

    def __init__(self, *, generator):
        self._random = generator
        self._shares = {}

    def is_worth(self, kind):
        """Return whether to repeat a request of ``kind``."""
        share = self._shares.get(kind, 1.0)
        return share >= LEAST_REPEAT_SUCCESS or self._random.random() < PROBE_SHARE

    def record(self, kind, *, is_success):
        """Learn from the end of a repeat."""
        known = self._shares.get(kind, 1.0)
        self._shares[kind] = known + REPEAT_WEIGHT * (is_success - known)

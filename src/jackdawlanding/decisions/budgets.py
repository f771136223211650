"""Repeats bounded over all daemons: each keeps to its share of a window's budget.

In any window a service may see ``ratio`` repeats a first try, and some slack. A
daemon earns most of that ratio with its own first tries; what it may save up is
the rest of it over a window, and its part of the slack.
"""

import math

# Of the allowed ratio, what is earned, and what may be saved over a window.
EARNED_SHARE = 0.8
SAVED_SHARE = 0.15
# Of its part of the slack, what a daemon may save without traffic. One that starts
# anew may have spent its part just before.
SLACK_SHARE = 0.98
START_SHARE = 0.5
# A repeat that helps less often than this isn't worth its load further down.
LEAST_REPEAT_SUCCESS = 0.4
PROBE_SHARE = 0.1
REPEAT_WEIGHT = 0.1


class WindowBudget:
    """Repeat tokens of one daemon for one service.

    Set ``daemon_count`` when the number of those that share the slack changes.

    :param ratio: repeats that a first try allows.
    :param window: the window's length in seconds.
    :param slack: repeats that all daemons together may send in a window besides.
    :param generator: a ``random.Random``, which rounds this daemon's part of the
        slack up or down, so that the sum over all daemons keeps to it.
    """

    def __init__(self, *, ratio, window, slack, daemon_count, generator):
        self.daemon_count = daemon_count
        self._ratio = ratio
        self._window = window
        self._slack = slack
        self._rounding = generator.random()
        self._recent = 0.0
        self._at = float("-inf")
        self.tokens = self.part * START_SHARE

    @property
    def part(self):
        """Whole tokens of the slack that are this daemon's."""
        share = self._slack * SLACK_SHARE / max(1, self.daemon_count)
        return math.floor(share + self._rounding)

    @property
    def ceiling(self):
        """Most tokens that can be saved up now."""
        return max(self.part, self._recent * self._ratio * SAVED_SHARE)

    def record_first_try(self, *, now):
        """Earn a part of a token."""
        self._recent *= math.exp(min(0.0, self._at - now) / self._window)
        self._recent += 1
        self._at = now
        earned = self._ratio * EARNED_SHARE
        self.tokens = min(self.ceiling, self.tokens + earned)

    def charge(self, amount):
        """Pay for repeats that others caused, on credit if need be."""
        self.tokens = max(-max(1.0, self.ceiling), self.tokens - amount)

    def spend(self):
        """Spend a token on a repeat; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryEffectiveness:
    """Whether it helps to send a failed request again.

    Where all backend servers of a service fail for the same reason, repeats only
    add load. Each kind of request has a moving average of its repeats' success;
    below a bound only a few probes are sent.

    :param generator: a ``random.Random``.
    """

    def __init__(self, *, generator):
        self._random = generator
        self._shares = {}

    def should_retry(self, kind):
        """Return whether to repeat a request of ``kind``."""
        share = self._shares.get(kind, 1.0)
        return share >= LEAST_REPEAT_SUCCESS or self._random.random() < PROBE_SHARE

    def record(self, kind, *, is_success):
        """Learn from the end of a repeat."""
        known = self._shares.get(kind, 1.0)
        self._shares[kind] = known + REPEAT_WEIGHT * (is_success - known)

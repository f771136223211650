"""Retry budgets of one service, shared by all daemons without coordination.

In any window the daemons together may send ``ratio`` retries for each first try,
and a fixed slack. Each daemon earns most of the ratio with its own first tries. It
may save up the rest of the ratio over a window, or its part of the slack if that
is more.
"""

import math

# Shares of the ratio: earned by a first try, and saved up at most over a window.
EARNED_SHARE = 0.8
SAVED_SHARE = 0.15
# Shares of a daemon's part of the slack: saved up without traffic, and available
# at the start. Less is available then, because the process that ran before may
# just have spent its tokens.
SLACK_SHARE = 0.98
START_SHARE = 0.5
# Retries that succeed less often than this cost the services called more than they
# help.
MINIMUM_RETRY_SUCCESS = 0.4
PROBE_SHARE = 0.1
# Weight of the newest retry in the moving average.
RETRY_WEIGHT = 0.1


class WindowBudget:
    """Retry tokens of one daemon for one service.

    Set ``daemon_count`` when the number of daemons that share the slack changes.

    :param ratio: retries that each first try allows.
    :param window: length of the window in seconds.
    :param slack: additional retries that all daemons together may send in a window.
    :param daemon_count: how many daemons share the slack, this one included.
    :param generator: a ``random.Random``, which rounds this daemon's part of the
        slack up or down so that the parts of all daemons add up to the slack.
    """

    def __init__(self, *, ratio, window, slack, daemon_count, generator):
        self.daemon_count = daemon_count
        self._ratio = ratio
        self._window = window
        self._slack = slack
        self._rounding = generator.random()
        self._recent_tries = 0.0
        self._tried_at = float("-inf")
        self.tokens = self.slack_tokens * START_SHARE

    @property
    def slack_tokens(self):
        """Return this daemon's part of the slack, in whole tokens."""
        share = self._slack * SLACK_SHARE / max(1, self.daemon_count)
        return math.floor(share + self._rounding)

    @property
    def ceiling(self):
        """Return the most tokens that can be saved up now."""
        return max(self.slack_tokens, self._recent_tries * self._ratio * SAVED_SHARE)

    def record_first_try(self, *, now):
        """Add the fraction of a token that a first try earns."""
        self._recent_tries *= math.exp(min(0.0, self._tried_at - now) / self._window)
        self._recent_tries += 1
        self._tried_at = now
        earned = self._ratio * EARNED_SHARE
        self.tokens = min(self.ceiling, self.tokens + earned)

    def charge(self, amount):
        """Deduct tokens for retries caused elsewhere; the balance may go negative.

        The debt is at most the ceiling, or one token if the ceiling is lower.
        """
        self.tokens = max(-max(1.0, self.ceiling), self.tokens - amount)

    def spend(self):
        """Spend a token on a retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryEffectiveness:
    """Tracks for each kind of request how often its retries succeed.

    Where all backend servers of a service fail for the same reason, retries only
    add load. While the moving average of their success is too low, only a small
    share of the retries is sent, as probes.

    :param generator: a ``random.Random``.
    """

    def __init__(self, *, generator):
        self._random = generator
        self._success_shares = {}

    def should_retry(self, kind):
        """Return whether to retry a request of ``kind``."""
        share = self._success_shares.get(kind, 1.0)
        return share >= MINIMUM_RETRY_SUCCESS or self._random.random() < PROBE_SHARE

    def record(self, kind, *, is_success):
        """Record whether a retry of a request of ``kind`` succeeded."""
        share = self._success_shares.get(kind, 1.0)
        self._success_shares[kind] = share + RETRY_WEIGHT * (is_success - share)

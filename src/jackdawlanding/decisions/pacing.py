"""Limits on new work whose nested calls end too late or are refused.

Each kind of new work has a limit on how many requests run at once. The limit falls
while many requests end badly for lack of capacity at the services they call, so
that those which do run end well. It rises again while few do: additive increase,
multiplicative decrease.
"""

# Weight of the newest request in the moving average of bad ends.
WEIGHT = 0.1
# Rare slow requests are no sign of overload.
HIGHEST_BAD_SHARE = 0.2
DECREASE = 0.8
# Least seconds between two decreases: the requests admitted before the first one
# must have ended.
DECREASE_INTERVAL_SECONDS = 0.2
# A request that takes more than this share of its allowed time ends badly.
LATE_SHARE = 0.85
MINIMUM = 1.0
UNBOUNDED = float("inf")


class PacingLimit:
    """The concurrency limit of one kind of work."""

    def __init__(self):
        self.limit = UNBOUNDED
        self.running = 0
        self._bad_share = 0.0
        self._decreased_at = float("-inf")

    @property
    def has_room(self):
        """Return whether one more request may run."""
        return self.running < self.limit

    def begin(self):
        """Record that a request begins to run."""
        self.running += 1

    def end(self, *, now, is_bad, ceiling):
        """Record that a request ended, and adapt the limit.

        :param is_bad: whether it ended badly; ``None`` where that says nothing
            about the load.
        :param ceiling: the limit is removed once it reaches this number.
        """
        was_running = self.running
        self.running -= 1
        if is_bad is None:
            return
        self._bad_share += WEIGHT * (is_bad - self._bad_share)
        if self._bad_share > HIGHEST_BAD_SHARE:
            if is_bad and now - self._decreased_at > DECREASE_INTERVAL_SECONDS:
                self._decreased_at = now
                self.limit = max(MINIMUM, min(self.limit, was_running) * DECREASE)
        elif self.limit < ceiling:
            self.limit += 1.0 / max(1.0, self.limit)
        else:
            self.limit = UNBOUNDED


class PacingLimits:
    """The limits of all kinds of work at one backend server."""

    def __init__(self):
        self._limits = {}

    def get(self, kind):
        """Return the :class:`PacingLimit` of a kind of work."""
        limit = self._limits.get(kind)
        if limit is None:
            limit = self._limits[kind] = PacingLimit()
        return limit

    def list_limits(self):
        """Return ``(kind, limit)`` pairs of the kinds whose limit is bounded."""
        return [
            (kind, limit.limit)
            for kind, limit in self._limits.items()
            if limit.limit != UNBOUNDED
        ]

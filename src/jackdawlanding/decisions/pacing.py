"""Bounds on new work whose own calls come too late or are turned away.

Each kind of new work has a limit on how many run at once. It falls while many
of them end badly for want of capacity further down, so that what does run ends
well, and rises again while few do: additive increase, multiplicative decrease.
"""

# Weight of the newest end in the moving share of bad ones.
WEIGHT = 0.1
# Rare slow requests are no sign of overload.
HIGHEST_BAD_SHARE = 0.2
DECREASE = 0.8
# Least seconds between two decreases; what was admitted before must end first.
PAUSE_SECONDS = 0.2
# Ends in a share of the allowed time above this are bad ones.
LATE_SHARE = 0.85
MINIMUM = 1.0
UNBOUNDED = float("inf")


class PacingLimit:
    """The limit of one kind of work."""

    def __init__(self):
        self.limit = UNBOUNDED
        self.running = 0
        self._bad_share = 0.0
        self._cut_at = float("-inf")

    @property
    def has_room(self):
        """Whether one more may run."""
        return self.running < self.limit

    def begin(self):
        """Count one that runs now."""
        self.running += 1

    def end(self, *, now, is_bad, ceiling):
        """Learn from an end; ``ceiling`` is the limit above which there is none.

        :param is_bad: ``None`` where the end tells nothing.
        """
        was_running = self.running
        self.running -= 1
        if is_bad is None:
            return
        self._bad_share += WEIGHT * (is_bad - self._bad_share)
        if self._bad_share > HIGHEST_BAD_SHARE:
            if is_bad and now - self._cut_at > PAUSE_SECONDS:
                self._cut_at = now
                self.limit = max(MINIMUM, min(self.limit, was_running) * DECREASE)
        elif self.limit < ceiling:
            self.limit += 1.0 / max(1.0, self.limit)
        else:
            self.limit = UNBOUNDED


class PacingLimits:
    """The paces of all kinds of work at one backend server."""

    def __init__(self):
        self._paces = {}

    def get(self, kind):
        """Return the pace of a kind."""
        pace = self._paces.get(kind)
        if pace is None:
            pace = self._paces[kind] = PacingLimit()
        return pace

    def list_limits(self):
        """Return ``(kind, limit)`` of each kind that has one."""
        return [
            (kind, one.limit)
            for kind, one in self._paces.items()
            if one.limit != UNBOUNDED
        ]

"""Notices that the process was paused: a gap between two ticks."""

PAUSE_SECONDS = 2.0


class PauseGuard:
    """Compares the time with the last tick, on a monotonic clock.

    A thread that wakes before the ticker does asks :meth:`is_paused`, so that
    it does not act on a view from before the pause.
    """

    def __init__(self, *, now, pause_seconds=PAUSE_SECONDS):
        self.pause_seconds = pause_seconds
        self._ticked_at = now

    def tick(self, *, now):
        """Record a tick; return the seconds of the pause before it, or 0."""
        gap = now - self._ticked_at
        self._ticked_at = now
        return gap if gap >= self.pause_seconds else 0.0

    def is_paused(self, *, now):
        """Return whether the next tick is overdue by a pause."""
        return now - self._ticked_at >= self.pause_seconds

"""Detects that the process was paused, from the gap between two ticks."""

PAUSE_SECONDS = 2.0


class PauseGuard:
    """Compares the time with that of the last tick, on a monotonic clock.

    After a pause another thread may wake before the one that ticks. It calls
    :meth:`is_paused`, so that it doesn't act on a view from before the pause.

    :param now: seconds at the start, which counts as the first tick.
    :param pause_seconds: shortest gap that counts as a pause.
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
        """Return whether the time since the last tick amounts to a pause."""
        return now - self._ticked_at >= self.pause_seconds

"""Bounds the requests a second that are sent to a backend server.

A token bucket that starts empty: how much was sent before the rate was known, or
before a restart, counts for nothing.
"""

# Requests that may be sent at once after a pause, as seconds of the rate, beside one.
BURST_SECONDS = 0.25
# A backend server that takes nothing is asked now and then: only an answer can lift
# its limit.
MINIMUM_RATE = 0.5
# Bounds the arithmetic; no backend server serves as many requests a second.
MAXIMUM_RATE = 1e6


class RateLimit:
    """A rate that may change at any time; ``None`` is no limit.

    Times are in seconds, on one clock.
    """

    def __init__(self):
        self.rate = None
        self._tokens = 0.0
        self._refilled_at = 0.0

    def set_rate(self, *, now, rate):
        """Set the rate in requests a second; ``None`` lifts the limit."""
        if self.rate is None:
            self._tokens = 0.0
            self._refilled_at = now
        else:
            self._refill(now)
        if rate is not None:
            rate = min(MAXIMUM_RATE, max(MINIMUM_RATE, rate))
        self.rate = rate

    def get_delay(self, *, now, ahead=0):
        """Return the seconds until a request behind ``ahead`` others may be sent."""
        if self.rate is None:
            return 0.0
        self._refill(now)
        return max(0.0, (ahead + 1 - self._tokens) / self.rate)

    def take(self, *, now):
        """Count a request that is sent."""
        if self.rate is not None:
            self._refill(now)
            self._tokens -= 1

    def _refill(self, now):
        most = 1 + self.rate * BURST_SECONDS
        earned = (now - self._refilled_at) * self.rate
        self._tokens = min(most, self._tokens + earned)
        self._refilled_at = now

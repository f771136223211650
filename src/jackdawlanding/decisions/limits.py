"""Adaptive concurrency limit: additive increase, multiplicative decrease.

The limit falls when a call takes much longer than the best recent latency or when
the backend server sheds a call, at most once per round trip. While it is in use it
rises by one call for each limit's worth of good answers.
"""

DECREASE = 0.8
MAXIMUM_SLOWDOWN = 2.0
BASELINE_WINDOW_SECONDS = 10.0
LATENCY_FLOOR_SECONDS = 0.002


class AdaptiveLimit:
    """Adapts how many calls may run at a backend server at once.

    :param minimum: lower bound, in calls.
    :param maximum: upper bound, in calls.
    :param initial: first limit, in calls; the upper bound if ``None``. A backend
        server that starts cold needs a low one.
    """

    def __init__(self, *, minimum, maximum, initial=None):
        self.minimum = minimum
        self.maximum = maximum
        self._limit = float(initial if initial is not None else maximum)
        self._baselines = {}
        self._last_decrease = float("-inf")

    @property
    def limit(self):
        """Return the current limit, in whole calls."""
        return max(self.minimum, int(self._limit))

    def set_bounds(self, *, minimum, maximum):
        """Set both bounds and move the limit between them."""
        self.minimum = minimum
        self.maximum = maximum
        self._clamp()

    def record(self, *, now, latency, in_flight, kind=""):
        """Adapt the limit to one good answer.

        :param now: seconds on a monotonic clock.
        :param latency: seconds at the backend server, without the time of its
            nested calls.
        :param in_flight: calls that were running, this one included.
        :param kind: the kind of work; each has its own best latency.
        """
        baseline = self._update_baseline(now=now, latency=latency, kind=kind)
        if latency > max(LATENCY_FLOOR_SECONDS, baseline) * MAXIMUM_SLOWDOWN:
            self._decrease(now=now, latency=latency)
        elif in_flight * 2 >= self.limit:
            self._limit += 1.0 / self._limit
        self._clamp()

    def record_shed(self, *, now, latency):
        """Lower the limit because the backend server refused or aborted a call.

        :param latency: seconds at the backend server.
        """
        self._decrease(now=now, latency=latency)
        self._clamp()

    def _decrease(self, *, now, latency):
        if now - self._last_decrease < latency:
            return
        self._last_decrease = now
        self._limit *= DECREASE

    def _update_baseline(self, *, now, latency, kind):
        """Return the lowest latency of the current and the previous window."""
        since, current, previous = self._baselines.get(kind, (now, latency, latency))
        if now - since > BASELINE_WINDOW_SECONDS:
            since, current, previous = now, latency, current
        current = min(current, latency)
        self._baselines[kind] = (since, current, previous)
        return min(current, previous)

    def _clamp(self):
        self._limit = min(float(self.maximum), max(float(self.minimum), self._limit))

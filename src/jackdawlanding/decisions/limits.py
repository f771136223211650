"""Adaptive concurrency limit: additive increase, multiplicative decrease.

The limit falls when a call takes much longer than the best recent latency
or when the backend server sheds, at most once a round trip, and rises by one
call for each limit's worth of good answers while it is in use.
"""

DECREASE = 0.8
MAXIMUM_SLOWDOWN = 2.0
BASELINE_WINDOW_SECONDS = 10.0
LATENCY_FLOOR_SECONDS = 0.002


class AdaptiveLimit:
    """How many calls may run at a backend server at once.

    :param minimum: lower bound, in calls.
    :param maximum: upper bound, in calls.
    :param initial: where to start; a cold start begins low.
    """

    def __init__(self, *, minimum, maximum, initial=None):
        self.minimum = minimum
        self.maximum = maximum
        self._limit = float(initial if initial is not None else maximum)
        self._baselines = {}
        self._last_decrease = float("-inf")

    @property
    def limit(self):
        """The limit in force, in whole calls."""
        return max(self.minimum, int(self._limit))

    def set_bounds(self, *, minimum, maximum):
        """Put new bounds in force."""
        self.minimum = minimum
        self.maximum = maximum
        self._clamp()

    def record(self, *, now, latency, in_flight, kind=""):
        """Learn from one good answer.

        :param now: seconds on a monotonic clock.
        :param latency: seconds at the backend server, without the time that
            its own calls to other services took.
        :param in_flight: calls that were running, this one included.
        :param kind: the kind of work; each has its own best latency.
        """
        baseline = self._learn_baseline(now=now, latency=latency, kind=kind)
        if latency > max(LATENCY_FLOOR_SECONDS, baseline) * MAXIMUM_SLOWDOWN:
            self._decrease(now=now, latency=latency)
        elif in_flight * 2 >= self.limit:
            self._limit += 1.0 / self._limit
        self._clamp()

    def record_shed(self, *, now, latency):
        """Learn that the backend server refused or broke off."""
        self._decrease(now=now, latency=latency)
        self._clamp()

    def _decrease(self, *, now, latency):
        if now - self._last_decrease < latency:
            return
        self._last_decrease = now
        self._limit *= DECREASE

    def _learn_baseline(self, *, now, latency, kind):
        since, current, previous = self._baselines.get(kind, (now, latency, latency))
        if now - since > BASELINE_WINDOW_SECONDS:
            since, current, previous = now, latency, current
        current = min(current, latency)
        self._baselines[kind] = (since, current, previous)
        return min(current, previous)

    def _clamp(self):
        self._limit = min(float(self.maximum), max(float(self.minimum), self._limit))

"""Choice of an instance of the next service: two choices, near first.

Load is what answers carry plus what this daemon has outstanding itself, not
what health pages say. Failing instances are ejected for a while, a bounded
share at most, so that a service is never emptied.
"""

import random
import threading
import typing

EJECTION_FAILURES = 3
EJECTION_SECONDS = 2.0
MAXIMUM_EJECTED_SHARE = 0.34
LOAD_AGE_SECONDS = 0.1
RAMP_SECONDS = 5.0
RAMP_START_SHARE = 0.1
ADMITS_ALL = 255
PROBE_INTERVAL_SECONDS = 0.02


class Endpoint(typing.NamedTuple):
    """Where an instance is: its name, peer address and place."""

    instance: str
    address: str
    region: str
    failure_domain: str


class _Health:
    """What is known of one instance, from its own answers."""

    __slots__ = (
        "draining",
        "ejected_until",
        "failures",
        "in_flight",
        "latency",
        "limit",
        "outstanding",
        "probed_at",
        "since",
        "threshold",
        "updated_at",
    )

    def __init__(self, now):
        self.since = now
        self.outstanding = 0
        self.in_flight = 0
        self.limit = 0
        self.latency = 0.0
        self.threshold = ADMITS_ALL
        self.draining = False
        self.failures = 0
        self.ejected_until = float("-inf")
        self.updated_at = float("-inf")
        self.probed_at = float("-inf")


class Router:
    """Chooses instances of one service.

    :param region: this daemon's region.
    :param failure_domain: this daemon's failure domain.
    :param generator: a ``random.Random``, for repeatable tests.
    """

    def __init__(self, *, region, failure_domain, generator=None):
        self.region = region
        self.failure_domain = failure_domain
        self._random = generator or random.Random()
        self._endpoints = {}
        self._health = {}
        self._lock = threading.Lock()
        self._warm = False

    @property
    def endpoints(self):
        """The instances known, by name."""
        return dict(self._endpoints)

    def set_endpoints(self, *, now, endpoints):
        """Put a new list of instances in force.

        The first list is taken as warm; an instance that joins later starts
        with a small share that grows.
        """
        with self._lock:
            self._endpoints = {one.instance: one for one in endpoints}
            for name in self._endpoints:
                if name not in self._health:
                    since = now if self._warm else now - RAMP_SECONDS
                    self._health[name] = _Health(since)
            for name in set(self._health) - set(self._endpoints):
                del self._health[name]
            self._warm = self._warm or bool(endpoints)

    def choose(self, *, now, rank, cross_region=False, exclude=()):
        """Return an endpoint, or ``None`` where no instance may be tried.

        :param rank: the call's rank; instances that shed it are passed over.
        :param cross_region: whether another region may be used.
        :param exclude: names already tried.
        """
        with self._lock:
            allowed = [
                one
                for name, one in self._endpoints.items()
                if name not in exclude and not self._health[name].draining
            ]
            allowed = self._leave_out_ejected(now, allowed)
            for tier in self._split(allowed, cross_region):
                admitting = [one for one in tier if self._admits(now, one, rank)]
                if admitting:
                    return self._choose_of_two(now, admitting)
            return None

    def record_sent(self, *, instance):
        """Count a call on its way to an instance."""
        with self._lock:
            health = self._health.get(instance)
            if health:
                health.outstanding += 1

    def record_answer(
        self, *, now, instance, latency, in_flight, limit, threshold, draining
    ):
        """Learn from what an answer carries. ``latency`` is in seconds."""
        with self._lock:
            health = self._health.get(instance)
            if not health:
                return
            health.outstanding = max(0, health.outstanding - 1)
            health.in_flight = in_flight
            health.limit = limit
            health.threshold = threshold
            health.draining = draining
            health.failures = 0
            health.updated_at = now
            health.latency += 0.2 * (latency - health.latency)

    def record_failure(self, *, now, instance):
        """Learn that an instance gave no answer; return whether it is ejected."""
        with self._lock:
            health = self._health.get(instance)
            if not health:
                return False
            health.outstanding = max(0, health.outstanding - 1)
            health.failures += 1
            if health.failures < EJECTION_FAILURES:
                return False
            health.ejected_until = now + EJECTION_SECONDS
            return True

    def record_draining(self, *, instance):
        """Learn that an instance leaves."""
        with self._lock:
            health = self._health.get(instance)
            if health:
                health.draining = True

    def _leave_out_ejected(self, now, endpoints):
        ejected = [
            one for one in endpoints if self._health[one.instance].ejected_until > now
        ]
        most = int(len(endpoints) * MAXIMUM_EJECTED_SHARE)
        ejected.sort(key=lambda one: -self._health[one.instance].failures)
        out = {one.instance for one in ejected[:most]}
        return [one for one in endpoints if one.instance not in out]

    def _split(self, endpoints, cross_region):
        """Return tiers of endpoints: failure domain, region, elsewhere."""
        near, region, far = [], [], []
        for one in endpoints:
            if one.region != self.region:
                far.append(one)
            elif one.failure_domain != self.failure_domain:
                region.append(one)
            else:
                near.append(one)
        near_and_region = self._balance(near, region)
        tiers = [near_and_region, near + region]
        has_own = any(one.region == self.region for one in self._endpoints.values())
        if cross_region or not has_own:
            tiers.append(far)
        return tiers

    def _balance(self, near, region):
        """Return the near instances, or the whole region where they are few.

        A near instance that is busier than the region's average would take
        more than its share, so that the region joins in.
        """
        if not near or not region:
            return near or region
        busy = all(self._is_full(one) for one in near)
        return near + region if busy else near

    def _is_full(self, endpoint):
        health = self._health[endpoint.instance]
        return bool(health.limit) and self._load(endpoint) >= 0.8

    def _admits(self, now, endpoint, rank):
        if self._thinks_admitted(now, endpoint, rank):
            return True
        health = self._health[endpoint.instance]
        if now - health.probed_at < PROBE_INTERVAL_SECONDS:
            return False
        health.probed_at = now
        return True

    def _thinks_admitted(self, now, endpoint, rank):
        health = self._health[endpoint.instance]
        if health.draining:
            return False
        if now - health.updated_at > LOAD_AGE_SECONDS:
            return True
        return rank < health.threshold or health.threshold == ADMITS_ALL

    def _choose_of_two(self, now, endpoints):
        first = self._sample(now, endpoints)
        second = self._sample(now, endpoints)
        if second is first and len(endpoints) > 1:
            second = self._sample(now, endpoints)
        return min((first, second), key=self._cost)

    def _sample(self, now, endpoints):
        """Draw at random; an instance that is still cold is drawn less often."""
        for _ in range(4):
            one = self._random.choice(endpoints)
            age = now - self._health[one.instance].since
            share = max(RAMP_START_SHARE, min(1.0, age / RAMP_SECONDS))
            if self._random.random() < share:
                return one
        return one

    def _load(self, endpoint):
        health = self._health[endpoint.instance]
        running = max(health.in_flight, health.outstanding)
        return running / (health.limit or 16)

    def _cost(self, endpoint):
        health = self._health[endpoint.instance]
        return (self._load(endpoint) + 0.05) * (health.latency + 0.001)

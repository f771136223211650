"""Chooses an instance of a service: the better of two random ones, nearest first.

The load of an instance is what its answers report, or the calls that the local
daemon has in flight to it if these are more; health pages don't count. Failing
instances are ejected for a while. At most a bounded share of a service's instances
is ejected at once, so that some can always be chosen.
"""

import random
import threading
import typing

EJECTION_FAILURES = 3
EJECTION_SECONDS = 2.0
MAXIMUM_EJECTED_SHARE = 0.34
# A reported threshold is used for this long.
LOAD_AGE_SECONDS = 0.1
# A new instance gets a growing share of the calls for this long.
RAMP_SECONDS = 5.0
RAMP_START_SHARE = 0.1
# Threshold that is above every rank.
ADMITS_ALL = 255
PROBE_INTERVAL_SECONDS = 0.02


class Endpoint(typing.NamedTuple):
    """An instance: its name, its peer address and where it is."""

    instance: str
    address: str
    region: str
    failure_domain: str


class _Health:
    """The load, failures and state of one instance, as seen in its answers."""

    __slots__ = (
        "draining",
        "ejected_until",
        "failures",
        "in_flight",
        "latency",
        "limit",
        "outstanding",
        "probed_at",
        "joined_at",
        "threshold",
        "updated_at",
    )

    def __init__(self, now):
        self.joined_at = now
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
    :param generator: a ``random.Random``.
    """

    def __init__(self, *, region, failure_domain, generator=None):
        self.region = region
        self.failure_domain = failure_domain
        self._random = generator or random.Random()
        self._endpoints = {}
        self._health = {}
        self._lock = threading.Lock()
        self._has_had_endpoints = False

    @property
    def endpoints(self):
        """Return the :class:`Endpoint` of each instance, by the instance's name."""
        return dict(self._endpoints)

    def set_endpoints(self, *, now, endpoints):
        """Set the service's instances.

        Those of the first list get their full share of calls at once. An instance
        that joins later starts with a small share that grows.
        """
        with self._lock:
            self._endpoints = {endpoint.instance: endpoint for endpoint in endpoints}
            for name in self._endpoints:
                if name not in self._health:
                    joined_at = now if self._has_had_endpoints else now - RAMP_SECONDS
                    self._health[name] = _Health(joined_at)
            for name in set(self._health) - set(self._endpoints):
                del self._health[name]
            self._has_had_endpoints = self._has_had_endpoints or bool(endpoints)

    def choose(self, *, now, rank, cross_region=False, exclude=()):
        """Return an :class:`Endpoint`, or ``None`` if no instance may be tried.

        :param rank: the call's rank; an instance that sheds it is only probed.
        :param cross_region: whether instances in another region may be used.
        :param exclude: names of the instances already tried.
        """
        with self._lock:
            allowed = [
                endpoint
                for name, endpoint in self._endpoints.items()
                if name not in exclude and not self._health[name].draining
            ]
            allowed = self._exclude_ejected(now, allowed)
            for tier in self._group_by_distance(allowed, cross_region):
                candidates = [
                    endpoint for endpoint in tier if self._may_try(now, endpoint, rank)
                ]
                if candidates:
                    return self._choose_of_two(now, candidates)
            return None

    def record_sent(self, *, instance):
        """Record that a call was sent to an instance."""
        with self._lock:
            health = self._health.get(instance)
            if health:
                health.outstanding += 1

    def record_answer(
        self, *, now, instance, latency, in_flight, limit, threshold, draining
    ):
        """Record an answer and the load that it reports.

        :param latency: seconds that the call took.
        :param in_flight: calls that run at the instance.
        :param limit: most calls that may run there.
        :param threshold: the first rank that the instance sheds, or
            :data:`ADMITS_ALL`.
        :param draining: whether the instance is draining.
        """
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
        """Record that an instance gave no answer; return whether it is ejected."""
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
        """Record that an instance is draining."""
        with self._lock:
            health = self._health.get(instance)
            if health:
                health.draining = True

    def _exclude_ejected(self, now, endpoints):
        ejected = [
            endpoint
            for endpoint in endpoints
            if self._health[endpoint.instance].ejected_until > now
        ]
        maximum = int(len(endpoints) * MAXIMUM_EJECTED_SHARE)
        ejected.sort(key=lambda endpoint: -self._health[endpoint.instance].failures)
        excluded = {endpoint.instance for endpoint in ejected[:maximum]}
        return [endpoint for endpoint in endpoints if endpoint.instance not in excluded]

    def _group_by_distance(self, endpoints, cross_region):
        """Return tiers of endpoints: failure domain, region, other regions.

        Other regions are left out while the local one has instances, unless
        ``cross_region`` allows them.
        """
        near, region, far = [], [], []
        for endpoint in endpoints:
            if endpoint.region != self.region:
                far.append(endpoint)
            elif endpoint.failure_domain != self.failure_domain:
                region.append(endpoint)
            else:
                near.append(endpoint)
        first_tier = self._select_first_tier(near, region)
        tiers = [first_tier, near + region]
        has_local = any(
            endpoint.region == self.region for endpoint in self._endpoints.values()
        )
        if cross_region or not has_local:
            tiers.append(far)
        return tiers

    def _select_first_tier(self, near, region):
        """Return the near instances, or the whole region's if they are all busy.

        Without the others, the near instances would get more than their share of
        the region's calls.
        """
        if not near or not region:
            return near or region
        are_busy = all(self._is_busy(endpoint) for endpoint in near)
        return near + region if are_busy else near

    def _is_busy(self, endpoint):
        health = self._health[endpoint.instance]
        return bool(health.limit) and self._compute_load(endpoint) >= 0.8

    def _may_try(self, now, endpoint, rank):
        """Return whether to try an instance: it should admit the rank, or is probed."""
        if self._is_expected_to_admit(now, endpoint, rank):
            return True
        health = self._health[endpoint.instance]
        if now - health.probed_at < PROBE_INTERVAL_SECONDS:
            return False
        health.probed_at = now
        return True

    def _is_expected_to_admit(self, now, endpoint, rank):
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
        return min((first, second), key=self._compute_cost)

    def _sample(self, now, endpoints):
        """Return a random endpoint; one that joined recently is drawn less often."""
        for _ in range(4):
            endpoint = self._random.choice(endpoints)
            age = now - self._health[endpoint.instance].joined_at
            share = max(RAMP_START_SHARE, min(1.0, age / RAMP_SECONDS))
            if self._random.random() < share:
                return endpoint
        return endpoint

    def _compute_load(self, endpoint):
        health = self._health[endpoint.instance]
        running = max(health.in_flight, health.outstanding)
        return running / (health.limit or 16)

    def _compute_cost(self, endpoint):
        health = self._health[endpoint.instance]
        return (self._compute_load(endpoint) + 0.05) * (health.latency + 0.001)

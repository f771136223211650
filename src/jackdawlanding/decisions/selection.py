"""Chooses the instance that a request is sent to.

An instance of the local failure domain is chosen if its answer is expected well
within the latency objective, otherwise the best of the region if its answer is
likely to be in time, otherwise the best of all, since traffic between regions costs
money. A nested call leaves its failure domain as soon as it would have to wait
there, since the durations of the calls of a chain add up. Expected durations come
from the load that each reply reports and from the requests in flight.
"""

import random
import typing

# Weight of the newest duration in the moving averages.
WEIGHT = 0.2
# Classes of instances, best first: the largest tier order, and the largest expected
# share of the time to the objective. Durations vary by half of their mean, so that
# a request expected to need more than the second share often ends late.
CLASSES = ((0, 0.4), (1, 0.75), (2, 1.0))
# A nested call stays in its failure domain while the load of the instance there is
# below this share of its limit.
NEAR_LOAD_SHARE = 0.85
# Seconds that a nested call must save to be sent to another tier, by tier order.
MINIMUM_SAVED_SECONDS = (0.0, 0.004, 0.02)
# How long an instance is avoided after a refusal or a failed connection.
AVOID_SECONDS = 0.25
UNREACHABLE_SECONDS = 1.0
# A failing instance counts as slower by its share of failures, times this factor,
# times the time to the objective. For a nested call FAILURE_SECONDS replaces that
# time.
FAILURE_COST = 2.0
FAILURE_SECONDS = 0.3
# A nested call stays in its failure domain up to this share of failures there.
NEAR_FAILURE_SHARE = 0.1
FAILURE_WEIGHT = 0.15
FAILURE_FORGET_SECONDS = 5.0
# How long a reported load is used: requests may have ended since.
LOAD_SECONDS = 1.0
# How long the rate of starts that was reported with it is used in full.
RATE_SECONDS = 4.0
# Duration assumed before the first measurement.
INITIAL_SECONDS = 0.02
# A known duration that has not been confirmed for longer than this counts for less.
FADE_SECONDS = 1.0


class Tier(typing.NamedTuple):
    """The distance of an instance: its order, and the round trip in seconds."""

    order: int
    round_trip_seconds: float


SAME_DOMAIN = Tier(order=0, round_trip_seconds=0.0005)
SAME_REGION = Tier(order=1, round_trip_seconds=0.002)
OTHER_REGION = Tier(order=2, round_trip_seconds=0.06)


class _Stats:
    """The load and the failures of one instance."""

    __slots__ = (
        "avoid_until",
        "failed_at",
        "failures",
        "limit",
        "outstanding",
        "queued",
        "running",
        "mean_seconds",
        "updated_at",
    )

    def __init__(self):
        self.outstanding = 0
        self.running = 0
        self.queued = 0
        self.limit = 0
        self.mean_seconds = INITIAL_SECONDS
        self.updated_at = float("-inf")
        self.avoid_until = float("-inf")
        self.failures = 0.0
        self.failed_at = float("-inf")


class Selector:
    """Chooses among the instances of a service.

    :param region: this daemon's region.
    :param failure_domain: this daemon's failure domain.
    :param regions: maps each failure domain to its region.
    :param generator: a ``random.Random``, which breaks ties.
    """

    def __init__(self, *, region, failure_domain, regions, generator=None):
        self.region = region
        self.failure_domain = failure_domain
        self.regions = regions
        self._random = generator or random.Random()
        self._stats = {}
        self._durations = {}
        # The backends of each service, and the same by tier.
        self._groups = {}

    def get_tier(self, failure_domain):
        """Return the :class:`Tier` of a failure domain."""
        if failure_domain == self.failure_domain:
            return SAME_DOMAIN
        if self.regions.get(failure_domain) == self.region:
            return SAME_REGION
        return OTHER_REGION

    def choose(
        self,
        *,
        now,
        backends,
        kind,
        remaining,
        is_nested=False,
        exclude=(),
        doubted=(),
    ):
        """Return a backend, or ``None`` if none may be tried.

        :param backends: the :class:`directory.Backend` objects of the service.
        :param kind: name that durations are averaged by, such as the route's.
        :param remaining: seconds until the objective.
        :param is_nested: whether the call is made for another one, which waits.
        :param exclude: names of the instances already tried.
        :param doubted: names of instances that are used if no other may be tried.
        """
        best, best_key = None, None
        for tier, group in self._list_groups(backends):
            for backend in group:
                if backend.is_draining or backend.instance in exclude:
                    continue
                key = self._make_sort_key(
                    now, backend, kind, None if is_nested else remaining, tier
                )
                if backend.instance in doubted:
                    key = (True, *key[1:])
                if best_key is None or key < best_key:
                    best, best_key = backend, key
            if best is not None and _is_final(best_key, tier, is_nested):
                break
        return best

    def _list_groups(self, backends):
        """Return pairs of a tier and its backends, nearest first.

        They are kept for each service until its backends change.
        """
        if not backends:
            return ()
        service = backends[0].service
        known, groups = self._groups.get(service, ((), ()))
        if known is not backends:
            by_tier = {}
            for backend in backends:
                tier = self.get_tier(backend.failure_domain)
                by_tier.setdefault(tier, []).append(backend)
            groups = sorted(by_tier.items())
            self._groups[service] = (backends, groups)
        return groups

    def _make_sort_key(self, now, backend, kind, remaining, tier):
        """Return the sort key of a candidate, best first.

        ``remaining`` is ``None`` for a nested call.
        """
        stats = self._get(backend.instance)
        expected = self._estimate_answer_seconds(
            now, backend, kind, remaining or FAILURE_SECONDS, tier
        )
        is_avoided = stats.avoid_until > now
        class_index = len(CLASSES)
        if remaining is None:
            expected += MINIMUM_SAVED_SECONDS[tier.order]
            class_index = not (
                tier is SAME_DOMAIN and self._has_capacity(now, stats, backend)
            )
        elif not is_avoided:
            class_index = _classify(tier, expected / remaining)
        return is_avoided, class_index, expected, self._random.random()

    def _has_capacity(self, now, stats, backend):
        limit = stats.limit or backend.slots
        is_failing = (
            stats.failures > NEAR_FAILURE_SHARE
            and now - stats.failed_at < FAILURE_FORGET_SECONDS
        )
        return (
            not is_failing and self._estimate_load(now, stats) < limit * NEAR_LOAD_SHARE
        )

    def record_sent(self, instance):
        """Record that a request was sent to an instance."""
        self._get(instance).outstanding += 1

    def record_end(self, *, now, instance, load=None):
        """Record that a request has ended.

        :param load: the load in the reply, with ``running``, ``queued``, ``limit``
            and ``seconds``; ``None`` without a reply.
        """
        stats = self._get(instance)
        stats.outstanding = max(0, stats.outstanding - 1)
        if load is not None:
            stats.running, stats.queued = load.running, load.queued
            stats.limit, stats.mean_seconds = load.limit, load.seconds
            stats.updated_at = now

    def record_success(self, *, now, instance, kind, seconds):
        """Record a complete answer after ``seconds``."""
        stats = self._get(instance)
        stats.failures *= 1 - FAILURE_WEIGHT
        stats.avoid_until = float("-inf")
        self.record_duration(now=now, instance=instance, kind=kind, seconds=seconds)

    def record_duration(self, *, now, instance, kind, seconds):
        """Record the duration of a request.

        :param seconds: until the answer, or until the request timed out.
        """
        average, _ = self._durations.get((instance, kind), (seconds, now))
        self._durations[instance, kind] = (average + WEIGHT * (seconds - average), now)

    def get_duration(self, *, instance, kind):
        """Return the average seconds of a kind of request at an instance.

        Without any, that of all requests there, as its last reply reported it.
        """
        seconds, _ = self._durations.get((instance, kind), (None, 0.0))
        return self._get(instance).mean_seconds if seconds is None else seconds

    def record_failure(self, *, now, instance):
        """Record an answer that was lost, invalid or a failure."""
        stats = self._get(instance)
        stats.failures += FAILURE_WEIGHT * (1 - stats.failures)
        stats.failed_at = now

    def avoid(self, *, now, instance, seconds=AVOID_SECONDS):
        """Avoid an instance for a number of seconds if others may be tried."""
        stats = self._get(instance)
        stats.avoid_until = max(stats.avoid_until, now + seconds)

    def retain_only(self, instances):
        """Remove the statistics of all instances that are not in ``instances``."""
        for name in [name for name in self._stats if name not in instances]:
            del self._stats[name]
        for key in [key for key in self._durations if key[0] not in instances]:
            del self._durations[key]

    def _get(self, instance):
        stats = self._stats.get(instance)
        if stats is None:
            stats = self._stats[instance] = _Stats()
        return stats

    def _estimate_answer_seconds(self, now, backend, kind, remaining, tier):
        """Return the seconds until an answer is expected.

        A failing instance counts as slower than it is.
        """
        stats = self._get(backend.instance)
        duration = self._estimate_duration(now, stats, (backend.instance, kind))
        expected = (
            tier.round_trip_seconds
            + duration
            + self._estimate_wait(now, stats, backend)
        )
        if stats.failures > 0.01 and now - stats.failed_at < FAILURE_FORGET_SECONDS:
            expected += stats.failures * FAILURE_COST * max(remaining, duration)
        return expected

    def _estimate_duration(self, now, stats, key):
        """Return the average seconds of a kind of request at an instance.

        An old average fades, so that a slow instance is tried again.
        """
        seconds, at = self._durations.get(key, (INITIAL_SECONDS, now))
        if now - at < FADE_SECONDS or stats.outstanding:
            return seconds
        return max(INITIAL_SECONDS, seconds * FADE_SECONDS / (now - at))

    def _estimate_wait(self, now, stats, backend):
        """Return the seconds until an instance starts one more request.

        Where its load is not known any more, it is assumed to have just started one.
        """
        limit = stats.limit or backend.slots
        interval = stats.mean_seconds / limit
        load = self._estimate_load(now, stats)
        if load >= limit:
            return (load - limit + 1) * interval
        age = now - stats.updated_at
        if age < LOAD_SECONDS:
            return 0.0
        return interval * min(1.0, RATE_SECONDS / age)

    def _estimate_load(self, now, stats):
        if now - stats.updated_at < LOAD_SECONDS:
            return max(stats.outstanding, stats.running + stats.queued)
        return stats.outstanding


def _is_final(key, tier, is_nested):
    """Return whether no instance of a farther tier can have a better sort key.

    The class of an instance is at least the order of its tier, and 0 only in the
    local failure domain.
    """
    is_avoided, class_index, *_ = key
    return not is_avoided and class_index <= (0 if is_nested else tier.order)


def _classify(tier, share):
    """Return the index in ``CLASSES`` of an instance.

    :param share: expected share of the time to the objective.
    """
    for index, (maximum_order, maximum_share) in enumerate(CLASSES):
        if tier.order <= maximum_order and share <= maximum_share:
            return index
    return len(CLASSES)

"""Choice of the instance that a request is offered to.

An instance of the own failure domain is taken if it is expected to answer well
within the objective, else the best of the region if it is likely to, else the
best of all: bytes between regions are paid for. One of a chain of calls leaves
its failure domain as soon as it would wait there, since their times add up.
Expectations come from the load that each reply carries and from what is
outstanding.
"""

import random
import typing

WEIGHT = 0.2
# Grades of instances, best first: at most so far away, and expected to need at
# most such a share of the time to the objective. Durations spread by half of
# their mean, so that what needs more than the second share often ends late.
GRADES = ((0, 0.4), (1, 0.75), (2, 1.0))
# A chained call stays in its failure domain up to this share of the limit there.
CALM_SHARE = 0.85
# Seconds that a chained call must save, by distance, to be sent so far.
DETOUR_SECONDS = (0.0, 0.004, 0.02)
# After a failed connection or a refusal an instance is passed over so long.
AVOID_SECONDS = 0.25
UNREACHABLE_SECONDS = 1.0
# A failing instance counts as slower by this share of the objective, or of so
# many seconds for a chained call.
FAILURE_COST = 2.0
FAILURE_SECONDS = 0.3
CALM_FAILURES = 0.1
FAILURE_WEIGHT = 0.15
FAILURE_FORGET_SECONDS = 5.0
# What is known of a load fades: another request may have ended since.
LOAD_SECONDS = 1.0
FIRST_SECONDS = 0.02
# A duration that nothing has confirmed for so long counts for less.
FADE_SECONDS = 1.0


class Tier(typing.NamedTuple):
    """How far an instance is: its order, and the round trip in seconds."""

    order: int
    seconds: float


SAME_DOMAIN = Tier(order=0, seconds=0.0005)
SAME_REGION = Tier(order=1, seconds=0.002)
OTHER_REGION = Tier(order=2, seconds=0.06)


class _Stats:
    """What is known of one instance."""

    __slots__ = (
        "avoid_until",
        "failed_at",
        "failures",
        "limit",
        "outstanding",
        "queued",
        "running",
        "seconds",
        "updated_at",
    )

    def __init__(self):
        self.outstanding = 0
        self.running = 0
        self.queued = 0
        self.limit = 0
        self.seconds = FIRST_SECONDS
        self.updated_at = float("-inf")
        self.avoid_until = float("-inf")
        self.failures = 0.0
        self.failed_at = float("-inf")


class Selector:
    """Chooses among the instances of a service.

    :param region: this daemon's region.
    :param failure_domain: this daemon's failure domain.
    :param regions: maps each failure domain to its region.
    :param generator: a ``random.Random``, to break ties.
    """

    def __init__(self, *, region, failure_domain, regions, generator=None):
        self.region = region
        self.failure_domain = failure_domain
        self.regions = regions
        self._random = generator or random.Random()
        self._stats = {}
        self._durations = {}

    def find_tier(self, failure_domain):
        """Return how far a failure domain is."""
        if failure_domain == self.failure_domain:
            return SAME_DOMAIN
        if self.regions.get(failure_domain) == self.region:
            return SAME_REGION
        return OTHER_REGION

    def choose(self, *, now, backends, kind, remaining, is_nested=False, exclude=()):
        """Return a backend, or ``None`` where none may be tried.

        :param backends: ``directory.Backend`` s of the service.
        :param kind: names the duration's average, such as the route.
        :param remaining: seconds until the objective.
        :param is_nested: whether others wait for this call to make their next.
        :param exclude: instances already tried.
        """
        best, best_key = None, None
        for backend in backends:
            if backend.is_draining or backend.instance in exclude:
                continue
            tier = self.find_tier(backend.failure_domain)
            key = self._rate(now, backend, kind, None if is_nested else remaining, tier)
            if best_key is None or key < best_key:
                best, best_key = backend, key
        return best

    def _rate(self, now, backend, kind, remaining, tier):
        """Return the sort key of a candidate, best first.

        Without ``remaining`` the call is one of a chain.
        """
        stats = self._get(backend.instance)
        expected = self._expect(now, backend, kind, remaining or FAILURE_SECONDS, tier)
        is_avoided = stats.avoid_until > now
        grade = len(GRADES)
        if remaining is None:
            expected += DETOUR_SECONDS[tier.order]
            grade = not (tier is SAME_DOMAIN and self._is_calm(now, stats, backend))
        elif not is_avoided:
            grade = _grade(tier, expected / remaining)
        return is_avoided, grade, expected, self._random.random()

    def _is_calm(self, now, stats, backend):
        limit = stats.limit or backend.slots
        is_failing = (
            stats.failures > CALM_FAILURES
            and now - stats.failed_at < FAILURE_FORGET_SECONDS
        )
        return not is_failing and self._find_load(now, stats) < limit * CALM_SHARE

    def record_sent(self, instance):
        """Count a request on its way to an instance."""
        self._get(instance).outstanding += 1

    def record_end(self, *, now, instance, load=None):
        """Note the end of a request, and the load that the reply carried."""
        stats = self._get(instance)
        stats.outstanding = max(0, stats.outstanding - 1)
        if load is not None:
            stats.running, stats.queued = load.running, load.queued
            stats.limit, stats.seconds = load.limit, load.seconds
            stats.updated_at = now

    def record_success(self, *, now, instance, kind, seconds):
        """Learn from a whole answer."""
        stats = self._get(instance)
        stats.failures *= 1 - FAILURE_WEIGHT
        stats.avoid_until = float("-inf")
        self.record_duration(now=now, instance=instance, kind=kind, seconds=seconds)

    def record_duration(self, *, now, instance, kind, seconds):
        """Learn that an answer took so long, or longer if it was given up."""
        known, _ = self._durations.get((instance, kind), (seconds, now))
        self._durations[instance, kind] = (known + WEIGHT * (seconds - known), now)

    def record_failure(self, *, now, instance):
        """Learn from an answer that was lost, spoilt or a failure."""
        stats = self._get(instance)
        stats.failures += FAILURE_WEIGHT * (1 - stats.failures)
        stats.failed_at = now

    def avoid(self, *, now, instance, seconds=AVOID_SECONDS):
        """Pass over an instance for a while, if others are left."""
        stats = self._get(instance)
        stats.avoid_until = max(stats.avoid_until, now + seconds)

    def keep_only(self, instances):
        """Forget all instances but these."""
        names = set(instances)
        for name in set(self._stats) - names:
            del self._stats[name]
        for key in [key for key in self._durations if key[0] not in names]:
            del self._durations[key]

    def _get(self, instance):
        stats = self._stats.get(instance)
        if stats is None:
            stats = self._stats[instance] = _Stats()
        return stats

    def _expect(self, now, backend, kind, remaining, tier):
        """Return the seconds until an answer is expected."""
        stats = self._get(backend.instance)
        usual = self._find_usual(now, stats, (backend.instance, kind))
        expected = tier.seconds + usual + self._find_wait(now, stats, backend)
        if stats.failures > 0.01 and now - stats.failed_at < FAILURE_FORGET_SECONDS:
            expected += stats.failures * FAILURE_COST * max(remaining, usual)
        return expected

    def _find_usual(self, now, stats, key):
        """Return the usual seconds; an old figure fades so that it is tried again."""
        seconds, at = self._durations.get(key, (FIRST_SECONDS, now))
        if now - at < FADE_SECONDS or stats.outstanding:
            return seconds
        return max(FIRST_SECONDS, seconds * FADE_SECONDS / (now - at))

    def _find_wait(self, now, stats, backend):
        limit = stats.limit or backend.slots
        load = self._find_load(now, stats)
        if load < limit:
            return 0.0
        return (load - limit + 1) * stats.seconds / limit

    def _find_load(self, now, stats):
        if now - stats.updated_at < LOAD_SECONDS:
            return max(stats.outstanding, stats.running + stats.queued)
        return stats.outstanding


def _grade(tier, share):
    """Return the place in ``GRADES`` of an instance at a distance."""
    for place, (farthest, highest) in enumerate(GRADES):
        if tier.order <= farthest and share <= highest:
            return place
    return len(GRADES)

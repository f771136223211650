"""Choice of the instance that a request is offered to.

An instance of the own failure domain is taken if it is expected to answer well
within the objective, else the best of the region if it is likely to, else the
best of all: bytes between regions are paid for. Expectations come from the load
that each reply carries and from what is outstanding.
"""

import random
import typing

WEIGHT = 0.2
# Grades of instances, best first: at most so far away, and expected to need at
# most such a share of the time to the objective. Durations spread by half of
# their mean, so that what needs more than the second share often ends late.
GRADES = ((0, 0.4), (1, 0.75), (2, 1.0))
# After a failed connection or a refusal an instance is passed over so long.
AVOID_SECONDS = 0.25
UNREACHABLE_SECONDS = 1.0
# A failing instance counts as slower by this share of the objective.
FAILURE_COST = 2.0
FAILURE_WEIGHT = 0.15
FAILURE_FORGET_SECONDS = 5.0
# What is known of a load fades: another request may have ended since.
LOAD_SECONDS = 1.0
FIRST_SECONDS = 0.02


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

    def choose(self, *, now, backends, kind, left, exclude=(), farthest=2):
        """Return a backend, or ``None`` where none may be tried.

        :param backends: ``directory.Backend`` s of the service.
        :param kind: names the duration's average, such as the route.
        :param left: seconds until the objective.
        :param exclude: instances already tried.
        :param farthest: the order of the farthest tier to try.
        """
        best, best_key = None, None
        for backend in backends:
            if backend.is_draining or backend.instance in exclude:
                continue
            tier = self.find_tier(backend.failure_domain)
            if tier.order > farthest:
                continue
            key = self._rate(now, backend, kind, left, tier)
            if best_key is None or key < best_key:
                best, best_key = backend, key
        return best

    def _rate(self, now, backend, kind, left, tier):
        """Return the sort key of a candidate, best first."""
        expected = self._expect(now, backend, kind, left, tier)
        is_avoided = self._get(backend.instance).avoid_until > now
        grade = len(GRADES)
        if not is_avoided:
            grade = _grade(tier, expected / left)
        return is_avoided, grade, expected, self._random.random()

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
        known = self._durations.get((instance, kind), seconds)
        self._durations[instance, kind] = known + WEIGHT * (seconds - known)

    def record_failure(self, *, now, instance):
        """Learn from an answer that was lost, spoilt or a failure."""
        stats = self._get(instance)
        stats.failures += FAILURE_WEIGHT * (1 - stats.failures)
        stats.failed_at = now

    def avoid(self, *, now, instance, seconds=AVOID_SECONDS):
        """Pass over an instance for a while, if others are left."""
        stats = self._get(instance)
        stats.avoid_until = max(stats.avoid_until, now + seconds)

    def keep(self, instances):
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

    def _expect(self, now, backend, kind, left, tier):
        """Return the seconds until an answer is expected."""
        stats = self._get(backend.instance)
        usual = self._durations.get((backend.instance, kind), FIRST_SECONDS)
        expected = tier.seconds + usual + self._find_wait(now, stats, backend)
        if stats.failures > 0.01 and now - stats.failed_at < FAILURE_FORGET_SECONDS:
            expected += stats.failures * FAILURE_COST * max(left, usual)
        return expected

    def _find_wait(self, now, stats, backend):
        limit = stats.limit or backend.slots
        load = stats.outstanding
        if now - stats.updated_at < LOAD_SECONDS:
            load = max(load, stats.running + stats.queued)
        if load < limit:
            return 0.0
        return (load - limit + 1) * stats.seconds / limit


def _grade(tier, share):
    """Return the place in ``GRADES`` of an instance at a distance."""
    for place, (farthest, highest) in enumerate(GRADES):
        if tier.order <= farthest and share <= highest:
            return place
    return len(GRADES)

"""Admission to a backend server with a known number of slots.

What runs never exceeds the slots, so that the backend server itself never
queues. What waits is ordered by rank; calls that a backend server makes go
before new work of the same rank, since work has been spent on them. A job that
can't end in time is turned away at once.
"""

import bisect
import enum
import itertools
import typing

# A backend server slows down when nearly all of its slots are taken; this
# share of them stays free.
SPARE_SHARE = 0.06
# Weight of the newest duration in the moving averages.
WEIGHT = 0.05
FIRST_SECONDS = 0.02
# A job may wait for this share of the time to its objective.
WAIT_SHARE = 0.6
# Share of the usual duration that must be left when a job begins.
LEAST_LEFT_SHARE = 0.5
MINIMUM_RETRY_SECONDS = 0.05


class Verdict(enum.Enum):
    """What becomes of an offered job."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


class Job:
    """One request offered to a gate.

    :param kind: names its duration's average.
    :param deadline: when it is worth nothing, on the gate's clock.
    :param objective: when it loses most of its worth.
    :param token: anything of the embedder's own.
    """

    __slots__ = (
        "admitted_at",
        "deadline",
        "kind",
        "objective",
        "submitted_at",
        "order",
        "token",
    )

    def __init__(self, *, kind, rank, is_nested, deadline, objective, token=None):
        self.kind = kind
        self.order = (rank, not is_nested, 0)
        self.deadline = deadline
        self.objective = objective
        self.token = token
        self.submitted_at = 0.0
        self.admitted_at = 0.0


class AdmissionResult(typing.NamedTuple):
    """The answer to an offer: a verdict, jobs that had to give way, and when
    to come back, in seconds, where the verdict or an eviction refuses."""

    verdict: Verdict
    evicted: tuple = ()
    retry_after: float = 0.0


class SlotController:
    """Decides which jobs run, wait, or are turned away.

    :param slots: how many requests the backend server runs at once.
    """

    def __init__(self, *, slots):
        self.slots = slots
        self.running = 0
        self.mean_seconds = FIRST_SECONDS
        self._queue = []
        self._numbers = itertools.count()
        self._durations = {}

    @property
    def limit(self):
        """How many jobs may run at once."""
        return max(1, int(self.slots * (1 - SPARE_SHARE)))

    @property
    def queued(self):
        """How many jobs wait."""
        return len(self._queue)

    def find_duration(self, kind):
        """Return the usual seconds of a kind of job."""
        return self._durations.get(kind, self.mean_seconds)

    def forecast(self, ahead):
        """Return the seconds until a job with ``ahead`` others before it runs."""
        free = self.limit - self.running
        if free > ahead:
            return 0.0
        return (ahead - max(0, free) + 1) * self.mean_seconds / self.limit

    def submit(self, *, now, job):
        """Decide on a job; see :class:`AdmissionResult`."""
        job.submitted_at = now
        job.order = (*job.order[:2], next(self._numbers))
        if now + self.find_duration(job.kind) * LEAST_LEFT_SHARE >= job.deadline:
            return self._refuse(0)
        if self.running < self.limit and not self._queue:
            self._admit(now, job)
            return AdmissionResult(verdict=Verdict.ADMITTED)
        ahead = bisect.bisect(self._queue, job.order, key=lambda one: one.order)
        if not self._may_wait(now, job, self.forecast(ahead)):
            return self._refuse(ahead)
        self._queue.insert(ahead, job)
        evicted = self._evict(now, ahead + 1)
        return AdmissionResult(
            verdict=Verdict.QUEUED,
            evicted=evicted,
            retry_after=self._find_return(len(self._queue)) if evicted else 0.0,
        )

    def release(self, *, now, job, is_good):
        """Note that an admitted job ended; learn its duration if it ran whole."""
        self.running -= 1
        if is_good:
            seconds = max(0.0, now - job.admitted_at)
            known = self._durations.get(job.kind, seconds)
            self._durations[job.kind] = known + WEIGHT * (seconds - known)
            self.mean_seconds += WEIGHT * (seconds - self.mean_seconds)

    def withdraw(self, job):
        """Take a waiting job out; return whether it waited."""
        if job in self._queue:
            self._queue.remove(job)
            return True
        return False

    def admit_next(self, *, now):
        """Return ``(admitted, late)``: jobs that run now, and those too late."""
        late = [one for one in self._queue if self._is_late(now, one)]
        for job in late:
            self._queue.remove(job)
        admitted = []
        while self._queue and self.running < self.limit:
            job = self._queue.pop(0)
            self._admit(now, job)
            admitted.append(job)
        return admitted, late

    def drain(self):
        """Take all waiting jobs out and return them."""
        queue, self._queue = self._queue, []
        return queue

    def _admit(self, now, job):
        job.admitted_at = now
        self.running += 1

    def _is_late(self, now, job):
        return now + self.find_duration(job.kind) * LEAST_LEFT_SHARE >= job.deadline

    def _may_wait(self, now, job, wait):
        """Return whether a job that waits so long can still end in time."""
        start = now + wait
        usual = self.find_duration(job.kind)
        if start + usual > job.deadline:
            return False
        return wait <= max(0.0, job.objective - now - usual) * WAIT_SHARE

    def _evict(self, now, position):
        """Turn away jobs behind ``position`` that the newcomer made too late."""
        evicted = []
        index = position
        while index < len(self._queue):
            job = self._queue[index]
            if now + self.forecast(index) + self.find_duration(job.kind) > job.deadline:
                evicted.append(self._queue.pop(index))
            else:
                index += 1
        return tuple(evicted)

    def _refuse(self, ahead):
        return AdmissionResult(
            verdict=Verdict.REFUSED, retry_after=self._find_return(ahead)
        )

    def _find_return(self, ahead):
        return max(MINIMUM_RETRY_SECONDS, self.forecast(ahead))

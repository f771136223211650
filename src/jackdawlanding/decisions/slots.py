"""Admission control for a backend server with a known number of slots.

The jobs that run never exceed the slots, so that the backend server itself never
queues, and start no faster than the rate that it takes, if it names one. Waiting jobs
are ordered by rank. Nested calls go before new work of the same rank, since work has
already been done for them. A job that can't end in time is refused at once.
"""

import bisect
import enum
import itertools
import math
import typing

from jackdawlanding.decisions import rates

# Share of the slots that stays free, because a backend server slows down when nearly
# all of them are in use.
SPARE_SHARE = 0.06
# Weight of the newest duration in the moving averages.
WEIGHT = 0.05
# Duration assumed before the first measurement.
INITIAL_SECONDS = 0.02
# Share of the spare time to its objective that a job may wait.
WAIT_SHARE = 0.6
# Share of its average duration that must remain to the deadline when a job begins.
MINIMUM_REMAINING_SHARE = 0.5
MINIMUM_RETRY_SECONDS = 0.05


class Verdict(enum.Enum):
    """The decision on a submitted job."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


class Job:
    """One request submitted to a controller.

    :param kind: name that durations are averaged by.
    :param rank: 0 is the most urgent.
    :param is_nested: whether a backend server made the request.
    :param deadline: when its answer becomes useless, in seconds on the
        controller's clock.
    :param objective: when its answer becomes much less useful, on the same clock.
    :param token: any object of the embedding program; it is only passed back.
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
    """The effect of a submitted job on itself and on the waiting jobs.

    ``evicted`` holds waiting jobs that can't end in time behind it. ``retry_after``
    is the seconds after which the refused or evicted jobs may be sent again.
    """

    verdict: Verdict
    evicted: tuple = ()
    retry_after: float = 0.0


class SlotController:
    """Decides which jobs run, wait, or are refused.

    :param slots: how many requests the backend server runs at once.
    """

    def __init__(self, *, slots):
        self.slots = slots
        self.rate_limit = rates.RateLimit()
        self.running = 0
        self.mean_seconds = INITIAL_SECONDS
        self._queue = []
        self._sequence = itertools.count()
        self._durations = {}

    @property
    def limit(self):
        """Return how many jobs may run at once."""
        return max(1, int(self.slots * (1 - SPARE_SHARE)))

    @property
    def capacity(self):
        """Return how many jobs run at once at the limit and the rate limit.

        At a steady rate this is the rate times the mean duration (Little's law).
        """
        if self.rate_limit.rate is None:
            return self.limit
        return min(self.limit, math.ceil(self.rate_limit.rate * self.mean_seconds))

    @property
    def cycle_seconds(self):
        """Return the seconds in which as many jobs start as :attr:`capacity`.

        It is the mean duration, or longer if the rate limit lets fewer start.
        """
        if self.rate_limit.rate is None:
            return self.mean_seconds
        return max(self.mean_seconds, self.capacity / self.rate_limit.rate)

    def get_occupied(self, *, now):
        """Return how much of :attr:`capacity` is in use, as a number of jobs.

        All of it is while the rate limit lets no job start.
        """
        if self.rate_limit.get_delay(now=now) > 0.0:
            return max(self.running, self.capacity)
        return self.running

    @property
    def queued(self):
        """Return the number of waiting jobs."""
        return len(self._queue)

    def get_duration(self, kind):
        """Return the average seconds of a kind of job."""
        return self._durations.get(kind, self.mean_seconds)

    def estimate_wait(self, *, now, ahead):
        """Return the seconds until a job runs that has ``ahead`` others before it."""
        limit, delay = self.limit, 0.0
        if self.rate_limit.rate is not None:
            delay = self.rate_limit.get_delay(now=now, ahead=ahead)
        free = limit - self.running
        if free > ahead:
            return delay
        missing = ahead - max(0, free) + 1
        return max(delay, missing * self.mean_seconds / limit)

    def get_delay(self, *, now):
        """Return the seconds until the rate limit lets the next waiting job start.

        ``None`` if no job waits for that.
        """
        if not self._queue or self.running >= self.limit:
            return None
        return self.rate_limit.get_delay(now=now)

    def submit(self, *, now, job):
        """Decide on a new job; return an :class:`AdmissionResult`."""
        job.submitted_at = now
        job.order = (*job.order[:2], next(self._sequence))
        if now + self.get_duration(job.kind) * MINIMUM_REMAINING_SHARE >= job.deadline:
            return self._refuse(now, 0)
        if self._has_room(now) and not self._queue:
            self._admit(now, job)
            return AdmissionResult(verdict=Verdict.ADMITTED)
        ahead = bisect.bisect(self._queue, job.order, key=lambda waiting: waiting.order)
        if not self._may_wait(now, job, self.estimate_wait(now=now, ahead=ahead)):
            return self._refuse(now, ahead)
        self._queue.insert(ahead, job)
        evicted = self._evict(now, ahead + 1)
        return AdmissionResult(
            verdict=Verdict.QUEUED,
            evicted=evicted,
            retry_after=(
                self._compute_retry_after(now, len(self._queue)) if evicted else 0.0
            ),
        )

    def release(self, *, now, job, is_success):
        """Record that an admitted job has ended.

        :param is_success: whether it ran to completion, so that its duration counts.
        """
        self.running -= 1
        if is_success:
            seconds = max(0.0, now - job.admitted_at)
            average = self._durations.get(job.kind, seconds)
            self._durations[job.kind] = average + WEIGHT * (seconds - average)
            self.mean_seconds += WEIGHT * (seconds - self.mean_seconds)

    def withdraw(self, job):
        """Remove a job from the queue; return whether it was waiting."""
        if job in self._queue:
            self._queue.remove(job)
            return True
        return False

    def admit_next(self, *, now):
        """Admit waiting jobs while there is room.

        :returns: a pair of lists: the jobs that run now, and those removed because
            they can't end in time.
        """
        late = [job for job in self._queue if self._is_late(now, job)]
        for job in late:
            self._queue.remove(job)
        admitted = []
        while self._queue and self._has_room(now):
            job = self._queue.pop(0)
            self._admit(now, job)
            admitted.append(job)
        return admitted, late

    def drain(self):
        """Remove all waiting jobs from the queue and return them."""
        queue, self._queue = self._queue, []
        return queue

    def _has_room(self, now):
        return self.running < self.limit and self.rate_limit.get_delay(now=now) <= 0.0

    def _admit(self, now, job):
        job.admitted_at = now
        self.running += 1
        self.rate_limit.take(now=now)

    def _is_late(self, now, job):
        return (
            now + self.get_duration(job.kind) * MINIMUM_REMAINING_SHARE >= job.deadline
        )

    def _may_wait(self, now, job, wait):
        """Return whether a job can still end in time after ``wait`` seconds."""
        start = now + wait
        duration = self.get_duration(job.kind)
        if start + duration > job.deadline:
            return False
        return wait <= max(0.0, job.objective - now - duration) * WAIT_SHARE

    def _evict(self, now, position):
        """Remove jobs from ``position`` on that the newly queued job makes too late."""
        evicted = []
        index = position
        while index < len(self._queue):
            job = self._queue[index]
            wait = self.estimate_wait(now=now, ahead=index)
            if now + wait + self.get_duration(job.kind) > job.deadline:
                evicted.append(self._queue.pop(index))
            else:
                index += 1
        return tuple(evicted)

    def _refuse(self, now, ahead):
        return AdmissionResult(
            verdict=Verdict.REFUSED, retry_after=self._compute_retry_after(now, ahead)
        )

    def _compute_retry_after(self, now, ahead):
        return max(MINIMUM_RETRY_SECONDS, self.estimate_wait(now=now, ahead=ahead))

"""Admission control for one backend server: an adaptive limit and a priority queue.

Protected calls go before all others. Within each group, waiting calls are ordered by
rank, then by how many calls of the same caller are running, fewest first, then by
age. A long queue serves the newest call first, because an old one has most likely
been given up. A protected call is never shed while a less urgent one is admitted. An
unprotected rank may have a floor: a share of unprotected admissions kept for it.

Once the queue has not been empty for a while, calls may wait only briefly, so
that their callers learn soon of the refusal; protected calls may wait longer.
Source: Maurer, "Fail at Scale", ACM Queue, 2015 (controlled delay, adaptive
last-in first-out).
"""

import collections
import enum
import typing

from jackdawlanding.decisions import limits

# Share of the queue's length above which the newest call goes first.
NEWEST_FIRST_SHARE = 0.5
# Threshold that is above every rank.
ADMITS_ALL = 255
THRESHOLD_HOLD_SECONDS = 0.1
# A queue that has not been empty for longer than this is a standing queue.
STANDING_SECONDS = 0.1
STANDING_WAIT_SECONDS = 0.05
# Share of a protected call's time to its deadline that it may wait in a standing
# queue.
PROTECTED_WAIT_SHARE = 0.1


class Verdict(enum.Enum):
    """The decision on a submitted call."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    OVER_LIMIT = "over-limit"
    TOO_LATE = "too-late"


class Completion(enum.Enum):
    """How an admitted call ended.

    The limit learns nothing from ``FAILED``: the calls that the backend server
    made may have been refused, which says nothing about its own load.
    """

    GOOD = "good"
    FAILED = "failed"
    SHED = "shed"


class PendingCall:
    """One call submitted to a controller.

    :param work: the call's :class:`works.Work`.
    :param caller: the name that fair shares are counted by.
    :param deadline: seconds on the controller's clock.
    :param token: any object of the embedding program; it is only passed back.
    """

    __slots__ = ("admitted_at", "caller", "deadline", "submitted_at", "token", "work")

    def __init__(self, *, work, caller, deadline, token=None):
        self.work = work
        self.caller = caller
        self.deadline = deadline
        self.token = token
        self.submitted_at = 0.0
        self.admitted_at = 0.0


class AdmissionResult(typing.NamedTuple):
    """The effect of one event on the submitted call and on the waiting ones.

    ``verdict`` is ``None`` where no call was submitted. The tuples hold the
    other calls that left the queue: ``shed`` calls were over the limit, ``late``
    ones can't be answered before their deadline.
    """

    verdict: Verdict | None
    admitted: tuple = ()
    shed: tuple = ()
    late: tuple = ()


class AdmissionController:
    """Decides which calls run at a backend server, and in what order.

    :param limit: an :class:`limits.AdaptiveLimit`.
    :param queue_length: most calls that may wait.
    """

    def __init__(self, *, limit, queue_length):
        self.limit = limit
        self.queue_length = queue_length
        self.in_flight = 0
        self._queue = []
        self._running_by_caller = collections.Counter()
        self._floor_credit = collections.Counter()
        self._service_times = {}
        self._shed_rank = ADMITS_ALL
        self._shed_at = float("-inf")
        self._last_empty_at = 0.0

    @property
    def queued(self):
        """Return the number of waiting calls."""
        return len(self._queue)

    def get_threshold(self, *, now):
        """Return the most urgent rank shed recently, or :data:`ADMITS_ALL`.

        Ranks with a lower number are admitted.
        """
        if now - self._shed_at > THRESHOLD_HOLD_SECONDS:
            return ADMITS_ALL
        return self._shed_rank

    def submit(self, *, now, pending_call):
        """Decide on a new call.

        :returns: an :class:`AdmissionResult`; a queued call appears later as
            ``admitted``, ``shed`` or ``late`` in the result of another event.
        """
        pending_call.submitted_at = now
        late = self._remove_late(now)
        if self._is_too_late(now, pending_call):
            return AdmissionResult(verdict=Verdict.TOO_LATE, late=late)
        if self._has_room() and not self._queue:
            self._admit(now, pending_call)
            self._last_empty_at = now
            return AdmissionResult(verdict=Verdict.ADMITTED, late=late)
        self._queue.append(pending_call)
        admitted = self._admit_waiting(now)
        shed = self._shed_excess(now) + self._shed_long_waits(now)
        return AdmissionResult(
            verdict=self._get_verdict(pending_call, admitted, shed),
            admitted=tuple(call for call in admitted if call is not pending_call),
            shed=tuple(call for call in shed if call is not pending_call),
            late=late,
        )

    def release(self, *, now, pending_call, completion, nested_seconds=0.0):
        """Record that an admitted call has ended, and admit waiting ones.

        :param completion: a :class:`Completion`.
        :param nested_seconds: time that the call spent waiting for its nested
            calls.
        :returns: an :class:`AdmissionResult` without a verdict.
        """
        latency = now - pending_call.admitted_at
        local_latency = max(0.0, latency - nested_seconds)
        if completion is Completion.GOOD:
            self.limit.record(
                now=now,
                latency=local_latency,
                in_flight=self.in_flight,
                kind=pending_call.work.name,
            )
            self._record_service_time(pending_call.work.name, latency)
        elif completion is Completion.SHED:
            self.limit.record_shed(now=now, latency=local_latency)
        self.in_flight -= 1
        self._remove_running(pending_call)
        late = self._remove_late(now)
        admitted = self._admit_waiting(now)
        return AdmissionResult(
            verdict=None, admitted=admitted, shed=self._shed_long_waits(now), late=late
        )

    def tick(self, *, now):
        """Remove calls that waited too long, and admit others.

        :returns: an :class:`AdmissionResult` without a verdict.
        """
        late = self._remove_late(now)
        admitted = self._admit_waiting(now)
        return AdmissionResult(
            verdict=None, admitted=admitted, shed=self._shed_long_waits(now), late=late
        )

    def _get_verdict(self, pending_call, admitted, shed):
        if pending_call in admitted:
            return Verdict.ADMITTED
        if pending_call in shed:
            return Verdict.OVER_LIMIT
        return Verdict.QUEUED

    def _has_room(self):
        return self.in_flight < self.limit.limit

    def _admit(self, now, pending_call):
        pending_call.admitted_at = now
        self.in_flight += 1
        self._running_by_caller[pending_call.caller] += 1

    def _remove_running(self, pending_call):
        self._running_by_caller[pending_call.caller] -= 1
        if self._running_by_caller[pending_call.caller] <= 0:
            del self._running_by_caller[pending_call.caller]

    def _admit_waiting(self, now):
        admitted = []
        while self._queue and self._has_room():
            pending_call = self._choose_next()
            self._queue.remove(pending_call)
            self._admit(now, pending_call)
            admitted.append(pending_call)
        return tuple(admitted)

    def _choose_next(self):
        best = min(self._queue, key=self._make_sort_key())
        if best.work.protected:
            return best
        return self._choose_by_floor(best)

    def _choose_by_floor(self, best):
        """Return the next call of a rank whose floor is due, else ``best``.

        Each choice adds a rank's floor to its credit while its calls wait; the
        floor is due at a credit of 1.
        """
        floors = {}
        for pending_call in self._queue:
            floor = pending_call.work.floor
            if floor > 0 and not pending_call.work.protected:
                floors.setdefault(pending_call.work.rank, floor)
        for rank, floor in floors.items():
            self._floor_credit[rank] = min(2.0, self._floor_credit[rank] + floor)
        due = [rank for rank in floors if self._floor_credit[rank] >= 1.0]
        if not due or best.work.rank in due:
            self._floor_credit[best.work.rank] = 0.0
            return best
        rank = max(due)
        self._floor_credit[rank] -= 1.0
        candidates = [call for call in self._queue if call.work.rank == rank]
        return min(candidates, key=self._make_sort_key())

    def _make_sort_key(self):
        """Return the sort key of waiting calls, most urgent first."""
        newest_first = len(self._queue) > self.queue_length * NEWEST_FIRST_SHARE
        sign = -1.0 if newest_first else 1.0
        running_by_caller = self._running_by_caller

        def sort_key(pending_call):
            work = pending_call.work
            return (
                not work.protected,
                work.rank,
                running_by_caller[pending_call.caller],
                sign * pending_call.submitted_at,
            )

        return sort_key

    def _shed_excess(self, now):
        shed = []
        while len(self._queue) > self.queue_length:
            pending_call = self._choose_to_shed()
            self._queue.remove(pending_call)
            shed.append(pending_call)
            self._record_shed(now, pending_call)
        return tuple(shed)

    def _shed_long_waits(self, now):
        """Shed calls that have waited too long in a standing queue.

        When a protected call is shed, all waiting calls of less urgent ranks
        are shed too: none of them may be admitted after it.
        """
        if not self._queue:
            self._last_empty_at = now
        if now - self._last_empty_at <= STANDING_SECONDS:
            return ()
        shed = [
            call
            for call in self._queue
            if now - call.submitted_at > _compute_maximum_wait(call)
        ]
        protected = [call.work.rank for call in shed if call.work.protected]
        if protected:
            shed += [
                call
                for call in self._queue
                if call.work.rank > min(protected) and call not in shed
            ]
        for pending_call in shed:
            self._queue.remove(pending_call)
            self._record_shed(now, pending_call)
        return tuple(shed)

    def _choose_to_shed(self):
        """Return a call of the least urgent rank, from its caller with most calls.

        Both waiting calls of that rank and running calls count.
        """
        lowest = max((not call.work.protected, call.work.rank) for call in self._queue)
        candidates = [
            call
            for call in self._queue
            if (not call.work.protected, call.work.rank) == lowest
        ]
        waiting_by_caller = collections.Counter(call.caller for call in candidates)
        return max(
            candidates,
            key=lambda call: (
                waiting_by_caller[call.caller] + self._running_by_caller[call.caller]
            ),
        )

    def _record_shed(self, now, pending_call):
        rank = pending_call.work.rank
        is_expired = now - self._shed_at > THRESHOLD_HOLD_SECONDS
        self._shed_rank = rank if is_expired else min(self._shed_rank, rank)
        self._shed_at = now

    def _remove_late(self, now):
        late = tuple(call for call in self._queue if self._is_too_late(now, call))
        for pending_call in late:
            self._queue.remove(pending_call)
        return late

    def _is_too_late(self, now, pending_call):
        return (
            now + self._service_times.get(pending_call.work.name, 0.0)
            >= pending_call.deadline
        )

    def _record_service_time(self, name, latency):
        """Update the moving average of half the latency of a kind of work.

        The estimate is low on purpose: a call that may still end in time is
        not refused.
        """
        estimate = self._service_times.get(name, latency / 2)
        self._service_times[name] = estimate + 0.1 * (latency / 2 - estimate)


def _compute_maximum_wait(pending_call):
    """Return the seconds that a call may wait in a standing queue."""
    if pending_call.work.protected:
        return (
            pending_call.deadline - pending_call.submitted_at
        ) * PROTECTED_WAIT_SHARE
    return STANDING_WAIT_SECONDS


def make_controller(*, minimum, maximum, queue_length, initial=None):
    """Return a controller with an adaptive limit between two bounds."""
    limit = limits.AdaptiveLimit(minimum=minimum, maximum=maximum, initial=initial)
    return AdmissionController(limit=limit, queue_length=queue_length)

"""Admission at one backend server: an adaptive limit and an ordered queue.

Calls wait by rank, then by how much their caller already has, then newest
first once the queue is long (an old entry is most likely dead). Between
protected ranks and all others the order is strict: a protected call is never
shed while one below it is admitted. Unprotected ranks may have floors.

Calls wait only briefly once the queue has not been empty for a while, so that
their callers learn soon that they are refused; protected ones wait longer.
Source: Maurer, "Fail at Scale", ACM Queue, 2015 (controlled delay, adaptive
last-in first-out).
"""

import collections
import enum
import typing

from jackdawlanding.decisions import limits

NEWEST_FIRST_SHARE = 0.5
ADMITS_ALL = 255
THRESHOLD_HOLD_SECONDS = 0.1
STANDING_SECONDS = 0.1
STANDING_WAIT_SECONDS = 0.05
# Of the time that a call has left when it is offered.
PROTECTED_WAIT_SHARE = 0.1


class Verdict(enum.Enum):
    """What becomes of an offered call."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    OVER_LIMIT = "over-limit"
    TOO_LATE = "too-late"


class Completion(enum.Enum):
    """How an admitted call ended, as far as the limit learns from it.

    ``FAILED`` tells nothing of the backend server's load: its own calls may
    have been refused.
    """

    GOOD = "good"
    FAILED = "failed"
    SHED = "shed"


class PendingCall:
    """One call offered to a gate.

    :param work: its declared work.
    :param caller: whose it is, for fair shares.
    :param deadline: seconds on the gate's clock.
    :param token: anything of the embedder's own.
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
    """What an event did: its own verdict, and entries that no longer wait.

    ``shed`` were over the limit; ``late`` can't be answered in time.
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
        self._held = collections.Counter()
        self._floor_credit = collections.Counter()
        self._service_times = {}
        self._shed_rank = ADMITS_ALL
        self._shed_at = float("-inf")
        self._emptied_at = 0.0

    @property
    def queued(self):
        """How many calls wait."""
        return len(self._queue)

    def threshold(self, *, now):
        """Return the lowest rank admitted, or :data:`ADMITS_ALL`."""
        if now - self._shed_at > THRESHOLD_HOLD_SECONDS:
            return ADMITS_ALL
        return self._shed_rank

    def submit(self, *, now, pending_call):
        """Decide on a new call.

        :returns: an :class:`AdmissionResult`; queued entries come back later, as
            ``admitted``, ``shed`` or ``late`` of another change.
        """
        pending_call.submitted_at = now
        late = self._expire(now)
        if self._is_too_late(now, pending_call):
            return AdmissionResult(verdict=Verdict.TOO_LATE, late=late)
        if self._has_room() and not self._queue:
            self._admit(now, pending_call)
            self._emptied_at = now
            return AdmissionResult(verdict=Verdict.ADMITTED, late=late)
        self._queue.append(pending_call)
        admitted = self._fill(now)
        shed = self._trim(now) + self._cut_waits(now)
        return AdmissionResult(
            verdict=self._verdict_of(pending_call, admitted, shed),
            admitted=tuple(one for one in admitted if one is not pending_call),
            shed=tuple(one for one in shed if one is not pending_call),
            late=late,
        )

    def release(self, *, now, pending_call, completion, nested_seconds=0.0):
        """Record that an admitted call has ended; admit others.

        :param completion: a :class:`Completion`.
        :param nested_seconds: time that the call's own calls took.
        """
        latency = now - pending_call.admitted_at
        own_latency = max(0.0, latency - nested_seconds)
        if completion is Completion.GOOD:
            self.limit.record(
                now=now,
                latency=own_latency,
                in_flight=self.in_flight,
                kind=pending_call.work.name,
            )
            self._learn_service_time(pending_call.work.name, latency)
        elif completion is Completion.SHED:
            self.limit.record_shed(now=now, latency=own_latency)
        self.in_flight -= 1
        self._forget_holding(pending_call)
        late = self._expire(now)
        admitted = self._fill(now)
        return AdmissionResult(
            verdict=None, admitted=admitted, shed=self._cut_waits(now), late=late
        )

    def tick(self, *, now):
        """Drop entries that can't be answered in time; admit others."""
        late = self._expire(now)
        admitted = self._fill(now)
        return AdmissionResult(
            verdict=None, admitted=admitted, shed=self._cut_waits(now), late=late
        )

    def _verdict_of(self, pending_call, admitted, shed):
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
        self._held[pending_call.caller] += 1

    def _forget_holding(self, pending_call):
        self._held[pending_call.caller] -= 1
        if self._held[pending_call.caller] <= 0:
            del self._held[pending_call.caller]

    def _fill(self, now):
        admitted = []
        while self._queue and self._has_room():
            pending_call = self._choose_next()
            self._queue.remove(pending_call)
            self._admit(now, pending_call)
            admitted.append(pending_call)
        return tuple(admitted)

    def _choose_next(self):
        best = min(self._queue, key=self._urgency())
        if best.work.protected:
            return best
        return self._choose_by_floor(best)

    def _choose_by_floor(self, best):
        """Let an unprotected rank with a floor pass once its credit is whole."""
        waiting = {}
        for pending_call in self._queue:
            floor = pending_call.work.floor
            if floor > 0 and not pending_call.work.protected:
                waiting.setdefault(pending_call.work.rank, floor)
        for rank, floor in waiting.items():
            self._floor_credit[rank] = min(2.0, self._floor_credit[rank] + floor)
        due = [rank for rank in waiting if self._floor_credit[rank] >= 1.0]
        if not due or best.work.rank in due:
            self._floor_credit[best.work.rank] = 0.0
            return best
        rank = max(due)
        self._floor_credit[rank] -= 1.0
        own = [one for one in self._queue if one.work.rank == rank]
        return min(own, key=self._urgency())

    def _urgency(self):
        """Return the sort key of waiting entries, most urgent first."""
        newest_first = len(self._queue) > self.queue_length * NEWEST_FIRST_SHARE
        sign = -1.0 if newest_first else 1.0
        held = self._held

        def measure(pending_call):
            work = pending_call.work
            return (
                not work.protected,
                work.rank,
                held[pending_call.caller],
                sign * pending_call.submitted_at,
            )

        return measure

    def _trim(self, now):
        shed = []
        while len(self._queue) > self.queue_length:
            victim = self._choose_victim()
            self._queue.remove(victim)
            shed.append(victim)
            self._note_shed(now, victim)
        return tuple(shed)

    def _cut_waits(self, now):
        """Shed calls that wait too long in a standing queue.

        With a protected call go all that wait below it: none of these may be
        admitted after it was shed.
        """
        if not self._queue:
            self._emptied_at = now
        if now - self._emptied_at <= STANDING_SECONDS:
            return ()
        cut = [one for one in self._queue if now - one.submitted_at > _find_wait(one)]
        protected = [one.work.rank for one in cut if one.work.protected]
        if protected:
            cut += [
                one
                for one in self._queue
                if one.work.rank > min(protected) and one not in cut
            ]
        for pending_call in cut:
            self._queue.remove(pending_call)
            self._note_shed(now, pending_call)
        return tuple(cut)

    def _choose_victim(self):
        """Choose the least urgent rank's entry of its most present caller."""
        lowest = max((not one.work.protected, one.work.rank) for one in self._queue)
        own = [
            one
            for one in self._queue
            if (not one.work.protected, one.work.rank) == lowest
        ]
        present = collections.Counter(one.caller for one in own)
        return max(
            own,
            key=lambda one: present[one.caller] + self._held[one.caller],
        )

    def _note_shed(self, now, victim):
        rank = victim.work.rank
        stale = now - self._shed_at > THRESHOLD_HOLD_SECONDS
        self._shed_rank = rank if stale else min(self._shed_rank, rank)
        self._shed_at = now

    def _expire(self, now):
        late = tuple(one for one in self._queue if self._is_too_late(now, one))
        for pending_call in late:
            self._queue.remove(pending_call)
        return late

    def _is_too_late(self, now, pending_call):
        return (
            now + self._service_times.get(pending_call.work.name, 0.0)
            >= pending_call.deadline
        )

    def _learn_service_time(self, name, latency):
        """Keep half of a low estimate: a call that might make it may try."""
        known = self._service_times.get(name, latency / 2)
        self._service_times[name] = known + 0.1 * (latency / 2 - known)


def _find_wait(pending_call):
    """Return the seconds that an entry may wait in a standing queue."""
    if pending_call.work.protected:
        return (
            pending_call.deadline - pending_call.submitted_at
        ) * PROTECTED_WAIT_SHARE
    return STANDING_WAIT_SECONDS


def make_controller(*, minimum, maximum, queue_length, initial=None):
    """Return a gate with an adaptive limit between two bounds."""
    limit = limits.AdaptiveLimit(minimum=minimum, maximum=maximum, initial=initial)
    return AdmissionController(limit=limit, queue_length=queue_length)

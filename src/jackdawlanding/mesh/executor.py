"""Execution of calls at the local backend server, the only path to it.

The executor admits calls by slots and by the rate that the backend server names,
queues them and states in each reply whether the call ran.
"""

import logging
import time

from jackdawlanding.decisions import pacing, slots, stops
from jackdawlanding.mesh import (
    backendnotice,
    backends,
    classification,
    health,
    memory,
    messages,
    occupant,
)
from jackdawlanding.platform import headers
from jackdawlanding.wire import http

logger = logging.getLogger("jackdaw.host")

# A request that was in flight at this many crashes is refused: the platform's rule
# on requests that crash the backend servers that run them.
MAXIMUM_CRASHES = 3
SWEEP_SECONDS = 0.05
# How long an answer may come after its deadline: the backend server stops at the
# deadline, and the caller's daemon has answered then.
OVERDUE_SECONDS = 1.0
# How many instances one request expects in turn. Arrivals that the backend server
# refuses count against the budget of retries.
MAXIMUM_EXPECTED = 3
# Headers of an answer that reach the caller whatever its Connection header names.
_KEPT_HEADERS = http.END_TO_END_HEADERS | headers.END_TO_END
# The Retry-After value of paced work: some of its executions have ended by then.
PACED_RETRY_SECONDS = 0.25


class Execution:
    """State of one call at the executor.

    :param call: a ``messages.Call``.
    :param respond: called with a ``messages.Reply``.
    """

    __slots__ = (
        "call",
        "attempt",
        "fingerprint",
        "instance",
        "is_ended",
        "lacked_capacity",
        "job",
        "misdirected",
        "respond",
    )

    def __init__(self, *, call, respond):
        self.call = call
        self.respond = respond
        self.job = None
        self.attempt = None
        self.fingerprint = None
        # The instance that the request expects, and those that it expected before.
        self.instance = call.instance
        self.misdirected = ()
        self.is_ended = False
        # Whether a nested call of this execution was refused for lack of capacity.
        self.lacked_capacity = False

    def drop_state(self):
        """Drop what refers back to this execution, so that its body is freed now."""
        self.job = self.attempt = self.respond = None


class Executor:
    """Runs calls at one backend server.

    :param loop: the event loop.
    :param service: the service of the backend server.
    :param address: its address, a pair of host and port.
    :param fleet_state: a ``gossip.FleetState``.
    :param metrics: a ``metrics.Metrics``.
    :param log: a ``logs.Log``.
    """

    def __init__(self, *, loop, service, address, fleet_state, metrics, log):
        self._loop = loop
        self.service = service
        self.address = address
        self._fleet_state = fleet_state
        self._metrics = metrics
        self._log = log
        self._pool = backends.BackendPool(loop=loop, address=address)
        self.controller = slots.SlotController(slots=1)
        self.pacing_limits = pacing.PacingLimits()
        self.notice = backendnotice.BackendNotice(
            controller=self.controller,
            on_leaving=lambda: self._refuse_queued("draining"),
            metrics=metrics,
            log=log,
        )
        self.health = health.BackendHealth(
            loop=loop,
            address=address,
            on_crash=self._record_crash,
            on_down=self._handle_down,
            log=log,
        )
        self.occupant = occupant.LocalOccupant(
            loop=loop,
            service=service,
            pool=self._pool,
            fleet_state=fleet_state,
            is_leaving=self.notice.is_leaving,
            on_change=self.apply_backend,
            metrics=metrics,
        )
        self.is_shutting_down = False
        self._ends_at = float("inf")
        self._running = set()
        # The last call that runs with a request id, by that id.
        self._running_by_id = {}
        self._admission_timer = None

    @property
    def in_flight(self):
        """The number of calls that run or are queued."""
        return self.controller.running + self.controller.queued

    def find_parent(self, request_id):
        """Return the running execution that made a nested request, or ``None``.

        The id of a nested request is the id of its parent, a dot and a suffix.
        """
        return self._running_by_id.get(request_id.rpartition(".")[0])

    def start(self):
        """Start the periodic sweep of the queue and the connections."""
        self._loop.call_every(SWEEP_SECONDS, self._sweep)

    def submit(self, call, respond):
        """Run, queue or refuse a call; return its :class:`Execution`.

        :param respond: called once with the reply, unless the call is cancelled.
        """
        execution = Execution(call=call, respond=respond)
        try:
            self._admit(execution)
        except Exception:
            self._log_failure(execution, "host: A call can't be admitted.")
            if execution.job is not None:
                self.controller.withdraw(execution.job)
            self._refuse(execution, "failed")
        return execution

    def _admit(self, execution):
        """Run, queue or refuse a new call."""
        call = execution.call
        reason = self._get_refusal_reason(execution)
        if reason:
            seconds = PACED_RETRY_SECONDS if reason == "paced" else 0.0
            self._refuse(execution, reason, retry_after=seconds)
            return
        if call.notice is not None:
            self.notice.adopt(call=call, backend=self.occupant.backend)
        now = time.monotonic()
        execution.job = slots.Job(
            kind=call.route,
            rank=call.rank,
            is_nested=call.is_nested,
            deadline=min(now + call.remaining, self._ends_at),
            objective=now + call.objective,
            token=execution,
        )
        result = self.controller.submit(now=now, job=execution.job)
        if result.verdict is slots.Verdict.ADMITTED:
            self._run(execution)
        elif result.verdict is slots.Verdict.REFUSED:
            self._refuse(execution, "full", retry_after=result.retry_after)
        else:
            self._schedule_admission(now)
        for job in result.evicted:
            self._refuse(job.token, "evicted", retry_after=result.retry_after)

    def cancel(self, execution):
        """Cancel a call; return whether it certainly never runs."""
        if execution.is_ended:
            return False
        execution.is_ended = True
        if execution.attempt is None:
            was_waiting = self.controller.withdraw(execution.job)
            execution.drop_state()
            return was_waiting
        execution.attempt.cancel()
        self._release(execution, is_success=False)
        execution.drop_state()
        self._run_next()
        return False

    def limit_deadlines(self, ends_at):
        """Take no call that may run beyond a time of the monotonic clock."""
        self._ends_at = ends_at

    def shut_down(self):
        """Refuse queued and new calls; running calls continue."""
        self.is_shutting_down = True
        self._refuse_queued("leaving")

    def give_up_all(self):
        """End all running calls; their outcome is unknown."""
        for execution in list(self._running):
            self._give_up(execution, "stopped")

    def _give_up(self, execution, reason):
        """End a running call; its outcome is unknown."""
        execution.attempt.cancel()
        self._release(execution, is_success=False)
        self._reply(execution, classification.UNKNOWN, True, reason, None)

    def apply_backend(self):
        """Apply the backend server's entry in the directory: slots and draining."""
        backend = self.occupant.backend
        if backend is None:
            self._refuse_queued("gone")
            return
        self.notice.identify(backend)
        if backend.slots != self.controller.slots:
            self.controller.slots = backend.slots
            logger.info(
                "host: slots of %s changed to %d.", backend.instance, backend.slots
            )
        if not self.occupant.may_run():
            self._refuse_queued("draining")

    def make_load(self):
        """Return the current load, which each reply carries."""
        controller = self.controller
        return messages.Load(
            running=controller.get_occupied(now=time.monotonic()),
            queued=controller.queued,
            limit=controller.capacity if self.health.is_up else 0,
            seconds=controller.cycle_seconds,
        )

    def _get_refusal_reason(self, execution):
        """Return the reason to refuse a call, or ``""``."""
        call = execution.call
        if self.is_shutting_down or not self._can_end(call):
            return "leaving"
        if not self.health.is_up:
            return "down"
        if call.service != self.service:
            # Another daemon may be about to start here beside another backend server.
            return "other-service" if self._ends_at == float("inf") else "leaving"
        instance, reason = self.occupant.choose(call)
        if reason:
            return reason
        execution.instance = instance
        quarantine = self._fleet_state.quarantine
        if len(quarantine):
            execution.fingerprint = classification.make_fingerprint(call)
            crashes = quarantine.count_crashes(
                now=time.monotonic(), fingerprint=execution.fingerprint
            )
            if crashes >= MAXIMUM_CRASHES:
                return "quarantined"
        if not call.is_nested and not self.pacing_limits.get(call.route).has_room:
            return "paced"
        return ""

    def _can_end(self, call):
        """Return whether a call most likely ends before the executor stops."""
        return stops.ends_in_time(
            now=time.monotonic(),
            mean_seconds=self.controller.get_duration(call.route),
            ends_at=self._ends_at,
        )

    def _run(self, execution):
        """Send an admitted call; its slot is released when it ends or can't be sent."""
        call = execution.call
        self._running.add(execution)
        self._running_by_id[call.request_id] = execution
        self.pacing_limits.get(call.route).begin()
        self._send(execution)

    def _run_waiting(self, execution):
        """Run a call that has waited: another backend server may have started."""
        try:
            instance, reason = self.occupant.choose(execution.call)
        except Exception:
            self._log_failure(execution, "host: A waiting call can't be run.")
            reason = "failed"
        if not reason:
            execution.instance = instance
            self._run(execution)
            return
        now = time.monotonic()
        self.controller.release(now=now, job=execution.job, is_success=False)
        self._refuse(execution, reason)
        self._loop.call_soon(self._run_next)

    def _send(self, execution):
        """Send a running call, which expects ``execution.instance``."""
        try:
            execution.attempt = self._make_attempt(execution)
            self._metrics.count("host_arrivals")
            self._pool.send(execution.attempt, needs_recent=not execution.call.is_safe)
        except Exception:
            self._log_failure(execution, "host: A call can't be sent.")
            attempt = execution.attempt
            was_sent = attempt is not None and attempt.connection is not None
            if attempt is not None:
                attempt.cancel()
            self._end(
                execution,
                backends.Result(response=None, reason="failed", sent=was_sent),
            )
            # Not at once: each of many waiting calls may fail.
            self._loop.call_soon(self._run_next)

    def _make_attempt(self, execution):
        call = execution.call
        remaining = execution.job.deadline - time.monotonic()
        pairs = list(zip(call.headers[::2], call.headers[1::2], strict=True))
        pairs += [
            (headers.DEADLINE, b"%d" % max(1, int(remaining * 1000))),
            (headers.CALLER, call.caller.encode("latin-1")),
            (headers.EXPECTED_INSTANCE, execution.instance.encode("latin-1")),
        ]
        head = http.format_request_head(
            method=call.method,
            target=call.target,
            headers=pairs,
            body=call.body,
            has_body=call.has_body,
        )
        return backends.Attempt(
            parts=memory.make_parts(head, call.body),
            is_head=call.method == "HEAD",
            id_header=headers.REQUEST_ID.lower(),
            request_id=call.request_id.encode("latin-1"),
            on_done=lambda result: self._finish(execution, result),
        )

    def _finish(self, execution, result):
        try:
            is_sent_again = classification.is_misdirected(result) and self._expect_next(
                execution
            )
        except Exception:
            self._log_failure(execution, "host: A misdirected call ends.")
            is_sent_again = False
        if not is_sent_again:
            self._end(execution, result)
            self._run_next()

    def _expect_next(self, execution):
        """Send a misdirected call again for another instance; return whether.

        It has not run, and keeps its slot.
        """
        execution.misdirected += (execution.instance,)
        self.occupant.disprove(execution.instance)
        if len(execution.misdirected) >= MAXIMUM_EXPECTED:
            return False
        if execution.job.deadline <= time.monotonic():
            return False
        instance, _ = self.occupant.choose(
            execution.call, exclude=execution.misdirected
        )
        if not instance:
            return False
        execution.instance = instance
        self._send(execution)
        return True

    def _end(self, execution, result):
        """Release the slot of a call and answer it."""
        try:
            outcome, arrived, reason = self._classify(execution, result)
        except Exception:
            self._log_failure(execution, "host: An answer can't be read.")
            result = backends.Result(response=None, reason="failed", sent=True)
            outcome, arrived, reason = classification.classify(result)
        self._release(execution, is_success=outcome is classification.DONE)
        if reason == "unreachable":
            self.health.mark_down()
        elif reason == "died":
            self.health.record_lost_call(execution.call)
        elif outcome is classification.DONE and execution.fingerprint:
            self._fleet_state.quarantine.clear(fingerprint=execution.fingerprint)
        self._reply(
            execution,
            outcome,
            arrived,
            reason,
            result.response,
            retry_after=classification.get_retry_after(outcome, result.response),
        )

    def _classify(self, execution, result):
        """Return what the result of a call means, and note what its answer tells."""
        outcome, arrived, reason = classification.classify(result)
        self.notice.record_answer(
            instance=execution.instance,
            sent_at=execution.job.admitted_at,
            outcome=outcome,
            response=result.response,
        )
        if outcome is classification.DONE:
            self.occupant.confirm(execution.instance)
        return outcome, arrived, reason

    def _log_failure(self, execution, text):
        """Log the current exception, which ends a call."""
        self._metrics.count("host_failures")
        logger.exception(text, extra={"fields": {"request": execution.call.request_id}})

    def _release(self, execution, *, is_success):
        self._running.discard(execution)
        request_id = execution.call.request_id
        if self._running_by_id.get(request_id) is execution:
            del self._running_by_id[request_id]
        now = time.monotonic()
        self.controller.release(now=now, job=execution.job, is_success=is_success)
        self.pacing_limits.get(execution.call.route).end(
            now=now,
            is_bad=classification.classify_for_pacing(now, execution, is_success),
            ceiling=self.controller.limit,
        )

    def _run_next(self):
        if not self.health.is_up:
            return
        now = time.monotonic()
        admitted, late = self.controller.admit_next(now=now)
        for job in late:
            self._refuse(job.token, "late")
        for job in admitted:
            self._run_waiting(job.token)
        self._schedule_admission(now)

    def _schedule_admission(self, now):
        """Admit the next waiting call as soon as the rate limit lets it start."""
        if self._admission_timer is not None:
            return
        delay = self.controller.get_delay(now=now)
        if delay is not None:
            self._admission_timer = self._loop.call_later(delay, self._on_rate)

    def _on_rate(self):
        self._admission_timer = None
        self._run_next()

    def _refuse(self, execution, reason, *, retry_after=0.0):
        self._reply(
            execution,
            classification.NOT_RUN,
            False,
            reason,
            None,
            retry_after=retry_after,
        )

    def _reply(self, execution, outcome, arrived, reason, response, *, retry_after=0.0):
        if execution.is_ended:
            return
        execution.is_ended = True
        respond = execution.respond
        execution.drop_state()
        self._metrics.count(f"host_{reason or 'done'}")
        call = execution.call
        if reason:
            self._log.note(
                "host",
                "A call ended without an answer.",
                request=call.request_id,
                route=call.route,
                reason=reason,
                arrived=arrived,
                running=self.controller.running,
                queued=self.controller.queued,
                limit=self.controller.capacity,
                left=round(call.remaining, 3),
            )
        flat_headers = []
        if response is not None:
            for pair in http.remove_hop_by_hop_headers(
                response.headers, index=response.index, kept=_KEPT_HEADERS
            ):
                flat_headers += pair
        reply = messages.Reply(
            number=call.number,
            outcome=outcome,
            arrived=_count_arrivals(execution, arrived, reason),
            reason=reason or _name_other(execution, outcome),
            status=response.status if response else 0,
            headers=flat_headers,
            body=response.body if response else b"",
            retry_after=retry_after,
            load=self.make_load(),
            notice=self.notice.make_dated(call, instance=execution.instance),
        )
        try:
            respond(reply)
        except Exception:
            # What comes next, such as a reply to another call, must not be lost.
            self._log_failure(execution, "host: A reply can't be taken.")

    def _handle_down(self):
        """Handle the end of the backend server; another one may start in its place."""
        self.occupant.forget()
        self._refuse_queued("down")

    def _refuse_queued(self, reason):
        for job in self.controller.drain():
            self._refuse(job.token, reason)

    def _sweep(self):
        self._pool.sweep()
        self._give_up_overdue()
        if self.controller.queued:
            self._run_next()
        self.occupant.check()

    def _give_up_overdue(self):
        """End calls whose answer nobody awaits any more.

        Nobody may cancel them: the daemon of their caller may be gone.
        """
        latest = time.monotonic() - OVERDUE_SECONDS
        for execution in [
            execution for execution in self._running if execution.job.deadline < latest
        ]:
            self._give_up(execution, "overdue")

    def _record_crash(self, calls):
        """Attribute one crash to each request of which calls were in flight."""
        suspects = {classification.make_fingerprint(call): call for call in calls}
        for fingerprint, call in suspects.items():
            crashes = self._fleet_state.record_crash(fingerprint)
            self._log.note(
                "host",
                "A request was in flight at a crash.",
                request=call.request_id,
                deaths=crashes,
            )


def _count_arrivals(execution, arrived, reason):
    """Return how often a request reached the backend server."""
    is_last_counted = reason == "misdirected"
    return len(execution.misdirected) + (bool(arrived) and not is_last_counted)


def _name_other(execution, outcome):
    """Return the instance that answered if the call named another one, else ``""``."""
    is_other = execution.instance != execution.call.instance
    return execution.instance if outcome is classification.DONE and is_other else ""

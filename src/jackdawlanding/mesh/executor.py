"""The host's side: the only way in to the backend server beside the daemon.

It admits by slots, keeps the queue, notices crashes, and tells of each call
whether it ran.
"""

import logging
import time

from jackdawlanding.decisions import pacing, slots
from jackdawlanding.mesh import backends, classification, messages, streams
from jackdawlanding.platform import headers
from jackdawlanding.wire import http

logger = logging.getLogger("jackdaw.host")

# A request that was in flight at so many crashes runs no more (the platform's
# rule on requests that crash what runs them).
MAXIMUM_CRASHES = 3
# Connections that break together within this time are one crash.
CRASH_SECONDS = 0.15
CRASH_CHECK_SECONDS = 0.02
PROBE_SECONDS = 0.25
SWEEP_SECONDS = 0.05
# When work that is paced should come back: a few of its runs have ended by then.
PACED_RETRY_SECONDS = 0.25


class Execution:
    """One call at this host."""

    __slots__ = (
        "call",
        "attempt",
        "fingerprint",
        "is_ended",
        "is_starved",
        "job",
        "respond",
    )

    def __init__(self, *, call, respond):
        self.call = call
        self.respond = respond
        self.job = None
        self.attempt = None
        self.fingerprint = None
        self.is_ended = False
        # Whether a call of this run was turned away for want of capacity.
        self.is_starved = False


class Executor:
    """Runs calls at one backend server.

    :param loop: the event loop.
    :param service: the service of the backend server.
    :param address: its address.
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
        self.is_backend_up = True
        self.is_shutting_down = False
        self._running = {}
        self._died = []
        self._is_checking = False

    @property
    def backend(self):
        """The backend server's newest entry, or ``None``."""
        return self._fleet_state.directory.find_by_address(*self.address)

    @property
    def in_flight(self):
        """How many calls run or wait."""
        return self.controller.running + self.controller.queued

    def find_parent(self, request_id):
        """Return the running call whose backend server made a request, or ``None``.

        Backend servers name a call by their own request's id, a dot and more.
        """
        return self._running.get(request_id.rpartition(".")[0])

    def start(self):
        """Begin to look after the queue and the connections."""
        self._loop.call_every(SWEEP_SECONDS, self._sweep)

    def submit(self, call, respond):
        """Run a call, now or from the queue; ``respond(reply)`` is called once."""
        handle = Execution(call=call, respond=respond)
        refusal = self._find_refusal(handle)
        if refusal:
            seconds = PACED_RETRY_SECONDS if refusal == "paced" else 0.0
            self._refuse(handle, refusal, retry_after=seconds)
            return handle
        now = time.monotonic()
        handle.job = slots.Job(
            kind=call.route,
            rank=call.rank,
            is_nested=call.is_nested,
            deadline=now + call.remaining,
            objective=now + call.objective,
            token=handle,
        )
        offer = self.controller.submit(now=now, job=handle.job)
        if offer.verdict is slots.Verdict.ADMITTED:
            self._run(handle)
        elif offer.verdict is slots.Verdict.REFUSED:
            self._refuse(handle, "full", retry_after=offer.retry_after)
        for job in offer.evicted:
            self._refuse(job.token, "evicted", retry_after=offer.retry_after)
        return handle

    def cancel(self, handle):
        """Drop a call whose caller has gone; return whether it never runs."""
        if handle.is_ended:
            return False
        handle.is_ended = True
        if handle.attempt is None:
            return self.controller.withdraw(handle.job)
        handle.attempt.cancel()
        self._release(handle, is_good=False)
        self._admit_next()
        return False

    def shut_down(self):
        """Hand back what waits; what runs goes on."""
        self.is_shutting_down = True
        self._hand_back("leaving")

    def apply_backend(self):
        """Take in the backend server's newest entry."""
        backend = self.backend
        if backend is None:
            self._hand_back("gone")
            return
        if backend.slots != self.controller.slots:
            self.controller.slots = backend.slots
            logger.info("host: %s has %d slots.", backend.instance, backend.slots)
        if backend.is_draining:
            self._hand_back("draining")

    def make_load(self):
        """Return this host's load, as replies carry it."""
        controller = self.controller
        return messages.Load(
            running=controller.running,
            queued=controller.queued,
            limit=controller.limit if self.is_backend_up else 0,
            seconds=controller.mean_seconds,
        )

    def _find_refusal(self, handle):
        """Return why a call can't run here, or ``""``."""
        call = handle.call
        if self.is_shutting_down:
            return "leaving"
        if not self.is_backend_up:
            return "down"
        if call.service != self.service:
            return "other-service"
        directory = self._fleet_state.directory
        backend = directory.get(call.instance)
        if backend is None and directory.get_revision(call.instance):
            return "gone"
        if backend is not None and backend.is_draining:
            return "draining"
        quarantine = self._fleet_state.quarantine
        if len(quarantine):
            handle.fingerprint = classification.make_fingerprint(call)
            deaths = quarantine.count_crashes(
                now=time.monotonic(), fingerprint=handle.fingerprint
            )
            if deaths >= MAXIMUM_CRASHES:
                return "quarantined"
        if not call.is_nested and not self.pacing_limits.get(call.route).has_room:
            return "paced"
        return ""

    def _run(self, handle):
        call = handle.call
        left = handle.job.deadline - time.monotonic()
        pairs = list(zip(call.headers[::2], call.headers[1::2], strict=True))
        pairs += [
            (headers.DEADLINE, b"%d" % max(1, int(left * 1000))),
            (headers.CALLER, call.caller.encode("latin-1")),
            (headers.EXPECTED_INSTANCE, call.instance.encode("latin-1")),
        ]
        handle.attempt = backends.Attempt(
            data=http.format_request(
                method=call.method,
                target=call.target,
                headers=pairs,
                body=call.body,
                has_body=call.has_body,
            ),
            is_head=call.method == "HEAD",
            id_header=headers.REQUEST_ID.lower(),
            request_id=call.request_id.encode("latin-1"),
            done=lambda result: self._finish(handle, result),
        )
        self._running[call.request_id] = handle
        self.pacing_limits.get(call.route).begin()
        self._pool.send(handle.attempt, needs_fresh=not call.is_safe)

    def _finish(self, handle, result):
        now = time.monotonic()
        outcome, arrived, reason = classification.classify(result)
        self._release(handle, is_good=outcome is classification.DONE)
        if reason == "unreachable":
            self._note_down()
        elif reason == "died":
            self._note_death(now, handle)
        elif outcome is classification.DONE and handle.fingerprint:
            self._fleet_state.quarantine.clear(fingerprint=handle.fingerprint)
        self._end(handle, outcome, arrived, reason, result.response)
        self._admit_next()

    def _release(self, handle, *, is_good):
        if self._running.get(handle.call.request_id) is handle:
            del self._running[handle.call.request_id]
        now = time.monotonic()
        self.controller.release(now=now, job=handle.job, is_good=is_good)
        self.pacing_limits.get(handle.call.route).end(
            now=now,
            is_bad=classification.classify_for_pacing(now, handle, is_good),
            ceiling=self.controller.limit,
        )

    def _admit_next(self):
        if not self.is_backend_up:
            return
        admitted, late = self.controller.admit_next(now=time.monotonic())
        for job in late:
            self._refuse(job.token, "late")
        for job in admitted:
            self._run(job.token)

    def _refuse(self, handle, reason, *, retry_after=0.0):
        self._end(
            handle, classification.NOT_RUN, False, reason, None, retry_after=retry_after
        )

    def _end(self, handle, outcome, arrived, reason, response, *, retry_after=0.0):
        if handle.is_ended:
            return
        handle.is_ended = True
        self._metrics.count(f"host_{reason or 'done'}")
        call = handle.call
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
                limit=self.controller.limit,
                left=round(call.remaining, 3),
            )
        flat = []
        if response is not None:
            for pair in http.remove_hop_by_hop_headers(response.headers):
                flat += pair
        handle.respond(
            messages.Reply(
                number=call.number,
                outcome=outcome,
                arrived=arrived,
                reason=reason,
                status=response.status if response else 0,
                headers=flat,
                body=response.body if response else b"",
                retry_after=retry_after,
                load=self.make_load(),
            )
        )

    def _hand_back(self, reason):
        for job in self.controller.drain():
            self._refuse(job.token, reason)

    def _sweep(self):
        self._pool.sweep()
        if self.controller.queued:
            self._admit_next()

    def _note_death(self, now, handle):
        """Remember what broke; ask soon whether the backend server crashed."""
        self._died.append((now, handle.call))
        if not self._is_checking:
            self._is_checking = True
            self._loop.call_later(CRASH_CHECK_SECONDS, self._check_crash)

    def _check_crash(self):
        self._probe(self._forget_deaths, self._note_crash)

    def _forget_deaths(self):
        self._is_checking = False
        self._died.clear()

    def _note_crash(self):
        self._is_checking = False
        now = time.monotonic()
        died, self._died = self._died, []
        for at, call in died:
            if now - at > CRASH_SECONDS + CRASH_CHECK_SECONDS:
                continue
            deaths = self._fleet_state.record_crash(
                classification.make_fingerprint(call)
            )
            self._log.note(
                "host",
                "A request was in flight at a crash.",
                request=call.request_id,
                deaths=deaths,
            )
        self._note_down()

    def _note_down(self):
        if not self.is_backend_up:
            return
        self.is_backend_up = False
        self._log.note("host", "The backend server is lost.", dependency="backend")
        self._hand_back("down")
        self._loop.call_later(PROBE_SECONDS, self._probe_again)

    def _probe_again(self):
        self._probe(self._note_up, self._probe_later)

    def _probe_later(self):
        self._loop.call_later(PROBE_SECONDS, self._probe_again)

    def _note_up(self):
        self.is_backend_up = True
        self._log.note("host", "The backend server is back.", dependency="backend")

    def _probe(self, on_open, on_refused):
        """Open and close a connection to see whether anybody listens."""
        stream = streams.connect(loop=self._loop, address=self.address)
        timer = self._loop.call_later(
            backends.CONNECT_SECONDS, lambda: stream._close_and_notify(was_reset=True)
        )

        def note_open():
            timer.cancel()
            stream.close()
            on_open()

        def note_closed(was_reset):
            timer.cancel()
            on_refused()

        stream.on_open = note_open
        stream.on_closed = note_closed

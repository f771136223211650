"""Routes the requests of callers to executors, retries them and responds.

A request that has not run may be submitted to another executor. One that may
have run is retried only if its route is safe and the budgets allow it.
"""

import logging
import time

from jackdawlanding.decisions import answerroom, notices, outcomes, selection, stops
from jackdawlanding.mesh import (
    exchanges,
    memory,
    messages,
    resolver,
    responses,
    retries,
)
from jackdawlanding.platform import headers
from jackdawlanding.wire import http

logger = logging.getLogger("jackdaw.entry")

# A refusal costs no backend server any work, but each takes a round trip, up to
# 60 ms between regions.
MAXIMUM_SUBMISSIONS = 5
# The Retry-After value where no instance is known: one usually becomes known within
# one exchange of state updates.
NO_INSTANCE_RETRY_SECONDS = 0.3
# With less time before the deadline a request is not submitted again: this is
# shorter than any work.
MINIMUM_REMAINING_SECONDS = 0.02

# The Retry-After value where there is no room: some answers have been read by then.
ROOM_RETRY_SECONDS = 1.0

# Headers that are not forwarded as they came: the daemons set them, the id here and
# the others in the executor.
_DROPPED_HEADERS = http.HOP_BY_HOP_HEADERS | {
    headers.REQUEST_ID.lower(),
    headers.DEADLINE.lower(),
    headers.CALLER.lower(),
    headers.EXPECTED_INSTANCE.lower(),
}


class Dispatcher:
    """Serves the requests of callers on this instance.

    :param loop: the event loop.
    :param settings: a ``MeshSettings``.
    :param fleet_state: a ``gossip.FleetState``.
    :param links: a ``links.LinkPool``.
    :param executor: the local ``executor.Executor``.
    :param metrics: a ``metrics.Metrics``.
    :param log: a ``logs.Log``.
    :param generator: a ``random.Random``, for ties and probes.
    """

    def __init__(
        self, *, loop, settings, fleet_state, links, executor, metrics, log, generator
    ):
        self._loop = loop
        self._settings = settings
        self._fleet_state = fleet_state
        self._links = links
        self._executor = executor
        self._metrics = metrics
        self._local_link = exchanges.LocalLink(executor=executor)
        self._selector = selection.Selector(
            region=settings.region,
            failure_domain=settings.failure_domain,
            regions=settings.failure_domains,
            generator=generator,
        )
        self._resolver = resolver.RouteResolver(
            fleet_state=fleet_state, generator=generator
        )
        self._retry_policy = retries.RetryPolicy(
            settings=settings, metrics=metrics, generator=generator
        )
        self.access_log = responses.AccessLog(
            fleet_state=fleet_state,
            retry_policy=self._retry_policy,
            metrics=metrics,
            log=log,
        )
        self._notices = notices.RemoteNotices()
        self._answer_room = answerroom.AnswerRoom(maximum=memory.MAXIMUM_HELD_BYTES)
        self._is_shutting_down = False
        self._ends_at = float("inf")
        self._open = set()
        fleet_state.subscribe(loop.coalesce(self._apply_directory))

    @property
    def in_flight(self):
        """The number of requests without a response."""
        return len(self._open)

    def is_safe(self, request):
        """Return whether a request may run more than once."""
        return self._resolver.is_safe(request)

    def serve(self, request, respond, *, received_at):
        """Serve a request and return its :class:`exchanges.Exchange`.

        :param respond: called with the ``http.Response``, at most once.
        :param received_at: when it was received, in ``time.monotonic()`` seconds.
        """
        exchange = exchanges.Exchange(
            dispatcher=self, request=request, respond=respond, received_at=received_at
        )
        exchange.parent = self._executor.find_parent(exchange.request_id)
        self._open.add(exchange)
        try:
            self._start(exchange)
        except Exception:
            self._handle_exception(exchange)
        return exchange

    def _start(self, exchange):
        """Resolve a new request and submit it."""
        refusal = self._refuse_if_shutting_down(exchange) or self._resolver.resolve(
            exchange
        )
        if refusal is not None:
            self._finish(exchange, refusal, "refused")
            return
        kind = exchange.route.name
        if not self._answer_room.has_room(kind=kind, held=self._loop.unsent_bytes):
            exchange.retry_after = ROOM_RETRY_SECONDS
            self._fail(exchange, "no-room")
            return
        exchange.reserved = self._answer_room.reserve(kind)
        exchange.deadline = min(exchange.deadline, self._ends_at)
        remaining = exchange.deadline - time.monotonic()
        exchange.timer = self._loop.call_later(
            remaining, lambda: self._give_up(exchange, "timeout")
        )
        self._retry_policy.record_first_try(exchange)
        self._submit(exchange)

    def abandon(self, exchange, reason):
        """Drop a request without a response and cancel its attempt."""
        if exchange.respond is None:
            return
        exchange.respond = None
        self._close(exchange)
        self._cancel_attempt(exchange)
        self.access_log.record_abandoned(exchange, reason)

    def limit_deadlines(self, ends_at):
        """Let no new request run beyond a time of the monotonic clock."""
        self._ends_at = ends_at

    def shut_down(self):
        """Refuse new requests; nested calls of the backend server are still served."""
        self._is_shutting_down = True

    def give_up_all(self):
        """Answer all requests that still run."""
        for exchange in list(self._open):
            self._give_up(exchange, "stopped")

    def avoid_host(self, host):
        """Avoid the instances at a host that is shutting down, for the grace period."""
        now = time.monotonic()
        directory = self._fleet_state.directory
        for instance in directory.list_at_host(host):
            self._selector.avoid(
                now=now, instance=instance, seconds=self._settings.grace
            )

    def _refuse_if_shutting_down(self, exchange):
        """Return a refusal of a new request during shutdown, else ``None``."""
        if self._is_shutting_down and exchange.parent is None:
            return responses.make_refusal("the daemon stops")
        return None

    def _submit(self, exchange):
        """Submit the request to the next executor, or fail it if none is left."""
        now = time.monotonic()
        backend = self._choose_backend(exchange, now)
        if backend is None:
            reason = "no-instance" if not exchange.submissions else "refused"
            self._fail(exchange, reason)
            return
        if not self._can_end(exchange, backend, now):
            self._fail(exchange, "leaving")
            return
        exchange.backend = backend
        exchange.submissions += 1
        exchange.submitted_at = now
        exchange.tried.add(backend.instance)
        number = self._links.make_number()
        call = self._make_call(exchange, number, now)
        exchange.number = number
        exchange.link = self._find_link(backend)
        self._selector.record_sent(backend.instance)
        exchange.link.call(
            call, lambda reply: self._handle_reply(exchange, number, reply)
        )

    def _choose_backend(self, exchange, now):
        """Return the best backend server not tried yet, or ``None``."""
        if exchange.submissions >= MAXIMUM_SUBMISSIONS:
            return None
        if exchange.deadline - now < MINIMUM_REMAINING_SECONDS:
            return None
        return self._selector.choose(
            now=now,
            backends=self._fleet_state.directory.list_service(exchange.service),
            kind=exchange.route.name,
            remaining=max(0.01, exchange.objective - now),
            is_nested=exchange.is_nested,
            exclude=exchange.tried | self._notices.leaving,
            doubted=self._fleet_state.directory.doubted,
        )

    def _can_end(self, exchange, backend, now):
        """Return whether a request most likely ends before this daemon stops."""
        return stops.ends_in_time(
            now=now,
            mean_seconds=self._selector.get_duration(
                instance=backend.instance, kind=exchange.route.name
            ),
            ends_at=self._ends_at,
        )

    def _find_link(self, backend):
        if (backend.host, backend.port) == tuple(self._executor.address):
            return self._local_link
        return self._links.get(backend.host)

    def _make_call(self, exchange, number, now):
        request, route = exchange.request, exchange.route
        flat_headers = []
        for pair in http.remove_hop_by_hop_headers(
            request.headers, index=request.index, dropped=_DROPPED_HEADERS
        ):
            flat_headers += pair
        if exchange.request_id:
            flat_headers += headers.REQUEST_ID, exchange.request_id.encode("latin-1")
        return messages.Call(
            number=number,
            instance=exchange.backend.instance,
            service=exchange.service,
            route=route.name,
            method=request.method,
            target=request.target,
            headers=flat_headers,
            body=request.body,
            has_body=request.has_body,
            remaining=exchange.deadline - now,
            objective=exchange.objective - now,
            rank=exchange.rank,
            is_safe=route.is_safe,
            is_nested=exchange.is_nested,
            caller=self._settings.service,
            request_id=exchange.request_id,
            retry_probability=1.0 if exchange.arrivals else exchange.retry_probability,
            notice=self._notices.get(exchange.backend.instance),
        )

    def _handle_reply(self, exchange, number, reply):
        now = time.monotonic()
        instance = exchange.backend.instance
        load = reply.load if reply.load.limit else None
        self._selector.record_end(now=now, instance=instance, load=load)
        try:
            self._learn(exchange.backend, reply, now)
        except Exception:
            logger.exception(
                "entry: What a reply tells can't be recorded.",
                extra={"fields": {"request": exchange.request_id}},
            )
        if exchange.respond is None or number != exchange.number:
            return
        exchange.number = 0
        exchange.arrivals += bool(reply.arrived)
        if reply.arrived > 1:
            self._retry_policy.charge(exchange, reply.arrived - 1)
        try:
            _REPLY_HANDLERS[reply.outcome](self, exchange, reply, now)
        except Exception:
            if reply.outcome != outcomes.Outcome.NOT_RUN:
                exchange.may_have_run = True
            self._handle_exception(exchange)

    def _learn(self, backend, reply, now):
        """Record what a reply tells of the backend server that its call was for."""
        occupant = self._record_occupant(backend, reply)
        if reply.notice is not None:
            self._notices.record(
                now=now,
                backend=occupant,
                dated=notices.make_dated(reply.notice),
                is_answer=reply.outcome == outcomes.Outcome.DONE,
                directory=self._fleet_state.directory,
            )

    def _record_occupant(self, backend, reply):
        """Record who runs at the address of a call's backend server; return it."""
        fleet_state = self._fleet_state
        directory = fleet_state.directory
        if reply.outcome != outcomes.Outcome.DONE:
            if reply.reason in _DISPROVING_REASONS:
                if fleet_state.disprove(backend.instance, source="entry"):
                    self._metrics.count("records_disproved")
            elif reply.reason in _UNREACHABLE_REASONS:
                directory.forget_occupant((backend.host, backend.port))
            return backend
        if not reply.reason and backend.instance == directory.get_occupant(
            (backend.host, backend.port)
        ):
            return backend
        occupant = directory.get(reply.reason or backend.instance)
        if occupant is None:
            return backend
        directory.confirm_occupant(instance=occupant.instance)
        if (occupant.host, occupant.port) != (backend.host, backend.port):
            fleet_state.disprove(backend.instance, source="entry")
        return occupant

    def _handle_exception(self, exchange):
        """Log the current exception, and answer the request that it ends."""
        logger.exception(
            "entry: A request can't be served.",
            extra={"fields": {"request": exchange.request_id}},
        )
        if not self._cancel_attempt(exchange):
            exchange.may_have_run = True
        self._fail(exchange, "failed")

    def _handle_response(self, exchange, reply, now):
        instance = exchange.backend.instance
        response = http.Response(
            status=reply.status,
            headers=tuple(zip(reply.headers[::2], reply.headers[1::2], strict=True)),
            body=reply.body,
        )
        self._answer_room.record(exchange.route.name, len(reply.body))
        if exchange.may_have_run:
            self._retry_policy.record_result(exchange, is_success=reply.status < 500)
        exchange.may_have_run = True
        if reply.status >= 500:
            self._selector.record_failure(now=now, instance=instance)
            if self._may_retry(exchange):
                exchange.fallback = response
                self._retry(exchange, f"status-{reply.status}")
                return
        else:
            self._selector.record_success(
                now=now,
                instance=instance,
                kind=exchange.route.name,
                seconds=now - exchange.submitted_at,
            )
        self._finish(exchange, response, "answered")

    def _handle_refusal(self, exchange, reply, now):
        instance = exchange.backend.instance
        exchange.retry_after = max(exchange.retry_after, reply.retry_after)
        if reply.arrived:
            self._selector.record_failure(now=now, instance=instance)
            if not self._reserve_retry(exchange):
                self._fail(exchange, reply.reason)
                return
        elif reply.reason in _UNREACHABLE_REASONS:
            self._avoid_unreachable(exchange.backend, now)
        else:
            self._selector.avoid(now=now, instance=instance)
        self._submit(exchange)

    def _handle_loss(self, exchange, reply, now):
        instance = exchange.backend.instance
        self._selector.record_failure(now=now, instance=instance)
        if reply.reason in _UNREACHABLE_REASONS:
            self._avoid_unreachable(exchange.backend, now)
        exchange.may_have_run = True
        if self._may_retry(exchange):
            self._retry(exchange, reply.reason)
        else:
            self._fail(exchange, reply.reason)

    def _avoid_unreachable(self, backend, now):
        """Avoid a backend server that can't be reached, whatever records name it."""
        for instance in self._fleet_state.directory.list_at_host(backend.host):
            self._selector.avoid(
                now=now, instance=instance, seconds=selection.UNREACHABLE_SECONDS
            )

    def _may_retry(self, exchange):
        """Return whether a request that may have run is retried; spend the budget."""
        return self._retry_policy.may_retry(exchange) and self._reserve_retry(exchange)

    def _reserve_retry(self, exchange):
        """Return whether one more backend server may be reached; spend the budget."""
        if self._choose_backend(exchange, time.monotonic()) is None:
            return False
        return self._retry_policy.spend(exchange)

    def _retry(self, exchange, reason):
        self.access_log.record_retry(exchange, reason)
        self._submit(exchange)

    def _give_up(self, exchange, reason):
        """Cancel a request; respond with what is known of its attempt."""
        if exchange.respond is None:
            return
        cannot_run = self._cancel_attempt(exchange)
        if exchange.fallback or (cannot_run and not exchange.may_have_run):
            self._fail(exchange, reason)
            return
        self._selector.record_duration(
            instance=exchange.backend.instance,
            kind=exchange.route.name,
            seconds=time.monotonic() - exchange.submitted_at,
            now=time.monotonic(),
        )
        response = http.make_text_response(504, "the time for an answer has passed")
        self._finish(exchange, response, reason)

    def _fail(self, exchange, reason):
        """Respond with the fallback, or that the request has not or may have run."""
        if exchange.fallback is not None:
            response = exchange.fallback
        elif exchange.may_have_run:
            response = http.make_text_response(
                502, "the backend server's answer was lost"
            )
        else:
            response = responses.make_refusal(
                "no backend server takes the request now",
                seconds=exchange.retry_after or NO_INSTANCE_RETRY_SECONDS,
            )
            self._mark_parent_refused(exchange)
        self._finish(exchange, response, reason)

    def _mark_parent_refused(self, exchange):
        """Mark the local execution that made this call as short of capacity."""
        if exchange.parent is not None and exchange.retry_after:
            exchange.parent.lacked_capacity = True

    def _finish(self, exchange, response, reason):
        respond, exchange.respond = exchange.respond, None
        if respond is None:
            return
        self._close(exchange)
        if exchange.timer is not None:
            exchange.timer.cancel()
        self.access_log.record_response(exchange, response, reason)
        respond(response)

    def _close(self, exchange):
        """Forget a request; the room for its answer is free."""
        self._open.discard(exchange)
        self._answer_room.release(exchange.reserved)
        exchange.reserved = 0

    def _cancel_attempt(self, exchange):
        """Cancel the current attempt; return whether it certainly never runs."""
        if exchange.timer is not None:
            exchange.timer.cancel()
        number, exchange.number = exchange.number, 0
        if exchange.link is None or not number:
            return True
        self._selector.record_end(
            now=time.monotonic(), instance=exchange.backend.instance
        )
        return exchange.link.cancel(number)

    def _apply_directory(self):
        directory = self._fleet_state.directory
        self._selector.retain_only(directory)
        self._notices.apply_directory(now=time.monotonic(), directory=directory)
        self._retry_policy.set_daemon_count(directory.daemon_count)


# Reasons that tell that an instance doesn't run at its address.
_DISPROVING_REASONS = frozenset({"misdirected", "other-service"})
# Reasons after which an instance can't be reached for a while.
_UNREACHABLE_REASONS = frozenset(
    {
        "unreachable",
        "down",
        "gone",
        "closed",
        "silent",
        "no connection",
        "restarted",
        "stopped",
    }
)
_REPLY_HANDLERS = {
    outcomes.Outcome.DONE: Dispatcher._handle_response,
    outcomes.Outcome.NOT_RUN: Dispatcher._handle_refusal,
    outcomes.Outcome.UNKNOWN: Dispatcher._handle_loss,
}

"""The entry's side: finds a request's service, offers it to hosts, answers.

A request that has not run may be offered to another host. One that may have
run is sent again only if its route is safe and the budgets allow it.
"""

import logging
import time

from jackdawlanding.decisions import outcomes, selection
from jackdawlanding.mesh import exchanges, messages, resolver, responses, retries
from jackdawlanding.platform import headers
from jackdawlanding.wire import http

logger = logging.getLogger("jackdaw.entry")

# Hosts that one request is offered to, at most: refusals are free, but each takes
# a round trip, up to 60 ms between regions.
MAXIMUM_OFFERS = 5
# When to come back where no instance is known; it usually passes within one exchange
# of news.
NO_INSTANCE_RETRY_SECONDS = 0.3
# Lowest time worth another offer: less than the shortest work.
LEAST_LEFT_SECONDS = 0.02

_OWN_HEADERS = frozenset(
    {
        headers.DEADLINE.lower(),
        headers.CALLER.lower(),
        headers.EXPECTED_INSTANCE.lower(),
    }
)


class Dispatcher:
    """Serves the requests of the callers on this instance.

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
        self._local = exchanges.LocalLink(executor=executor)
        self._selector = selection.Selector(
            region=settings.region,
            failure_domain=settings.failure_domain,
            regions=settings.failure_domains,
            generator=generator,
        )
        self._destinations = resolver.RouteResolver(
            fleet_state=fleet_state, generator=generator
        )
        self._resends = retries.RetryPolicy(
            settings=settings, metrics=metrics, generator=generator
        )
        self._records = responses.AccessLog(
            fleet_state=fleet_state, resends=self._resends, metrics=metrics, log=log
        )
        self._is_leaving = False
        self.in_flight = 0
        fleet_state.subscribe(loop.coalesce(self._apply_directory))

    def serve(self, request, respond):
        """Answer a request; return its :class:`exchanges.Exchange`."""
        exchange = exchanges.Exchange(entry=self, request=request, respond=respond)
        exchange.parent = self._executor.find_parent(exchange.request_id)
        self.in_flight += 1
        refusal = self._refuse_new(exchange) or self._destinations.resolve(exchange)
        if refusal is not None:
            self._answer(exchange, refusal, "refused")
            return exchange
        left = exchange.deadline - exchange.started
        exchange.timer = self._loop.call_later(left, lambda: self._expire(exchange))
        self._resends.begin(exchange)
        self._offer(exchange)
        return exchange

    def abandon(self, exchange, reason):
        """Give up without an answer; the host closes what it runs."""
        if exchange.respond is None:
            return
        exchange.respond = None
        self.in_flight -= 1
        self._stop(exchange)
        self._records.record_gone(exchange, reason)

    def shut_down(self):
        """Refuse new work of callers; what the backend server asks is served."""
        self._is_leaving = True

    def avoid_host(self, host):
        """Choose a host that stops soon no more."""
        now = time.monotonic()
        directory = self._fleet_state.directory
        for instance in directory.list_instances():
            if directory.get(instance).host == host:
                self._selector.avoid(
                    now=now, instance=instance, seconds=self._settings.grace
                )

    def _refuse_new(self, exchange):
        """Return the refusal of new work by a daemon that stops, or ``None``."""
        if self._is_leaving and exchange.parent is None:
            return responses.make_refusal("the daemon stops")
        return None

    def _offer(self, exchange):
        """Offer the request to the next host, or give it up."""
        now = time.monotonic()
        backend = self._choose(exchange, now)
        if backend is None:
            reason = "no-instance" if not exchange.offers else "refused"
            self._give_up(exchange, reason)
            return
        exchange.backend = backend
        exchange.offers += 1
        exchange.submitted_at = now
        exchange.tried.add(backend.instance)
        exchange.number = self._links.make_number()
        exchange.link = self._find_link(backend)
        self._selector.record_sent(backend.instance)
        number = exchange.number
        exchange.link.call(
            self._make_call(exchange, now),
            lambda reply: self._take_reply(exchange, number, reply),
        )

    def _choose(self, exchange, now):
        if exchange.offers >= MAXIMUM_OFFERS:
            return None
        if exchange.deadline - now < LEAST_LEFT_SECONDS:
            return None
        return self._selector.choose(
            now=now,
            backends=self._fleet_state.directory.list_service(exchange.service),
            kind=exchange.route.name,
            remaining=max(0.01, exchange.objective - now),
            is_nested=exchange.is_nested,
            exclude=exchange.tried,
        )

    def _find_link(self, backend):
        if (backend.host, backend.port) == tuple(self._executor.address):
            return self._local
        return self._links.get(backend.host)

    def _make_call(self, exchange, now):
        request, route = exchange.request, exchange.route
        flat = []
        for name, value in http.remove_hop_by_hop_headers(request.headers):
            if name.lower() not in _OWN_HEADERS:
                flat += (name, value)
        return messages.Call(
            number=exchange.number,
            instance=exchange.backend.instance,
            service=exchange.service,
            route=route.name,
            method=request.method,
            target=request.target,
            headers=flat,
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
        )

    def _take_reply(self, exchange, number, reply):
        now = time.monotonic()
        instance = exchange.backend.instance
        load = reply.load if reply.load.limit else None
        self._selector.record_end(now=now, instance=instance, load=load)
        if exchange.respond is None or number != exchange.number:
            return
        exchange.arrivals += bool(reply.arrived)
        _OUTCOMES[reply.outcome](self, exchange, reply, now)

    def _take_answer(self, exchange, reply, now):
        instance = exchange.backend.instance
        response = http.Response(
            status=reply.status,
            headers=tuple(zip(reply.headers[::2], reply.headers[1::2], strict=True)),
            body=reply.body,
        )
        if exchange.may_have_run:
            self._resends.record_end(exchange, is_success=reply.status < 500)
        exchange.may_have_run = True
        if reply.status >= 500:
            self._selector.record_failure(now=now, instance=instance)
            if self._may_repeat(exchange):
                exchange.fallback = response
                self._repeat(exchange, f"status-{reply.status}")
                return
        else:
            self._selector.record_success(
                now=now,
                instance=instance,
                kind=exchange.route.name,
                seconds=now - exchange.submitted_at,
            )
        self._answer(exchange, response, "answered")

    def _take_refusal(self, exchange, reply, now):
        instance = exchange.backend.instance
        exchange.retry_after = max(exchange.retry_after, reply.retry_after)
        if reply.arrived:
            self._selector.record_failure(now=now, instance=instance)
            if not self._may_send_again(exchange):
                self._give_up(exchange, reply.reason)
                return
        elif reply.reason in _LOST_REASONS:
            self._selector.avoid(
                now=now, instance=instance, seconds=selection.UNREACHABLE_SECONDS
            )
        else:
            self._selector.avoid(now=now, instance=instance)
        self._offer(exchange)

    def _take_loss(self, exchange, reply, now):
        instance = exchange.backend.instance
        self._selector.record_failure(now=now, instance=instance)
        if reply.reason in _LOST_REASONS:
            self._selector.avoid(
                now=now, instance=instance, seconds=selection.UNREACHABLE_SECONDS
            )
        exchange.may_have_run = True
        if self._may_repeat(exchange):
            self._repeat(exchange, reply.reason)
        else:
            self._give_up(exchange, reply.reason)

    def _may_repeat(self, exchange):
        """Return whether a request that may have run is sent again."""
        return self._resends.is_allowed(exchange) and self._may_send_again(exchange)

    def _may_send_again(self, exchange):
        """Return whether another backend server may be reached."""
        if self._choose(exchange, time.monotonic()) is None:
            return False
        return self._resends.spend(exchange)

    def _repeat(self, exchange, reason):
        self._records.record_repeat(exchange, reason)
        self._offer(exchange)

    def _expire(self, exchange):
        if exchange.respond is None:
            return
        never_runs = self._stop(exchange)
        if exchange.fallback or (never_runs and not exchange.may_have_run):
            self._give_up(exchange, "timeout")
            return
        self._selector.record_duration(
            instance=exchange.backend.instance,
            kind=exchange.route.name,
            seconds=time.monotonic() - exchange.submitted_at,
            now=time.monotonic(),
        )
        response = http.make_text_response(504, "the time for an answer has passed")
        self._answer(exchange, response, "timeout")

    def _give_up(self, exchange, reason):
        """Answer that the request has not run, or that it may have."""
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
            self._note_starved(exchange)
        self._answer(exchange, response, reason)

    def _note_starved(self, exchange):
        """Tell the own host that a call of its run found no capacity."""
        if exchange.parent is not None and exchange.retry_after:
            exchange.parent.is_starved = True

    def _answer(self, exchange, response, reason):
        respond, exchange.respond = exchange.respond, None
        if respond is None:
            return
        self.in_flight -= 1
        if exchange.timer is not None:
            exchange.timer.cancel()
        self._records.record(exchange, response, reason)
        respond(response)

    def _stop(self, exchange):
        """Cancel the attempt under way; return whether it never runs."""
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
        self._selector.keep_only(directory.list_instances())
        self._resends.set_daemons(len(directory))


_LOST_REASONS = frozenset(
    {"unreachable", "down", "gone", "closed", "silent", "no connection", "restarted"}
)
_OUTCOMES = {
    outcomes.Outcome.DONE: Dispatcher._take_answer,
    outcomes.Outcome.NOT_RUN: Dispatcher._take_refusal,
    outcomes.Outcome.UNKNOWN: Dispatcher._take_loss,
}

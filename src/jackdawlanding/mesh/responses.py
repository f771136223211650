"""What callers are told, and what the log and the metrics keep of it."""

import time

from jackdawlanding.platform import headers
from jackdawlanding.wire import http

# When to come back to a daemon that knows nothing yet; this usually passes within
# one exchange of news.
UNREADY_RETRY_SECONDS = 0.5
# One in so many good answers is logged.
SAMPLE_EVERY = 100


class AccessLog:
    """Records how requests end.

    :param fleet_state: a ``gossip.FleetState``.
    :param resends: a ``retries.RetryPolicy``.
    :param metrics: a ``metrics.Metrics``.
    :param log: a ``logs.Log``.
    """

    def __init__(self, *, fleet_state, resends, metrics, log):
        self._fleet_state = fleet_state
        self._resends = resends
        self._metrics = metrics
        self._log = log
        self._answered = 0

    def record(self, exchange, response, reason):
        """Record the answer to a request; of good ones a sample is logged."""
        seconds = time.monotonic() - exchange.started
        route = exchange.route
        self._metrics.count(f"entry_{reason}")
        if route is not None and not exchange.is_nested:
            self._metrics.record_latency(route.rank, seconds)
        self._answered += 1
        is_good = reason == "answered" and response.status < 500
        if is_good and self._answered % SAMPLE_EVERY:
            return
        self._log.note(
            "entry",
            "A request was answered.",
            request=exchange.request_id,
            route=route.name if route else "",
            service=exchange.service,
            inner=exchange.is_nested,
            instance=exchange.backend.instance if exchange.backend else "",
            domain=exchange.backend.failure_domain if exchange.backend else "",
            status=response.status,
            reason=reason,
            offers=exchange.offers,
            arrivals=exchange.arrivals,
            seconds=round(seconds, 4),
            version=self._fleet_state.configuration_version,
            age=round(self._fleet_state.get_age(time.monotonic()), 2),
            tokens=round(self._resends.get_tokens(exchange.service), 1),
            repeat=round(exchange.retry_probability, 2),
        )

    def record_gone(self, exchange, reason):
        """Record that a caller left before its answer."""
        self._metrics.count(f"entry_{reason}")
        self._log.note(
            "entry", "A caller left.", request=exchange.request_id, reason=reason
        )

    def record_repeat(self, exchange, reason):
        """Record that a request is sent to another backend server."""
        self._metrics.count("entry_repeated")
        self._log.note(
            "entry",
            "A request is sent again.",
            request=exchange.request_id,
            route=exchange.route.name,
            instance=exchange.backend.instance,
            reason=reason,
        )


def make_refusal(text, *, seconds=UNREADY_RETRY_SECONDS):
    """Return a response that tells that the request has not run."""
    retry_after = (headers.RETRY_AFTER, b"%.2f" % seconds)
    return http.make_text_response(503, text, headers=(retry_after,))

"""Responses made by the daemon, and the access log and metrics of all responses."""

import time

from jackdawlanding.platform import headers
from jackdawlanding.wire import http

# The Retry-After value of a daemon without a configuration: it usually gets one within
# one exchange of state updates.
UNREADY_RETRY_SECONDS = 0.5
# One in this many successful responses is logged.
SAMPLE_INTERVAL = 100


class AccessLog:
    """Records the end of each request in the log and the metrics.

    :param fleet_state: a ``gossip.FleetState``.
    :param retry_policy: a ``retries.RetryPolicy``.
    :param metrics: a ``metrics.Metrics``.
    :param log: a ``logs.Log``.
    """

    def __init__(self, *, fleet_state, retry_policy, metrics, log):
        self._fleet_state = fleet_state
        self._retry_policy = retry_policy
        self._metrics = metrics
        self._log = log
        self._response_count = 0

    def record_response(self, exchange, response, reason):
        """Record a response; of successful ones only a sample is logged."""
        seconds = time.monotonic() - exchange.started_at
        route = exchange.route
        self._metrics.count(f"entry_{reason}")
        if route is not None and not exchange.is_nested:
            self._metrics.record_latency(route.rank, seconds)
        self._response_count += 1
        is_success = reason == "answered" and response.status < 500
        if is_success and self._response_count % SAMPLE_INTERVAL:
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
            offers=exchange.submissions,
            arrivals=exchange.arrivals,
            seconds=round(seconds, 4),
            version=self._fleet_state.configuration_version,
            age=round(self._fleet_state.get_age(time.monotonic()), 2),
            tokens=round(self._retry_policy.get_tokens(exchange.service), 1),
            repeat=round(exchange.retry_probability, 2),
        )

    def record_refusal(self, response, *, request_id, host):
        """Record the response to a request that was never received whole.

        :param request_id: as bytes, empty if it was not received.
        :param host: the caller's IP address.
        """
        self._metrics.count(f"entry_incomplete_{response.status}")
        self._log.note(
            "entry",
            "An incomplete request was refused.",
            request=request_id.decode("latin-1"),
            caller=host,
            status=response.status,
            reason=response.body.decode("latin-1").strip(),
        )

    def record_abandoned(self, exchange, reason):
        """Record that a caller disconnected before its response."""
        self._metrics.count(f"entry_{reason}")
        self._log.note(
            "entry", "A caller left.", request=exchange.request_id, reason=reason
        )

    def record_retry(self, exchange, reason):
        """Record that a request is retried at another backend server."""
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
    """Return a 503 response to a request that has not run.

    :param seconds: the Retry-After value.
    """
    retry_after = (headers.RETRY_AFTER, b"%.2f" % seconds)
    return http.make_text_response(503, text, headers=(retry_after,))

"""Read-only HTTP pages for operators: /healthz, /status, /metrics and /audit."""

import json

import prometheus_client
from prometheus_client import core as prometheus_core, exposition
from werkzeug import exceptions as http_exceptions, routing

from jackdawlanding.daemon import messages
from jackdawlanding.decisions import outcomes
from jackdawlanding.wire import http

JSON_TYPE = b"application/json"


class Pages:
    """Serves the pages; none of them changes the daemon.

    :param context: the daemon's :class:`context.Context`.
    :param once_only: a :class:`onceonly.OnceOnly`.
    """

    def __init__(self, *, context, once_only):
        self._context = context
        self._once_only = once_only
        self._url_adapter = routing.Map(
            [
                routing.Rule("/healthz", endpoint="health", methods=["GET"]),
                routing.Rule("/status", endpoint="status", methods=["GET"]),
                routing.Rule("/metrics", endpoint="metrics", methods=["GET"]),
                routing.Rule("/audit", endpoint="audit", methods=["GET"]),
            ]
        ).bind("localhost")
        self._pages = {
            "health": self._show_health,
            "status": self._show_status,
            "metrics": self._show_metrics,
            "audit": self._show_audit,
        }
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(_Collector(context))

    def serve(self, request):
        """Return the ``messages.Answer`` to a request for a page."""
        path = request.target.partition("?")[0]
        try:
            endpoint, _ = self._url_adapter.match(path, method=request.method)
            status, kind, body = self._pages[endpoint]()
        except http_exceptions.HTTPException as error:
            status, kind, body = error.code, b"text/plain", f"{error.name}\n".encode()
        response = http.Response(
            status=status, headers=((b"Content-Type", kind),), body=body
        )
        return messages.Answer(response=response, outcome=outcomes.Outcome.DONE)

    def _show_health(self):
        is_shutting_down = self._context.shutting_down.is_set()
        text = b"leaving\n" if is_shutting_down else b"ok\n"
        return (503 if is_shutting_down else 200), b"text/plain", text

    def _show_status(self):
        return 200, JSON_TYPE, json.dumps(self.describe(), indent=2).encode() + b"\n"

    def _show_metrics(self):
        body = exposition.generate_latest(self._registry)
        return 200, b"text/plain; version=0.0.4; charset=utf-8", body

    def _show_audit(self):
        records = [
            record._asdict() for record in self._context.audit_trail.list_records()
        ]
        return 200, JSON_TYPE, json.dumps(records, indent=2).encode() + b"\n"

    def describe(self):
        """Return the daemon's state as a dictionary for JSON."""
        context = self._context
        controller = context.admission.controller
        ownership = self._once_only.ownership
        return {
            "instance": context.settings.instance,
            "incarnation": context.incarnation,
            "service": context.settings.service,
            "region": context.settings.region,
            "failure_domain": context.settings.failure_domain,
            "leaving": context.shutting_down.is_set(),
            "publications": context.publications.list_versions(),
            "limit": controller.limit.limit,
            "in_flight": controller.in_flight,
            "queued": controller.queued,
            "threshold": context.admission.get_threshold(),
            "members": sorted(ownership.view),
            "established": ownership.is_established,
            "uncertain": len(ownership.uncertain),
            "keys": len(self._once_only.ledger),
            "suspects": len(context.quarantine),
        }


class _Collector:
    """Collects the daemon's counters and gauges for each read of /metrics."""

    def __init__(self, context):
        self._context = context

    def collect(self):
        """Yield the metric families of ``prometheus_client``."""
        metrics = self._context.metrics
        calls = prometheus_core.CounterMetricFamily(
            "jackdaw_calls",
            "Calls by rank, outcome and reason of refusal.",
            labels=("rank", "outcome", "reason"),
        )
        for (rank, outcome, reason), count in metrics.list_calls():
            calls.add_metric((str(rank), outcome, reason), count)
        yield calls
        events = prometheus_core.CounterMetricFamily(
            "jackdaw_events", "Events by name.", labels=("event",)
        )
        for name, count in metrics.list_events():
            events.add_metric((name,), count)
        yield events
        latencies = prometheus_core.GaugeMetricFamily(
            "jackdaw_latency_seconds",
            "Latency of calls by rank and quantile.",
            labels=("rank", "quantile"),
        )
        for quantile in metrics.list_latencies():
            latencies.add_metric(
                (str(quantile.rank), str(quantile.percent)), quantile.seconds
            )
        yield latencies
        controller = self._context.admission.controller
        for name, text, value in (
            ("jackdaw_limit", "Concurrency limit in calls.", controller.limit.limit),
            ("jackdaw_in_flight", "Calls at the backend server.", controller.in_flight),
            ("jackdaw_queued", "Calls that wait.", controller.queued),
        ):
            yield prometheus_core.GaugeMetricFamily(name, text, value=value)

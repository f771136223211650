"""State shared by the components of one daemon, passed down instead of globals."""

import threading
import time

from jackdawlanding.daemon import (
    audit,
    backend,
    blocking,
    calls,
    metrics,
    peers,
)
from jackdawlanding.decisions import (
    admission,
    allowances,
    dependencies,
    membership,
    quarantine,
    routing,
    throttle,
    versions,
)
from jackdawlanding.settings import publications

INITIAL_CONCURRENCY_LIMIT = 8


class Context:
    """Holds what the components of one daemon share.

    :param settings: an ``options.Settings``.
    :param incarnation: text that is unique to this process of the instance.
    :param is_reachable: see :class:`peers.PeerPool`.
    """

    def __init__(self, *, settings, incarnation, is_reachable=None):
        self.settings = settings
        self.incarnation = incarnation
        self.started_at = time.monotonic()
        self.shutting_down = threading.Event()
        # When a shutdown refuses new calls of callers, and when it gives up all calls,
        # in time.monotonic() seconds.
        self.refuses_at = self.ends_at = float("inf")
        self.audit_trail = audit.Trail()
        self.metrics = metrics.Metrics()
        self.publications = versions.ActivePublications(decode=publications.decode)
        self.quarantine = quarantine.Quarantine()
        self.budget = allowances.RetryBudget(ratio=settings.retry_ratio)
        self.dependencies = dependencies.Dependencies()
        self.throttle = throttle.Throttle()
        self.active_calls = calls.ActiveCalls(on_success=self.dependencies.record)
        self.pool = peers.PeerPool(is_reachable=is_reachable)
        self.backend = backend.BackendClient(
            address=settings.backend_address, maximum_body_bytes=settings.answer_bytes
        )
        limits = self.get_limits()
        self.admission = blocking.BlockingAdmission(
            controller=admission.make_controller(
                minimum=limits.minimum,
                maximum=limits.maximum,
                queue_length=limits.queue,
                initial=INITIAL_CONCURRENCY_LIMIT,
            )
        )
        self.roster = membership.Roster(
            instance=settings.instance,
            incarnation=incarnation,
            gone_seconds=settings.gone_seconds,
            settle_seconds=settings.settle_seconds,
        )
        self._routers = {}
        self._routers_lock = threading.Lock()

    @property
    def declaration(self):
        """The active declaration of the local service, or ``None``."""
        return self.get_declaration(self.settings.service)

    def get_declaration(self, service):
        """Return the active declaration of a service, or ``None``."""
        active = self.publications.get(service)
        return active.publication.declaration if active else None

    def get_limits(self):
        """Return the active bounds of the concurrency limit and of the queue."""
        declaration = self.declaration
        return declaration.limit if declaration else DEFAULT_LIMIT

    def get_router(self, service):
        """Return the router for a service's instances; create it on first use."""
        router = self._routers.get(service)
        if router:
            return router
        with self._routers_lock:
            return self._routers.setdefault(
                service,
                routing.Router(
                    region=self.settings.region,
                    failure_domain=self.settings.failure_domain,
                ),
            )

    def adjust_work(self, work):
        """Return declared work, without its once-only fields in pass-through mode."""
        if self.settings.pass_through:
            return work._replace(once_only=False, key_header="")
        return work

    def list_services(self):
        """Return the local service, followed by the services that it calls."""
        declaration = self.declaration
        called = declaration.calls if declaration else ()
        return (self.settings.service, *called)


DEFAULT_LIMIT = publications.declarations.Limit()

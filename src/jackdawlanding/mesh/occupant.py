"""Which instance the local backend server is, among the records of its address."""

import time

from jackdawlanding.mesh import backends
from jackdawlanding.platform import headers
from jackdawlanding.wire import http

# A health check names the backend server; further ones wait this long.
CHECK_INTERVAL_SECONDS = 1.0
CHECK_TIMEOUT_SECONDS = 1.0


class LocalOccupant:
    """Tells which instance a call names in its request to the local backend server.

    Another writer may have put records at its address. Its own answers tell who it is:
    an answer to a request that expects an instance, or the name in a health check. A
    request that expects another instance is refused, and hasn't run.

    :param loop: the event loop.
    :param service: the service of the backend server.
    :param pool: the ``backends.BackendPool`` to it.
    :param fleet_state: a ``gossip.FleetState``.
    :param is_leaving: returns whether an instance said that it is leaving.
    :param on_change: called when the backend server turns out to be another one.
    :param metrics: a ``metrics.Metrics``.
    """

    def __init__(
        self, *, loop, service, pool, fleet_state, is_leaving, on_change, metrics
    ):
        self._loop = loop
        self._service = service
        self._pool = pool
        self._address = tuple(pool.address)
        self._fleet_state = fleet_state
        self._is_leaving = is_leaving
        self._on_change = on_change
        self._metrics = metrics
        self._checked_at = float("-inf")
        # The name in the last health check; its record may come after that.
        self._checked_name = ""

    @property
    def backend(self):
        """The record in use of the backend server, or ``None``."""
        directory = self._fleet_state.directory
        confirmed = directory.get(self.instance)
        if self._is_here(confirmed):
            return confirmed
        records = self._list_records()
        return records[0].backend if records else None

    @property
    def instance(self):
        """The instance that answered last, ``""`` if none has."""
        return self._fleet_state.directory.get_occupant(self._address)

    def may_run(self):
        """Return whether any record of the address takes calls."""
        return any(
            self._takes_calls(record.backend.instance)
            for record in self._list_records()
        )

    def choose(self, call, *, exclude=()):
        """Return the instance that a call's request expects, and ``""``.

        Where the call can't run, the instance is ``""`` and the second value is the
        reason.

        :param exclude: instances that have refused the call's request.
        """
        directory = self._fleet_state.directory
        confirmed = self.instance
        if confirmed not in exclude and self._takes_calls(confirmed):
            return confirmed, ""
        if call.instance not in exclude and not directory.get_revision(call.instance):
            # The daemon of the caller knows of a later start.
            return call.instance, ""
        for record in self._list_records():
            instance = record.backend.instance
            if instance not in exclude and self._takes_calls(instance):
                return instance, ""
        return "", self._explain(call, confirmed, exclude)

    def confirm(self, instance):
        """Record that the backend server answered as an instance."""
        if instance == self.instance:
            return
        directory = self._fleet_state.directory
        if directory.confirm_occupant(instance=instance) and self._is_contested:
            self._on_change()

    def disprove(self, instance):
        """Record that the backend server is another instance."""
        if self._fleet_state.disprove(instance, source="host"):
            self._metrics.count("records_disproved")

    def forget(self):
        """Forget who answered: the backend server has ended."""
        self._checked_name = ""
        self._fleet_state.directory.forget_occupant(self._address)

    def check(self):
        """Ask the backend server for its name if the records leave it open."""
        now = time.monotonic()
        if not self._is_contested:
            return
        if self._takes_calls(self.instance) or not self.may_run():
            return
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            if not self._fleet_state.directory.is_disproved(self._checked_name):
                self.confirm(self._checked_name)
            return
        target = self._fleet_state.get_health_path(self._service)
        if not target:
            return
        self._checked_at = now
        self._checked_name = ""
        attempt = backends.Attempt(
            parts=(
                http.format_request(
                    method="GET",
                    target=target,
                    headers=[(b"Host", self._service.encode("latin-1", "replace"))],
                    body=b"",
                    has_body=False,
                ),
            ),
            is_head=False,
            id_header=headers.REQUEST_ID.lower(),
            request_id=b"",
            on_done=self._record_check,
        )
        self._metrics.count("host_health_checks")
        self._loop.call_later(CHECK_TIMEOUT_SECONDS, attempt.cancel)
        self._pool.send(attempt, needs_recent=True)

    @property
    def _is_contested(self):
        return self._fleet_state.directory.is_contested(self._address)

    def _record_check(self, result):
        if result.response is None:
            return
        name = result.response.get_header(headers.INSTANCE_ID.lower()).decode("latin-1")
        if not name:
            return
        self._checked_name = name
        self.confirm(name)
        for record in self._list_records():
            if record.backend.instance != name:
                self.disprove(record.backend.instance)

    def _list_records(self):
        return self._fleet_state.directory.list_at_address(
            self._address, service=self._service
        )

    def _is_here(self, backend):
        return (
            backend is not None
            and (backend.host, backend.port) == self._address
            and backend.service == self._service
        )

    def _takes_calls(self, instance):
        backend = self._fleet_state.directory.get(instance)
        return (
            self._is_here(backend)
            and not backend.is_draining
            and not self._is_leaving(instance)
        )

    def _explain(self, call, confirmed, exclude):
        """Return why a call can't run."""
        directory = self._fleet_state.directory
        backend = directory.get(call.instance)
        if backend is None:
            return "gone"
        if call.instance in exclude or not self._is_here(backend):
            return "misdirected"
        if confirmed not in ("", call.instance) or directory.is_disproved(
            call.instance
        ):
            return "misdirected"
        return "draining"

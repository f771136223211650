"""Fuzz of records, configurations, restarts and reuse against who truly runs where."""

import os
import types
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful, strategies

from jackdawlanding.decisions import directory, outcomes
from jackdawlanding.mesh import (
    backends,
    dispatcher,
    eventloop,
    executor,
    gossip,
    logs,
    metrics,
)
from jackdawlanding.wire import http
from tests import backendservers, calls

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "300"))
HOSTS = ("10.0.0.1", "10.0.0.2")
PORT = 80
NAMED = ("desk", "bank")
CALLERS = ("a", "b")
# Like the dispatcher's.
SUBMISSIONS = dispatcher.MAXIMUM_SUBMISSIONS
# Foreign records that one address has at most: one more record than a call tries.
FOREIGN = executor.MAXIMUM_EXPECTED - 1
AT_HOST = strategies.sampled_from(HOSTS)
OF_SERVICE = strategies.sampled_from(NAMED)
BY_CALLER = strategies.sampled_from(CALLERS)
BORN = strategies.sampled_from((0, 1, 2**62))


class Server(typing.NamedTuple):
    """A backend server as it truly is; the record has the same fields."""

    instance: str
    service: str
    born: int
    is_draining: bool = False


class FakePool:
    """Answers as the server that truly runs at a host, once it is told to deliver."""

    def __init__(self, machine, host):
        self.address = (host, PORT)
        self._machine = machine
        self._attempts = []

    def send(self, attempt, *, needs_recent):
        self._attempts.append(attempt)

    def deliver(self):
        while self._attempts:
            attempt = self._attempts.pop(0)
            attempt.end(self._machine.answer(self.address[0], attempt))


class Daemon:
    """What a daemon knows; ``executor`` is ``None`` where no server is beside it."""

    def __init__(self, machine, host="", service=""):
        self.fleet_state = gossip.FleetState(decode=None, log=logs.Log())
        self.fleet_state.get_health_path = lambda service: backendservers.HEALTH_PATH
        self.fleet_state.directory.set_services(machine.services)
        self.service = service
        self.executor = None
        if not host:
            return
        self.executor = executor.Executor(
            loop=machine.loop,
            service=service,
            address=(host, PORT),
            fleet_state=self.fleet_state,
            metrics=metrics.Metrics(),
            log=logs.Log(),
        )
        self.pool = FakePool(machine, host)
        self.executor._pool = self.executor.occupant._pool = self.pool
        self.executor.health = types.SimpleNamespace(
            is_up=True,
            mark_down=self.executor._handle_down,
            record_lost_call=lambda call: None,
        )


class OccupantMachine(stateful.RuleBasedStateMachine):
    """Servers at two addresses, the daemons beside them, and two that call.

    Records reach each daemon at its own time, or all daemons at once.
    """

    @stateful.initialize(
        first_services=strategies.sampled_from((("desk", "bank"), ("desk", "desk")))
    )
    def start(self, first_services):
        self.loop = eventloop.EventLoop()
        self.clock = 1
        self.revision = 0
        self.records = {}
        self.changed_at = {}
        self.services = frozenset(NAMED)
        self.truth = dict.fromkeys(HOSTS)
        self.names = dict.fromkeys(HOSTS, "")
        self.runs = []
        self.misdirected = []
        self.is_checked = True
        self.number = 0
        self.daemons = {name: Daemon(self) for name in CALLERS}
        self.beside = {}
        # What each daemon beside a server has had refused since disproofs ended.
        self.refused = set()
        for host, service in zip(HOSTS, first_services, strict=True):
            self.start_server(host, service, False)
        for daemon in self.list_daemons():
            self.update(daemon)

    def teardown(self):
        if hasattr(self, "loop"):
            self.loop.close()

    def answer(self, host, attempt):
        """Answer a request or a health check as the server at a host does."""
        reader = http.RequestReader(limits=http.RESPONSE_LIMITS)
        reader.feed(b"".join(attempt.parts))
        [request] = reader.ready
        server = self.truth[host]
        if server is None:
            return backends.Result(response=None, reason="unreachable", sent=False)
        if request.target == backendservers.HEALTH_PATH:
            if not self.is_checked:
                return backends.Result(response=None, reason="died", sent=True)
            name = (b"X-Instance-Id", server.instance.encode())
            return self.make_result(200, name)
        expected = request.get_header_text(b"x-expected-instance")
        if expected != server.instance:
            self.misdirected.append((host, expected))
            self.check_refused(host, server, expected)
            return self.make_result(421)
        number = request.get_header_text(b"x-request-id")
        self.runs.append((number, host, server))
        return self.make_result(200, (b"X-Server-Signature", b"s"))

    def check_refused(self, host, server, expected):
        """Check that a daemon has a record refused once by one start of a server."""
        daemon = self.beside[host]
        record = daemon.fleet_state.directory._records.get(expected)
        if record is None or record.backend is None:
            return
        born = record.backend.born or record.revision
        key = id(daemon), server.instance, server.born, expected, born
        assert key not in self.refused, f"{expected} was tried again"
        self.refused.add(key)

    def make_result(self, status, *pairs):
        response = http.Response(status=status, headers=pairs)
        return backends.Result(response=response, reason="", sent=True)

    def write(self, name, host, server):
        """Write a record to the store, or remove it."""
        self.revision += 1
        backend = None
        if server is not None:
            backend = directory.Backend(
                instance=name,
                service=server.service,
                host=host,
                port=PORT,
                failure_domain="a1",
                slots=4,
                is_draining=server.is_draining,
                born=server.born,
            )
        self.records[name] = (self.revision, backend)

    @stateful.rule(host=AT_HOST, service=OF_SERVICE, keeps_name=strategies.booleans())
    def start_server(self, host, service, keeps_name):
        """Start a server where none runs, at times under the last one's name."""
        if self.truth[host] is not None:
            return
        self.clock += 1
        name = self.names[host]
        known = self.records.get(name, (0, None))[1]
        if not (keeps_name and name and (known is None or known.service == service)):
            name = f"i-{self.clock}"
        self.names[host] = name
        self.truth[host] = Server(instance=name, service=service, born=self.clock)
        self.write(name, host, self.truth[host])
        beside = self.beside.get(host)
        if beside is None or beside.service != service:
            self.restart_daemon(host)

    @stateful.rule(host=AT_HOST, is_listed=strategies.booleans())
    def end_server(self, host, is_listed):
        """End a server; after a crash its record stays for a while."""
        server, self.truth[host] = self.truth[host], None
        if server is not None and not is_listed:
            self.write(server.instance, host, None)

    @stateful.rule(host=AT_HOST)
    def drain(self, host):
        server = self.truth[host]
        if server is not None and not server.is_draining:
            self.truth[host] = server._replace(is_draining=True)
            self.write(server.instance, host, self.truth[host])

    @stateful.rule(
        host=AT_HOST,
        number=strategies.integers(1, FOREIGN),
        service=strategies.sampled_from((*NAMED, "nosuch")),
        is_draining=strategies.booleans(),
        born=BORN,
    )
    def write_foreign(self, host, number, service, is_draining, born):
        copy = Server(instance="", service=service, born=born, is_draining=is_draining)
        self.write(f"odd-{number}-{host}", host, copy)

    @stateful.rule(host=AT_HOST, number=strategies.integers(1, FOREIGN))
    def remove_foreign(self, host, number):
        self.write(f"odd-{number}-{host}", host, None)

    @stateful.rule(names_all=strategies.booleans())
    def configure(self, names_all):
        """Put a configuration in force, at times one that names another service."""
        self.services = frozenset((*NAMED, "nosuch") if names_all else NAMED)
        for daemon in self.list_daemons():
            daemon.fleet_state.directory.set_services(self.services)

    @stateful.rule(host=AT_HOST)
    def restart_daemon(self, host):
        if self.truth[host] is not None:
            self.beside[host] = Daemon(self, host, self.truth[host].service)
            self.update(self.beside[host])

    @stateful.rule(name=BY_CALLER)
    def update_caller(self, name):
        self.update(self.daemons[name])

    @stateful.rule(host=AT_HOST)
    def update_beside(self, host):
        if host in self.beside:
            self.update(self.beside[host])

    @stateful.rule(is_checked=strategies.booleans())
    def pass_time(self, is_checked):
        """Let disproofs end and health checks happen."""
        self.is_checked = is_checked
        self.refused.clear()
        for daemon in self.list_daemons():
            daemon.fleet_state.directory.expire_disproofs(now=float("inf"))
            if daemon.executor is not None:
                daemon.executor.occupant._checked_at = float("-inf")
                daemon.executor.occupant.check()
                daemon.pool.deliver()

    def list_daemons(self):
        return [*self.daemons.values(), *self.beside.values()]

    def update(self, daemon):
        for name, (revision, backend) in self.records.items():
            daemon.fleet_state.put(
                instance=name, revision=revision, backend=backend, source="store"
            )
        if daemon.executor is not None:
            daemon.executor.apply_backend()

    @stateful.rule(
        orders=strategies.lists(
            strategies.tuples(BY_CALLER, OF_SERVICE), min_size=1, max_size=8
        )
    )
    def call(self, orders):
        for name, service in orders:
            self.send(name, service)

    @stateful.rule(name=BY_CALLER, service=OF_SERVICE)
    def call_with_all_known(self, name, service):
        """A listed server that serves is found, whatever else names its address."""
        for daemon in self.list_daemons():
            self.update(daemon)
        is_served = self.send(name, service)
        serving = [
            server
            for server in self.truth.values()
            if server and server.service == service and not server.is_draining
        ]
        assert is_served or not serving, f"nobody ran a call of {service}: {serving}"

    def send(self, name, service):
        """Send a request as the dispatcher does; return whether it was answered."""
        caller = self.daemons[name]
        known = caller.fleet_state.directory
        self.number += 1
        tried = set()
        for _ in range(SUBMISSIONS):
            candidates = [
                backend
                for backend in known.list_service(service)
                if backend.instance not in tried and not backend.is_draining
            ]
            candidates.sort(key=lambda backend: backend.instance in known.doubted)
            if not candidates:
                return False
            backend = candidates[0]
            tried.add(backend.instance)
            reply = self.submit(backend, service)
            if reply is None:
                known.forget_occupant((backend.host, PORT))
                continue
            self.record_occupant(caller, backend, reply)
            if reply.outcome == outcomes.Outcome.DONE:
                return True
            assert reply.outcome == outcomes.Outcome.NOT_RUN
        return False

    def submit(self, backend, service):
        """Return the reply of the daemon at a host, ``None`` if it is gone."""
        daemon = self.beside.get(backend.host)
        if daemon is None:
            return None
        replies = []
        before = len(self.misdirected), len(self.runs)
        number = f"q{self.number}"
        draining = {
            record.backend.instance
            for record in daemon.fleet_state.directory._records.values()
            if record.backend and record.backend.is_draining
        }
        daemon.executor.submit(
            calls.make_call(
                self.number,
                instance=backend.instance,
                service=service,
                headers=[b"X-Request-Id", number.encode()],
                request_id=number,
            ),
            replies.append,
        )
        daemon.pool.deliver()
        [reply] = replies
        arrivals = len(self.misdirected) - before[0] + len(self.runs) - before[1]
        assert reply.arrived == arrivals <= executor.MAXIMUM_EXPECTED
        assert daemon.executor.in_flight == 0
        for _, _, server in self.runs[before[1] :]:
            assert server.service == service, "a server of another service ran it"
            assert server.instance not in draining, "a draining server ran it"
        return reply

    def record_occupant(self, caller, backend, reply):
        """Let the caller's daemon learn from a reply as its dispatcher does."""
        dispatcher.Dispatcher._record_occupant(
            types.SimpleNamespace(
                _fleet_state=caller.fleet_state, _metrics=metrics.Metrics()
            ),
            backend,
            reply,
        )

    @stateful.invariant()
    def nothing_runs_twice(self):
        numbers = [number for number, _, _ in getattr(self, "runs", ())]
        assert len(numbers) == len(set(numbers)), "a request ran twice"

    @stateful.invariant()
    def no_service_that_nobody_names_is_offered(self):
        if not hasattr(self, "services") or "nosuch" in self.services:
            return
        for daemon in self.list_daemons():
            assert not daemon.fleet_state.directory.list_service("nosuch")


OccupantMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES, stateful_step_count=40, deadline=None, derandomize=True
)


class OccupantFuzzTest(OccupantMachine.TestCase):
    def run(self, result=None):
        with mock.patch.object(logs.Log, "note"):
            return super().run(result)


if __name__ == "__main__":
    unittest.main()

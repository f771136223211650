"""Small meshes in one process: daemons on loopback addresses, a thread for each."""

import contextlib
import itertools
import random
import socket
import threading
import time
import unittest

from jackdawlanding.mesh import app
from jackdawlanding.settings import mesh_settings
from tests import backendservers, callers, configurations, stores

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


# Ports below the range from which the kernel draws those of outgoing connections.
FIRST_PORT = 10000
LAST_PORT = 32000
_ports = itertools.count(random.randrange(LAST_PORT - FIRST_PORT))


def find_free_port(host="127.0.0.1"):
    """Return a port of a host that is free and that no earlier call returned.

    The kernel may assign the same free port twice in a row.
    """
    for _ in range(LAST_PORT - FIRST_PORT):
        port = FIRST_PORT + next(_ports) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        return port
    raise AssertionError(f"no port of {host} is free")


def make_document(
    *, host, failure_domain, backend_port, outbound_port, readiness_port, **fields
):
    """Return the contents of a daemon's settings file."""
    return {
        "host": host,
        "region": REGIONS[failure_domain],
        "failure_domain": failure_domain,
        "failure_domains": REGIONS,
        "backend_address": f"{host}:{backend_port}",
        "outbound_address": f"{host}:{outbound_port}",
        "readiness_address": f"{host}:{readiness_port}",
        "grace_seconds": 4,
        "retry_ratio": 0.2,
        "retry_window_seconds": 10,
        "retry_slack": 48,
        **fields,
    }


class Member:
    """A daemon and its backend server.

    :param host: a loopback address that no other member has.
    """

    def __init__(self, *, store, backend_server, host, failure_domain="a1", peer_port):
        self.backend_server = backend_server
        self.host = host
        self.failure_domain = failure_domain
        self.store = store
        self.ports = {
            name: find_free_port(host) for name in ("outbound", "ready", "pages")
        }
        self.peer_port = peer_port
        self.daemon = None
        self._thread = None

    def start(self):
        document = make_document(
            instance=f"member-{self.host}",
            service=self.backend_server.service,
            host=self.host,
            failure_domain=self.failure_domain,
            backend_port=self.backend_server.port,
            outbound_port=self.ports["outbound"],
            readiness_port=self.ports["ready"],
            metrics_port=self.ports["pages"],
            peer_port=self.peer_port,
            store_address=self.store.address,
        )
        self.daemon = app.MeshDaemon(settings=mesh_settings.make(document))
        self._thread = threading.Thread(
            target=self.daemon.run, kwargs={"handles_signals": False}, daemon=True
        )
        self._thread.start()
        return self

    def call(self, target, **fields):
        return callers.call_at(
            self.host, self.ports["outbound"], target=target, **fields
        )

    def run_in_loop(self, action):
        """Run an action on the daemon's thread and return its result."""
        done = threading.Event()
        results = []

        def run():
            results.append(action())
            done.set()

        self.daemon.loop.call_soon(run)
        if not done.wait(5):
            raise AssertionError(
                "the daemon's event loop did not run the action in 5 s"
            )
        return results[0]

    def has_open_link(self, host):
        """Return whether calls to a host would be sent; called on the loop."""
        link = self.daemon.links._links.get(host)
        return bool(link and link._stream and link._stream.is_open)

    def shut_down(self):
        self.run_in_loop(self.daemon.shut_down)
        self._thread.join(8)
        return not self._thread.is_alive()

    def stop(self):
        if self._thread is None:
            return
        self.daemon.loop.stop()
        self._thread.join(5)
        self.daemon.close()
        self._thread = None


class Mesh(contextlib.ExitStack):
    """Starts a store, backend servers and a daemon for each of them.

    :param services: pairs of a service and a failure domain.
    :param routes: the routes of the first configuration.
    :param start: whether to start the daemons and wait until they are ready.
    :param limits: replace some of the limits of the first configuration.
    """

    def __init__(self, *, services, routes, slots=4, start=True, limits=None):
        super().__init__()
        self.store = stores.Store()
        self.callback(self.store.stop)
        names = sorted({service for service, _ in services})
        configuration = configurations.make(1, *routes, services=names, limits=limits)
        self.store.put("op/config", configuration)
        peer_port = find_free_port()
        self.members = []
        for number, (service, failure_domain) in enumerate(services):
            host = f"127.0.1.{number + 1}"
            backend_server = backendservers.BackendServer(
                service=service, instance=f"i-{number}", slots=slots, host=host
            )
            self.callback(backend_server.stop)
            member = Member(
                store=self.store,
                backend_server=backend_server,
                host=host,
                failure_domain=failure_domain,
                peer_port=peer_port,
            )
            self.store.put(
                f"servers/{backend_server.instance}",
                backend_server.make_entry(host=host, failure_domain=failure_domain),
            )
            self.members.append(member)
        if start:
            for member in self.members:
                member.start()
                self.callback(member.stop)
            self.wait_ready()
            self._wait_reachable()

    def _wait_reachable(self):
        """Wait until no daemon avoids one that had not started to listen yet."""
        wait_until(
            lambda: (
                not any(
                    member.run_in_loop(
                        lambda m=member: m.daemon.links.unreachable_count
                    )
                    for member in self.members
                )
            )
        )

    def restart(self, member):
        """Restart a daemon once the others have noticed that it is gone.

        A call on a link whose loss was not noticed yet gets 502, for it may have run.
        """
        member.stop()
        others = [other for other in self.members if other is not member]
        wait_until(
            lambda: (
                not any(
                    other.run_in_loop(lambda o=other: o.has_open_link(member.host))
                    for other in others
                )
            )
        )
        member.start()

    def wait_ready(self, count=None):
        """Wait until all members know ``count`` backend servers, by default all."""
        expected = len(self.members) if count is None else count
        wait_until(
            lambda: all(
                member.daemon.fleet_state.is_ready
                and len(member.daemon.fleet_state.directory) == expected
                for member in self.members
            )
        )


class FleetCase(unittest.TestCase):
    """Makes meshes of two services in three failure domains."""

    def make(self, *, timeout=3000, **fields):
        """Return a mesh; ``timeout`` is that of the routes, in milliseconds."""
        return Mesh(
            services=[("desk", "a1"), ("bank", "a1"), ("bank", "a2"), ("bank", "b1")],
            routes=[
                configurations.make_route(
                    "pay", service="bank", kind="unsafe", timeout=timeout
                ),
                configurations.make_route("look", service="bank", timeout=timeout),
            ],
            **fields,
        )


def wait_until(condition, *, seconds=6.0):
    """Wait until a condition holds; fail after ``seconds``."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"the condition did not hold within {seconds} s")
        time.sleep(0.01)

"""Starts a front and a back service with mesh daemons as processes, to measure them."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from bench import latencies
from jackdawlanding.settings import mesh_settings
from tests import backendservers, configurations, meshes, stores

SERVICES = ("front", "back")
# Routes to the back service, by name, with their ranks.
ROUTE_RANKS = {"back": 1, "orders": 0, "browsing": 3}
LIMITS = {"maxBodyBytes": 1 << 20}
DAEMON = "from jackdawlanding.mesh import app; app.main()"
READY_PATH = "/jackdawlanding/readiness"
START_TIMEOUT_SECONDS = 10.0
STOP_TIMEOUT_SECONDS = 10.0
# The fewest headers with which the mesh routes a request and bench.echo answers it.
REQUEST_HEADERS = "X-Request-Id: latency\r\nX-Deadline-Ms: 5000\r\n"


class Fleet(contextlib.ExitStack):
    """Runs a store in this process, and a backend server and a daemon per service.

    ``daemons`` holds the host and the ports of each service's daemon, by service, and
    ``pids`` the daemons' process ids.

    :param slots: how many requests a backend server runs at once.
    :param service_seconds: how long each takes; 0 starts ``bench.echo`` instead.
    :raises TimeoutError: a daemon isn't ready in time.
    """

    def __init__(self, *, slots=64, service_seconds=0.0):
        super().__init__()
        self._slots = slots
        self._service_seconds = service_seconds
        self.store = stores.Store()
        self.callback(self.store.stop)
        self.directory = pathlib.Path(self.enter_context(tempfile.TemporaryDirectory()))
        self.peer_port = meshes.find_free_port()
        self.backends = {}
        self.daemons = {}
        self.pids = {}
        routes = [
            configurations.make_route(name, service="back", priority=rank, timeout=2000)
            for name, rank in ROUTE_RANKS.items()
        ]
        self.store.put(
            "op/config",
            configurations.make(1, *routes, services=SERVICES, limits=LIMITS),
        )
        hosts = {
            service: f"127.0.1.{index + 1}" for index, service in enumerate(SERVICES)
        }
        for service, host in hosts.items():
            self._start_backend(service, host)
        # A daemon that is ready then knows both backend servers.
        for service, host in hosts.items():
            self._start_daemon(service, host)
        for host, ports in self.daemons.values():
            self._wait_until_ready(host, ports["readiness"])

    @property
    def caller_address(self):
        """Host and port at which the daemon of the front service serves callers."""
        host, ports = self.daemons["front"]
        return host, ports["outbound"]

    def list_paths(self, *, body_bytes=0):
        """Return the paths to the back service through none, one and two daemons.

        :param body_bytes: the length of the requests' bodies.
        """
        front, back = self.daemons["front"], self.daemons["back"]
        request = {
            "host": "back.example",
            "target": "/back/x",
            "headers": REQUEST_HEADERS,
            "body_bytes": body_bytes,
        }
        return (
            latencies.Path("direct", *self.backends["back"][::-1], **request),
            latencies.Path("one daemon", back[1]["outbound"], back[0], **request),
            latencies.Path("two daemons", front[1]["outbound"], front[0], **request),
        )

    def _start_backend(self, service, host):
        backend = (host, meshes.find_free_port(host))
        self.backends[service] = backend
        self._run("-m", *self._make_backend_command(host, str(backend[1])))
        entry = backendservers.make_entry(
            service=service, address="{}:{}".format(*backend), slots=self._slots
        )
        self.store.put(f"servers/i-{service}", entry)

    def _start_daemon(self, service, host):
        port_names = ("outbound", "readiness", "metrics")
        ports = {name: meshes.find_free_port(host) for name in port_names}
        self.daemons[service] = (host, ports)
        path = self.directory / f"{service}.json"
        path.write_text(json.dumps(self._make_settings(service, host, ports)))
        environment = {mesh_settings.FILE_VARIABLE: str(path)}
        self.pids[service] = self._run("-OO", "-c", DAEMON, **environment)

    def _make_backend_command(self, host, port):
        if not self._service_seconds:
            return "bench.echo", host, port
        arguments = (str(self._slots), str(self._service_seconds))
        return "bench.signed_backend", host, port, *arguments

    def _make_settings(self, service, host, ports):
        return meshes.make_document(
            instance=service,
            service=service,
            host=host,
            failure_domain="a1",
            backend_port=self.backends[service][1],
            outbound_port=ports["outbound"],
            readiness_port=ports["readiness"],
            metrics_port=ports["metrics"],
            peer_port=self.peer_port,
            store_address=self.store.address,
        )

    def _run(self, *arguments, **environment):
        process = subprocess.Popen(
            [sys.executable, *arguments],
            env={**os.environ, **environment},
            stdout=subprocess.DEVNULL,
        )
        self.callback(_stop, process)
        return process.pid

    def _wait_until_ready(self, host, port):
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                if latencies.get_status(host, port, READY_PATH) == 200:
                    return
            time.sleep(0.05)
        raise TimeoutError(
            f"the daemon on {host} is not ready in time; see its standard error"
        )


def make_headers(target, nonce, attempt):
    """Return the header lines of a caller's attempt at a target."""
    return [
        f"Host: {target.split('/')[1]}.example",
        f"X-Request-Id: {nonce}-{attempt}",
        "X-Deadline-Ms: 2000",
        f"X-Nonce: {nonce}",
    ]


def _stop(process):
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()

"""A front and a back service with mesh daemons, as processes, to be measured."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from bench import latency
from jackdawlanding.settings import mesh_settings
from tests import backendservers, configurations, meshes, stores

SERVICES = ("front", "back")
# Routes to the back service, by name, with their ranks.
RANKS = {"back": 1, "orders": 0, "browsing": 3}
DAEMON = "from jackdawlanding.mesh import app; app.main()"
READY_PATH = "/jackdawlanding/readiness"
START_SECONDS = 10.0
STOP_SECONDS = 10.0
# The smallest head that the mesh routes and a backend server answers.
HEADERS = "X-Request-Id: latency\r\nX-Deadline-Ms: 5000\r\n"


class Fleet(contextlib.ExitStack):
    """A store in this process; a backend server and a daemon for each service.

    :param slots: requests that a backend server runs at once.
    :param service_seconds: time that one takes; 0 for one that answers at once.
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
        routes = [
            configurations.make_route(name, service="back", priority=rank, timeout=2000)
            for name, rank in RANKS.items()
        ]
        self.store.put("op/config", configurations.make(1, *routes, services=SERVICES))
        for number, service in enumerate(SERVICES):
            self._start(service, f"127.0.1.{number + 1}")
        for host, ports in self.daemons.values():
            self._wait_ready(host, ports["readiness"])

    @property
    def entry(self):
        """The address for callers of the front instance, host and port."""
        host, ports = self.daemons["front"]
        return host, ports["outbound"]

    def list_paths(self):
        """Return the paths: none, one and two daemons on the way."""
        front, back = self.daemons["front"], self.daemons["back"]
        place = {"host": "back.example", "target": "/back/x", "headers": HEADERS}
        return (
            latency.Path("direct", *self.backends["back"][::-1], **place),
            latency.Path("one daemon", back[1]["outbound"], back[0], **place),
            latency.Path("two daemons", front[1]["outbound"], front[0], **place),
        )

    def _start(self, service, host):
        backend = (host, meshes.find_free_port(host))
        self.backends[service] = backend
        self._run("-m", *self._make_backend(host, str(backend[1])))
        names = ("outbound", "readiness", "metrics")
        ports = {name: meshes.find_free_port(host) for name in names}
        self.daemons[service] = (host, ports)
        path = self.directory / f"{service}.json"
        path.write_text(json.dumps(self._make_settings(service, host, ports)))
        self._run("-OO", "-c", DAEMON, **{mesh_settings.FILE_VARIABLE: str(path)})
        entry = backendservers.make_entry(
            service=service, address="{}:{}".format(*backend), slots=self._slots
        )
        self.store.put(f"servers/i-{service}", entry)

    def _make_backend(self, host, port):
        if not self._service_seconds:
            return "bench.echo", host, port
        shape = (str(self._slots), str(self._service_seconds))
        return "bench.signed_backend", host, port, *shape

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
        self.callback(_end, process)

    def _wait_ready(self, host, port):
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                if latency.ask(host, port, READY_PATH) == 200:
                    return
            time.sleep(0.05)
        raise TimeoutError(f"the daemon on {host} is not ready")


def make_headers(target, nonce, attempt):
    """Return the header lines of a caller's attempt at a target."""
    return [
        f"Host: {target.split('/')[1]}.example",
        f"X-Request-Id: {nonce}-{attempt}",
        "X-Deadline-Ms: 2000",
        f"X-Nonce: {nonce}",
    ]


def _end(process):
    process.terminate()
    try:
        process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()

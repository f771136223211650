"""Starts a small deployment: a store, backend servers and the project's daemons."""

import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from standins import backendservers, proxies, stores

ROOT = pathlib.Path(__file__).parents[2]
# The command of deploy/system.toml.
COMMAND = ["python3", "-OO", "-S", "deploy/jackdawd.py"]
# The bounds of the small deployments.
GRACE_SECONDS = 6
READY_SECONDS = 20.0
ZONES = {
    "plovdiv-a": "plovdiv",
    "plovdiv-b": "plovdiv",
    "sofia-a": "sofia",
    "varna-a": "varna",
}
# Below the range from which the kernel draws ports of outgoing connections.
FIRST_PORT, LAST_PORT = 10000, 30000
# A port that a script holds in the network that it uses.
GUARD_PORT = 30999
FIRST_NETWORK, LAST_NETWORK = 2, 250

_used_ports = set()


class NotReadyError(Exception):
    """The deployment did not become ready, so that the case can't run."""


def find_port(host):
    """Return a free port of a loopback address, which no earlier call returned."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in _used_ports:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            _used_ports.add(port)
            return port


def reserve_network():
    """Return a number for addresses ``127.NUMBER``, and the socket that holds it."""
    while True:
        number = random.randrange(FIRST_NETWORK, LAST_NETWORK)
        guard = socket.socket()
        try:
            guard.bind((f"127.{number}.255.1", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        return number, guard


class Member:
    """A machine: a backend server and the daemon beside it.

    ``links`` is a proxy in front of the daemon's peer port.
    """

    def __init__(self, *, fleet, number, service, zone, **fields):
        self.host = f"127.{fleet.network}.0.{number + 1}"
        self.zone = zone
        self.backend_server = backendservers.BackendServer(
            instance=f"i-{fleet.network:02x}{number:02x}",
            service=service,
            zone=zone,
            host=self.host,
            **fields,
        )
        self.process = None
        self.outbound = (self.host, find_port(self.host))
        self._readiness = (self.host, find_port(self.host))
        peer_listen_port = find_port(self.host)
        self.links = proxies.Proxy(
            address=(self.host, fleet.peer_port), target=(self.host, peer_listen_port)
        )
        self._settings = {
            "instance": f"sidecar-{zone}-{number}",
            "service": service,
            "host": self.host,
            "region": ZONES[zone],
            "failure_domain": zone,
            "failure_domains": ZONES,
            "backend_address": f"{self.host}:{self.backend_server.port}",
            "outbound_address": "{}:{}".format(*self.outbound),
            "readiness_address": "{}:{}".format(*self._readiness),
            "peer_port": fleet.peer_port,
            "peer_listen_port": peer_listen_port,
            "metrics_port": find_port(self.host),
            "store_address": fleet.store.address,
            "grace_seconds": GRACE_SECONDS,
            "retry_ratio": 0.2,
            "retry_window_seconds": 10,
            "retry_slack": 49,
        }
        self._folder = fleet.folder
        self._log = (fleet.folder / f"{self.host}.log").open("ab")

    def start(self):
        """Start the daemon with the command of the deploy file."""
        path = self._folder / f"{self.host}.json"
        path.write_text(json.dumps(self._settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["JACKDAWLANDING_CONFIG"] = str(path)
        self.process = subprocess.Popen(
            COMMAND, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )

    def is_ready(self):
        """Whether the daemon answers the readiness check with 200."""
        connection = http.client.HTTPConnection(*self._readiness, timeout=2)
        try:
            connection.request("GET", "/jackdawlanding/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def stop(self):
        """Kill the daemon and stop what belongs to it."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self._log.close()
        self.links.stop()
        self.backend_server.stop()


class Fleet(contextlib.ExitStack):
    """A small deployment on loopback addresses.

    :param services: pairs of a service and a zone, one for each machine.
    :param fields: fields of the backend servers.
    """

    def __init__(self, *, services, **fields):
        super().__init__()
        # A script that is ended early still ends its daemons.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.network, guard = reserve_network()
        self.callback(guard.close)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.callback(shutil.rmtree, self.folder, ignore_errors=True)
        self.peer_port = find_port("127.0.0.1")
        self.store = stores.Store()
        self.callback(self.store.stop)
        self.members = []
        for number, (service, zone) in enumerate(services):
            member = Member(
                fleet=self, number=number, service=service, zone=zone, **fields
            )
            self.callback(member.stop)
            self.members.append(member)

    def register(self, member):
        """Write the entry of a member's backend server; return when."""
        server = member.backend_server
        return self.store.put(f"servers/{server.instance}", server.make_entry())

    def start(self):
        """Register all backend servers and start all daemons.

        :raises NotReadyError: some daemon is not ready in time.
        """
        for member in self.members:
            self.register(member)
        for member in self.members:
            member.start()
        end = time.monotonic() + READY_SECONDS
        while not all(member.is_ready() for member in self.members):
            if time.monotonic() > end:
                hosts = [one.host for one in self.members if not one.is_ready()]
                lines = [
                    line
                    for host in hosts
                    for line in (self.folder / f"{host}.log").read_text().splitlines()
                ]
                raise NotReadyError(
                    f"not ready: {hosts}, ended: {self.list_unexpected_exits()}, "
                    f"last lines: {lines[-5:]}"
                )
            time.sleep(0.1)

    def list_unexpected_exits(self):
        """Return the hosts whose daemon has ended by itself."""
        return [
            member.host
            for member in self.members
            if member.process is not None and member.process.poll() is not None
        ]

    def list_errors(self):
        """Return the last line of each error that the daemons logged, in no order."""
        return [
            (json.loads(line).get("error") or line).splitlines()[-1]
            for path in self.folder.glob("*.log")
            for line in path.read_text().splitlines()
            if '"level": "error"' in line
        ]


def start_thread(target):
    """Start a daemon thread."""
    thread = threading.Thread(target=target, daemon=True)
    thread.start()
    return thread

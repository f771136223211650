"""Starts a small fleet as processes: a daemon beside each backend server.

Only experiments and tests start processes; the system's own never do.
"""

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing

from jackdawlanding.emulator import platform
from jackdawlanding.settings import declarations, publications

START_SECONDS = 15.0
STOP_SECONDS = 15.0
CHECK_SECONDS = 0.05
PORTS = (20000, 32000)
PORT_NAMES = ("caller", "local", "peer", "admin", "backend")


class ServicePlan(typing.NamedTuple):
    """One service of a fleet: its declaration and its backend servers.

    :param places: ``(region, failure domain)`` of each instance, in turn.
    """

    declaration: declarations.Declaration
    instances: int = 3
    slots: int = 4
    service_seconds: float = 0.02
    inner: tuple = ()
    queue: int = 64
    places: tuple = (("r1", "a"),)


class Node:
    """One instance: its daemon's process, its backend server's and their ports."""

    def __init__(self, *, name, service, ports, place):
        self.name = name
        self.service = service
        self.ports = ports
        self.place = place
        self.daemon = None
        self.backend = None

    @property
    def caller_port(self):
        """Where callers call."""
        return self.ports["caller"]

    @property
    def entry(self):
        """This instance as the platform lists it."""
        return {
            "instance": self.name,
            "address": f"127.0.0.1:{self.ports['peer']}",
            "region": self.place[0],
            "failure_domain": self.place[1],
            "state": "live",
        }


class Fleet:
    """A platform stand-in and the nodes of some services.

    :param plans: the :class:`ServicePlan` s.
    :param flags: further flags of each daemon.
    :param log: an open file for the processes' logs; thrown away by default.
    """

    def __init__(self, *, plans, flags=(), log=subprocess.DEVNULL, lag=0.0):
        self.plans = {plan.declaration.service: plan for plan in plans}
        self.flags = tuple(flags)
        self.platform = platform.Platform(lag=lag)
        self.nodes = {}
        self._log = log
        self._ports = set()
        self._numbers = dict.fromkeys(self.plans, 0)

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *exception):
        self.stop()

    def start(self):
        """Publish the declarations and start all nodes; wait until they serve."""
        try:
            self._start_all()
        except BaseException:
            self.stop()
            raise

    def _start_all(self):
        self.platform.start()
        for service in self.plans:
            self.publish(service, version=1)
        for service, plan in self.plans.items():
            for _ in range(plan.instances):
                self.add(service, wait=False)
        for node in list(self.nodes.values()):
            self.wait_until_ready(node)

    def publish(self, service, *, version, declaration=None, created=None):
        """Publish a service's declaration in a version."""
        publication = publications.Publication(
            service=service,
            version=version,
            created=int(created if created is not None else time.time()),
            declaration=declaration or self.plans[service].declaration,
        )
        self.platform.publish(service, publications.encode(publication))

    def add(self, service, *, wait=True):
        """Start one more instance of a service; return its :class:`Node`."""
        plan = self.plans[service]
        number = self._numbers[service]
        self._numbers[service] += 1
        node = Node(
            name=f"{service}-{number}",
            service=service,
            ports={name: self._find_port() for name in PORT_NAMES},
            place=plan.places[number % len(plan.places)],
        )
        self.nodes[node.name] = node
        self.start_backend(node)
        self.start_daemon(node)
        self.platform.list_instance(service, node.entry)
        if wait:
            self.wait_until_ready(node)
        return node

    def start_backend(self, node):
        """Start a node's backend server."""
        plan = self.plans[node.service]
        command = [
            sys.executable,
            "-m",
            "jackdawlanding.emulator.node",
            f"--port={node.ports['backend']}",
            f"--local-address=127.0.0.1:{node.ports['local']}",
            f"--slots={plan.slots}",
            f"--service-seconds={plan.service_seconds}",
            f"--queue={plan.queue}",
        ]
        command += [f"--inner={service}{target}" for service, target in plan.inner]
        node.backend = self._start(command)

    def start_daemon(self, node):
        """Start a node's daemon."""
        region, failure_domain = node.place
        command = [
            str(pathlib.Path(sys.executable).with_name("jackdawd")),
            f"--instance={node.name}",
            f"--service={node.service}",
            f"--region={region}",
            f"--failure-domain={failure_domain}",
            f"--platform-address={self.platform.address}",
            *self.flags,
        ]
        for name in PORT_NAMES:
            command.append(f"--{name}-address=127.0.0.1:{node.ports[name]}")
        node.daemon = self._start(command)

    def wait_until_ready(self, node):
        """Wait until a node's daemon has its declaration and knows its peers."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            if self._is_ready(self.read_status(node), node.service):
                return
            time.sleep(CHECK_SECONDS)
        raise TimeoutError(f"{node.name} did not get ready in {START_SECONDS} s")

    def read_status(self, node):
        """Return a daemon's status page as plain data, or ``None``."""
        return self._read(node.ports["admin"], "/status")

    def read_audit(self, node):
        """Return a daemon's audit records as plain data, or ``None``."""
        return self._read(node.ports["admin"], "/audit")

    def read_backend(self, node):
        """Return a backend server's counters, or ``None``."""
        return self._read(node.ports["backend"], "/-/")

    def slow_down(self, node, factor):
        """Multiply a backend server's service time."""
        body = json.dumps({"slowdown": factor})
        self._read(node.ports["backend"], "/-/", body=body)

    def list_nodes(self, service):
        """Return the nodes of a service."""
        return [node for node in self.nodes.values() if node.service == service]

    def remove(self, node):
        """Forget a node whose processes have ended or must end now."""
        self.platform.unlist_instance(node.service, node.name)
        self.nodes.pop(node.name, None)
        for process in (node.daemon, node.backend):
            _end(process, signal.SIGKILL)

    def stop(self):
        """End every process and the platform."""
        for node in self.nodes.values():
            for process in (node.daemon, node.backend):
                if process and process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for node in self.nodes.values():
            for process in (node.daemon, node.backend):
                if process:
                    process.wait(STOP_SECONDS)
        self.platform.stop()

    def _find_port(self):
        """Return a free port below the range of outgoing ports, once."""
        while True:
            port = random.randrange(*PORTS)
            if port not in self._ports and _is_free(port):
                self._ports.add(port)
                return port

    def _is_ready(self, status, service):
        if not status or not status["publications"].get(service):
            return False
        return status["established"] or "--pass-through" in self.flags

    def _start(self, command):
        return subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )

    def read_text(self, port, path):
        """Return a page's text, '' where none comes."""
        return self._request(port, path).decode()

    def _read(self, port, path, *, body=None):
        data = self._request(port, path, body=body)
        try:
            return json.loads(data)
        except ValueError:
            return None

    def _request(self, port, path, *, body=None):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=2)
        try:
            connection.request("POST" if body else "GET", path, body=body)
            return connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            return b""
        finally:
            connection.close()


def _is_free(port):
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


def _end(process, number):
    if process and process.poll() is None:
        process.send_signal(number)
        process.wait(STOP_SECONDS)

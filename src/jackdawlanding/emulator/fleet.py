"""Starts a small fleet as processes: a daemon beside each backend server.

Only experiments and tests start processes; the daemons never do.
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

START_TIMEOUT_SECONDS = 15.0
STOP_TIMEOUT_SECONDS = 15.0
CHECK_INTERVAL_SECONDS = 0.05
PORT_RANGE = (20000, 32000)
PORT_NAMES = ("caller", "local", "peer", "admin", "backend")


class ServicePlan(typing.NamedTuple):
    """One service of a fleet: its declaration and its backend servers.

    :param inner: ``(service, target)`` of each nested call that a request makes.
    :param queue: requests that may wait at a backend server.
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
    """One instance: the processes of its daemon and backend server, and their ports.

    :param ports: ports by their name in ``PORT_NAMES``.
    :param place: ``(region, failure domain)``.
    """

    def __init__(self, *, name, service, ports, place):
        self.name = name
        self.service = service
        self.ports = ports
        self.place = place
        self.daemon = None
        self.backend = None

    @property
    def caller_port(self):
        """Return the port that callers connect to."""
        return self.ports["caller"]

    @property
    def entry(self):
        """Return the entry of this instance in the platform's list."""
        return {
            "instance": self.name,
            "address": f"127.0.0.1:{self.ports['peer']}",
            "region": self.place[0],
            "failure_domain": self.place[1],
            "state": "live",
        }


class Fleet:
    """Holds an emulated platform and the nodes of some services.

    :param plans: the :class:`ServicePlan` s.
    :param flags: further flags of each daemon.
    :param log: an open file for the output of the processes; discarded by default.
    :param lag: seconds until daemons see a change of the platform's lists.
    """

    def __init__(self, *, plans, flags=(), log=subprocess.DEVNULL, lag=0.0):
        self.plans = {plan.declaration.service: plan for plan in plans}
        self.flags = tuple(flags)
        self.platform = platform.Platform(lag=lag)
        self.nodes = {}
        self._log = log
        self._ports = set()
        self._next_numbers = dict.fromkeys(self.plans, 0)

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
        """Publish a version of a service's declaration.

        :param declaration: the one of the service's plan by default.
        :param created: Unix seconds; now by default.
        """
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
        number = self._next_numbers[service]
        self._next_numbers[service] += 1
        node = Node(
            name=f"{service}-{number}",
            service=service,
            ports={name: self._choose_port() for name in PORT_NAMES},
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
        node.backend = self._start_process(command)

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
        node.daemon = self._start_process(command)

    def wait_until_ready(self, node):
        """Wait until a node's daemon has its declaration and has established its view.

        :raises TimeoutError: it has not within ``START_TIMEOUT_SECONDS``.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if self._is_ready(self.read_status(node), node.service):
                return
            time.sleep(CHECK_INTERVAL_SECONDS)
        raise TimeoutError(
            f"{node.name} was not ready within {START_TIMEOUT_SECONDS} s"
        )

    def read_status(self, node):
        """Return a daemon's status page as plain data, or ``None``."""
        return self._fetch_json(node.ports["admin"], "/status")

    def read_audit(self, node):
        """Return a daemon's audit records as plain data, or ``None``."""
        return self._fetch_json(node.ports["admin"], "/audit")

    def read_backend(self, node):
        """Return a backend server's counters, or ``None``."""
        return self._fetch_json(node.ports["backend"], "/-/")

    def slow_down(self, node, factor):
        """Multiply a backend server's service time."""
        body = json.dumps({"slowdown": factor})
        self._fetch_json(node.ports["backend"], "/-/", body=body)

    def list_nodes(self, service):
        """Return the nodes of a service."""
        return [node for node in self.nodes.values() if node.service == service]

    def remove(self, node):
        """Take a node off the platform's list and kill its processes."""
        self.platform.unlist_instance(node.service, node.name)
        self.nodes.pop(node.name, None)
        for process in (node.daemon, node.backend):
            _stop_process(process, signal.SIGKILL)

    def stop(self):
        """Kill every process and stop the platform."""
        for node in self.nodes.values():
            for process in (node.daemon, node.backend):
                if process and process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for node in self.nodes.values():
            for process in (node.daemon, node.backend):
                if process:
                    process.wait(STOP_TIMEOUT_SECONDS)
        self.platform.stop()

    def _choose_port(self):
        """Return a free port that was not returned before.

        It is below the range of outgoing ports, so that no connection takes it.
        """
        while True:
            port = random.randrange(*PORT_RANGE)
            if port not in self._ports and _is_free(port):
                self._ports.add(port)
                return port

    def _is_ready(self, status, service):
        if not status or not status["publications"].get(service):
            return False
        return status["established"] or "--pass-through" in self.flags

    def _start_process(self, command):
        return subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )

    def read_text(self, port, path):
        """Return a page's text, ``""`` where the process doesn't answer."""
        return self._fetch(port, path).decode()

    def _fetch_json(self, port, path, *, body=None):
        data = self._fetch(port, path, body=body)
        try:
            return json.loads(data)
        except ValueError:
            return None

    def _fetch(self, port, path, *, body=None):
        """Return the body of a page, empty where the process doesn't answer."""
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


def _stop_process(process, signal_number):
    if process and process.poll() is None:
        process.send_signal(signal_number)
        process.wait(STOP_TIMEOUT_SECONDS)

"""A small deployment on loopback addresses: real daemons, and stand-ins around them.

The daemons are processes of their own, started with the command of the deploy file.
The store, the backend servers and the callers are stand-ins in this process; they do
what the users' pages say and nothing more.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_SECONDS = 1.5
LEASE_HEARTBEATS = 3
PAGE_ITEMS = 50
FIRST_PORT = 10000
LAST_PORT = 32000
PORT_COUNT = 16
# The pages: links have small windows.
WINDOW_BYTES = 65536
# The longest that a case may play, with the time for its end.
CASE_SECONDS = 110
# How often the platform looks at the memory of a process.
WATCH_SECONDS = 0.05
MEGABYTE = 1_000_000
# The rule allows this many requests of kept connections to be closed unanswered.
LOST_ALLOWED = 3
SIGNATURE = "X-Server-Signature"
ZONES = {
    "plovdiv-a": "plovdiv",
    "plovdiv-b": "plovdiv",
    "sofia-a": "sofia",
    "sofia-b": "sofia",
    "varna-a": "varna",
    "varna-b": "varna",
}
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 4000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "rollbackSlackMs": 250,
    "outerBoundMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 49,
    "recoveryS": 15,
}


class CannotRunError(Exception):
    """The case can't run on this machine."""


class Record:
    """Keeps what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._lines = []
        self._started_at = time.monotonic()

    def write(self, text):
        """Add one line."""
        seconds = time.monotonic() - self._started_at
        self._lines.append(f"{seconds:8.3f} {text}\n")

    def close(self):
        """Write all lines to the file."""
        self._path.write_text("".join(self._lines), encoding="utf-8")


async def read_head(reader):
    """Return the first line of a message and its headers, by lower-case name."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader, headers, *, pause=0.0):
    """Return the body of a message with a length, or in chunks.

    :param pause: seconds before each half of a window of a body with a length.
    """
    if headers.get("transfer-encoding", "").lower() != "chunked":
        remaining, pieces = int(headers.get("content-length", 0)), []
        while remaining:
            if pause:
                await asyncio.sleep(pause)
            pieces.append(await reader.readexactly(min(remaining, WINDOW_BYTES // 2)))
            remaining -= len(pieces[-1])
        return b"".join(pieces)
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


def format_message(first_line, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: items with revisions, ranges in pages, and watches."""

    def __init__(self):
        self.revision = 10
        self.reads = 0
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self, host):
        """Listen on a free port of a host."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, key, value):
        """Write an object as JSON, or remove a key with ``None``."""
        if value is None and key not in self._items:
            return
        self.revision += 1
        item = {"key": key, "revision": self.revision}
        if value is None:
            del self._items[key]
            item["removed"] = True
        else:
            known = self._items.get(key)
            data = base64.b64encode(json.dumps(value).encode()).decode()
            created = known["created"] if known else self.revision
            item |= {"value": data, "created": created, "lease": 0}
            self._items[key] = item
        self._events.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, _ = await read_head(reader)
                self.reads += 1
                path, _, query = line.split(" ")[1].partition("?")
                values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                if path.endswith("kv-range"):
                    page = self._make_range(values)
                else:
                    page = await self._wait_for_events(values)
                writer.write(
                    format_message(
                        "HTTP/1.1 200 OK",
                        {"Content-Type": "application/json"},
                        json.dumps(page).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    def _make_range(self, values):
        prefix, after = values.get("prefix", ""), values.get("after", "")
        names = sorted(
            name for name in self._items if name.startswith(prefix) and name > after
        )
        return {
            "items": [self._items[name] for name in names[:PAGE_ITEMS]],
            "hasMore": len(names) > PAGE_ITEMS,
            "at": self.revision,
        }

    async def _wait_for_events(self, values):
        after, prefix = int(values["after"]), values.get("prefix", "")
        end = time.monotonic() + int(values["waitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining = end - time.monotonic()
            if events or remaining <= 0:
                return {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), remaining)


class BackendServer:
    """An upstream: registers itself, runs requests and answers them.

    A start is a new incarnation with a new id. ``runs`` holds pairs of a request's id
    and the id of the start that ran it, ``bodies`` the body that came with each id.
    ``work_seconds(path)`` is how long one lasts.
    ``handle(request_id, path, writer)``, if set, may answer a request that runs; it
    returns whether it did. Of the next ``late_copies`` answers a second copy is sent,
    where the next answer on their connection is expected.
    """

    def __init__(self, *, deployment, service, host, port, zone, slots=72):
        self.deployment = deployment
        self.service = service
        self.host = host
        self.port = port
        self.zone = zone
        self.slots = slots
        self.instance = ""
        self.runs = []
        self.bodies = {}
        self.late_copies = 0
        self.work_seconds = lambda path: 0.05
        self.handle = None
        # What the answers have as their body, ``b""`` for a short text.
        self.body = b""
        self._writers = set()
        self._copies = {}
        self._server = None
        self._beats = None

    async def start(self):
        """Listen and register under a new id."""
        self.instance = f"i-{self.deployment.random.getrandbits(40):010x}"
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.bind((self.host, self.port))
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=WINDOW_BYTES, backlog=1024
        )
        self._beats = asyncio.ensure_future(
            self._beat(self.instance, int(time.time() * 1000))
        )
        self.deployment.record.write(
            f"server {self.instance} ({self.service}) starts at {self.host}"
        )

    async def crash(self):
        """End at once; the entry expires after three heartbeats of silence."""
        self.deployment.record.write(f"server {self.instance} crashes")
        self._beats.cancel()
        self._server.close()
        writers, self._writers = self._writers, set()
        for writer in writers:
            reset(writer)
        key = f"servers/{self.instance}"
        asyncio.get_running_loop().call_later(
            HEARTBEAT_SECONDS * LEASE_HEARTBEATS,
            lambda: self.deployment.store.put(key, None),
        )

    async def _beat(self, instance, born):
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "maxConcurrency": self.slots,
                "state": "ready",
                "warmupRemainingMs": 0,
                "sequence": sequence,
                "born": born,
            }
            # The store's entry changes when more than the sequence does.
            if sequence == 1:
                self.deployment.store.put(f"servers/{instance}", entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self._answer(line, headers, body, reader, writer)
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, line, headers, body, reader, writer):
        method, path, _ = line.split(" ")
        if path == "/healthz":
            head = {"X-Instance-Id": self.instance}
            writer.write(format_message("HTTP/1.1 200 OK", head))
            return
        if writer in self._copies:
            self.deployment.record.write(
                f"server {self.instance} sends an earlier answer again"
            )
            writer.write(self._copies.pop(writer))
            await writer.drain()
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expected-instance", self.instance)
        head = {"X-Request-Id": request_id, "X-Instance-Id": self.instance}
        if expected != self.instance:
            self.deployment.record.write(
                f"server {self.instance} answers {request_id} with 421: "
                f"it expects {expected}"
            )
            data = format_message("HTTP/1.1 421 Misdirected Request", head)
            self._send(writer, data)
            return
        self.runs.append((request_id, self.instance))
        self.bodies[request_id] = body
        self.deployment.record.write(
            f"server {self.instance} runs {request_id} with {len(body)} bytes"
        )
        if self.handle is not None and await self.handle(request_id, path, writer):
            return
        await asyncio.sleep(self.work_seconds(path))
        head[SIGNATURE] = f"{self.instance}.{request_id}"
        body = self.body or b"done " + request_id.encode()
        self._send(writer, format_message("HTTP/1.1 200 OK", head, body))

    def _send(self, writer, data):
        writer.write(data)
        if self.late_copies:
            self.late_copies -= 1
            self._copies[writer] = data


class Daemon:
    """A daemon in a process of its own, beside one backend server."""

    def __init__(self, *, deployment, number, service, zone):
        self.deployment = deployment
        self.host = deployment.make_host(number)
        self.zone = zone
        self.service = service
        self.process = None
        self._path = deployment.folder / f"{number}.json"
        self._log_path = deployment.folder / f"{number}.log"

    def start(self):
        """Write the settings and start the process."""
        deployment = self.deployment
        self._path.write_text(deployment.render_settings(self), encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["JACKDAWLANDING_CONFIG"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                deployment.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deployment.record.write(f"daemon {self.host} starts")

    def signal(self, number):
        """Send a signal to the process."""
        self.deployment.record.write(
            f"daemon {self.host} gets {signal.Signals(number).name}"
        )
        self.process.send_signal(number)

    def stop(self):
        """Kill the process if it still runs."""
        if self.process is not None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Return whether the readiness check is answered with 200."""
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.host, self.deployment.ports["readiness"]
                )
                writer.write(
                    b"GET /jackdawlanding/readiness HTTP/1.1\r\nHost: a\r\n\r\n"
                )
                line, _ = await read_head(reader)
                writer.close()
                return " 200 " in line
        return False


class Answer:
    """How a request ended for its caller; ``status`` is ``None`` without an answer."""

    def __init__(self, *, request_id, status, headers, body, was_sent):
        self.request_id = request_id
        self.status = status
        self.headers = headers
        self.body = body
        self.was_sent = was_sent


class Caller:
    """A client with one kept connection to the daemon of its machine.

    :param read_pause: seconds before it reads each half of a window of a body.
    """

    def __init__(self, *, deployment, daemon, read_pause=0.0):
        self.deployment = deployment
        self.daemon = daemon
        self._read_pause = read_pause
        self._connection = None
        # Whether the connection of the last request had served one before.
        self.was_kept = False

    async def send(self, *, method, host, path, body=b"", deadline=5000, headers=()):
        """Send a request; return its :class:`Answer`.

        :param headers: pairs that are sent beside the usual headers.
        """
        deployment = self.deployment
        request_id = f"{deployment.random.getrandbits(64):016x}"
        status, answer_headers, data, was_sent = None, {}, b"", False
        self.was_kept = self._connection is not None
        try:
            async with asyncio.timeout(deadline / 1000 + 2):
                if self._connection is None:
                    self._connection = await self._connect()
                reader, writer = self._connection
                head = {
                    "Host": host,
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": str(deadline),
                    **dict(headers),
                }
                deployment.record.write(
                    f"caller sends {request_id} ({method} {path}) to {self.daemon.host}"
                )
                first_line = f"{method} {path} HTTP/1.1"
                writer.write(format_message(first_line, head, body))
                was_sent = True
                line, answer_headers = await read_head(reader)
                data = await read_body(reader, answer_headers, pause=self._read_pause)
                status = int(line.split(" ")[1])
        except (OSError, EOFError, TimeoutError) as error:
            deployment.record.write(f"caller of {request_id}: {error!r}")
        if status is None or answer_headers.get("connection", "").lower() == "close":
            self.close()
        deployment.record.write(f"caller of {request_id} gets {status}")
        return Answer(
            request_id=request_id,
            status=status,
            headers=answer_headers,
            body=data,
            was_sent=was_sent,
        )

    async def _connect(self):
        sock = socket.socket()
        sock.setblocking(False)
        if self._read_pause:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        address = (self.daemon.host, self.deployment.ports["outbound"])
        await asyncio.get_running_loop().sock_connect(sock, address)
        return await asyncio.open_connection(sock=sock, limit=WINDOW_BYTES)

    def close(self):
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


class Deployment:
    """Machines with a daemon and a backend server each, and the store.

    :param machines: pairs of a service and a zone, one for each machine.
    :param routes: the ``spec`` of each route, by its name.
    """

    def __init__(self, *, record, machines, routes, memory_mb=300):
        self.record = record
        self.random = random.Random()
        self.memory_mb = memory_mb
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._net = f"127.{self.random.randrange(20, 250)}.{os.getpid() % 250}"
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["jackdawd"]
        self.command = role["run"].split()
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("the build of the deploy file has not run")
        self._template = (ROOT / role["template"]).read_text(encoding="utf-8")
        self._routes = routes
        self.services = sorted({service for service, _ in machines})
        self.store = Store()
        self.daemons = [
            Daemon(deployment=self, number=number, service=service, zone=zone)
            for number, (service, zone) in enumerate(machines)
        ]
        self.ports = self._find_ports([daemon.host for daemon in self.daemons])
        self.servers = [
            BackendServer(
                deployment=self,
                service=daemon.service,
                host=daemon.host,
                port=self.ports["app"],
                zone=daemon.zone,
            )
            for daemon in self.daemons
        ]

    def make_host(self, number):
        """Return the address of a machine."""
        return f"{self._net}.{number + 1}"

    async def start(self):
        """Start all; return once all daemons are ready."""
        await self.store.start("127.0.0.1")
        self.store.put("op/config", self._make_configuration())
        for server in self.servers:
            await server.start()
        for daemon in self.daemons:
            daemon.start()
        await self.wait_ready(self.daemons)

    async def wait_ready(self, daemons, *, seconds=20):
        """Return once some daemons are ready."""
        end = time.monotonic() + seconds
        for daemon in daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end:
                    raise CannotRunError(f"daemon {daemon.host} doesn't get ready")
                await asyncio.sleep(0.1)
        # What the store holds is known everywhere after this.
        await asyncio.sleep(2.5)

    def stop(self):
        """End all processes, and remove their files."""
        for daemon in self.daemons:
            daemon.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def render_settings(self, daemon):
        """Return the template of the deploy file, filled in for a daemon."""
        fields = {
            "nodeName": f"sidecar-{daemon.host}",
            "service": daemon.service,
            "ip": daemon.host,
            "zone": daemon.zone,
            "region": ZONES[daemon.zone],
            "zones": ZONES,
            "appAddress": f"{daemon.host}:{self.ports['app']}",
            "listenAddresses": {
                name: f"{daemon.host}:{self.ports[name]}"
                for name in ("inbound", "outbound", "readiness")
            },
            "internalPortRange": [self.ports["first"], self.ports["last"]],
            "platform": {"address": self.store.address},
            "bounds": BOUNDS,
        }

        def fill(match):
            value = fields
            for part in match[1].split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return json.dumps(value)

        return re.sub(r"\{\{([\w.]+)\|json\}\}", fill, self._template)

    def _make_configuration(self):
        resources = [
            {"entryKind": "routes", "metadata": {"name": name}, "spec": spec}
            for name, spec in self._routes.items()
        ]
        service_spec = {
            "healthCheckPath": "/healthz",
            "maxConnections": 532,
            "protocol": "h1",
            "tls": False,
        }
        resources += [
            {"entryKind": "services", "metadata": {"name": name}, "spec": service_spec}
            for name in self.services
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        resources.append({"entryKind": "limits", "metadata": {}, "spec": limits})
        return {"version": "00000007", "baseVersion": "0", "resources": resources}

    def _find_ports(self, hosts):
        """Return ports that are free on all hosts."""
        for _ in range(100):
            first = self.random.randrange(FIRST_PORT, LAST_PORT)
            with contextlib.ExitStack() as stack:
                try:
                    for host in hosts:
                        for port in range(first, first + PORT_COUNT):
                            sock = stack.enter_context(socket.socket())
                            sock.bind((host, port))
                except OSError:
                    continue
            names = ("app", "inbound", "outbound", "readiness", "first")
            ports = {name: first + index for index, name in enumerate(names)}
            return {**ports, "last": first + PORT_COUNT - 1}
        raise CannotRunError("no free ports")


def read_resident_megabytes(process):
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / MEGABYTE
    return 0.0


async def keep_to_memory(mesh, daemon, peaks):
    """Kill a process that exceeds its memory, as the platform does."""
    while daemon.process.poll() is None:
        megabytes = read_resident_megabytes(daemon.process)
        peaks.append(megabytes)
        if megabytes > mesh.memory_mb:
            mesh.record.write(f"daemon {daemon.host} holds {megabytes:.0f} MB")
            daemon.signal(signal.SIGKILL)
            return
        await asyncio.sleep(WATCH_SECONDS)


def start_orders(mesh, *, callers, host, count, deadline, lost):
    """Let callers of the first machine send orders; return their tasks.

    :param lost: gets the ids of orders whose connection closes without an answer.
    """
    return [
        asyncio.ensure_future(
            send_orders(
                Caller(deployment=mesh, daemon=mesh.daemons[0]),
                host=host,
                count=count,
                deadline=deadline,
                lost=lost,
            )
        )
        for _ in range(callers)
    ]


async def send_orders(caller, *, host, count, deadline, lost):
    """Send orders on a kept connection; note those that are closed unanswered."""
    for _ in range(count):
        answer = await caller.send(
            method="PUT", host=host, path="/orders/", body=b"order", deadline=deadline
        )
        if answer.status is None:
            if answer.was_sent and caller.was_kept:
                lost.append(answer.request_id)
            return


def list_lost(lost, servers):
    """Return a line for each lost request if they are more than the rule allows.

    :param lost: ids of requests whose kept connections closed without an answer.
    :param servers: the sound servers that the requests may have been passed on to.
    """
    passed_on = {request_id for server in servers for request_id, _ in server.runs}
    broken = [request_id for request_id in lost if request_id in passed_on]
    if len(broken) <= LOST_ALLOWED:
        return []
    return [
        f"LOST: the unsafe request {request_id} of a kept connection was passed on to "
        "a sound server, and its connection closed without an answer"
        for request_id in broken
    ]


def make_route(*, host, service, kind, timeout=2000, objective=1000, priority=1):
    """Return the ``spec`` of a route for one host."""
    return {
        "host": host,
        "prefix": "/",
        "routeType": kind,
        "timeoutMs": timeout,
        "targetLatencyMs": objective,
        "priority": priority,
        "service": service,
        "maxAttempts": 2,
    }


def run_case(play, *, folder, machines, routes):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    :param play: called with the deployment and whether to disturb it; returns a list
        of lines, one for each time that the rule was broken.
    """
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    deployment = None

    failures = []

    async def play_all():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        async with asyncio.timeout(CASE_SECONDS):
            await deployment.start()
            return await play(deployment, is_disturbed)

    try:
        deployment = Deployment(record=record, machines=machines, routes=routes)
        broken = asyncio.run(play_all())
        if failures:
            raise CannotRunError(f"a stand-in failed: {failures[0]}")
    except Exception as error:
        record.write(f"the case can't run: {error!r}")
        record.close()
        print(f"the case can't run: {error!r}")
        sys.exit(2)
    finally:
        if deployment is not None:
            deployment.stop()
    for line in broken:
        record.write(f"BROKEN {line}")
        print(f"broken: {line}")
    result = f"broken: {len(broken)}, with the disruption: {is_disturbed}"
    record.write(result)
    record.close()
    print(result, flush=True)
    # Streams that are still open would complain of the closed loop.
    os._exit(1 if broken else 0)

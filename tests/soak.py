"""A seeded soak: real daemons, callers that keep their connections, overlapping faults.

    python -m tests.soak --first 1 --count 50

Prints each promise that was broken, and exits with 1 if there was any.
"""

import collections
import http.client
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import typing
import zlib

import typer

from tests import (
    backendservers,
    configurations,
    meshes,
    oddentries,
    proxies,
    stores,
)

PROGRAM = pathlib.Path(__file__).parents[1] / "deploy" / "jackdawd.py"
GRACE_SECONDS = 6
SECONDS = 16.0
FAULT_COUNT = 16
CALLERS = 14
CALLER_TIMEOUT_SECONDS = 12
DEADLINE_MILLIS = 5000
NESTED_DEADLINE_MILLIS = 3000
# What the platform's rules give a daemon to obey a notice.
TOLD_SECONDS = 0.5
STABLE_SECONDS = 4.0
WINDOW_SECONDS = 4.0
DRAIN_SECONDS = 2.5
CONFIGURATION_SECONDS = 2.5
ODD_ENTRY_SECONDS = 0.2
# The longest between two restores of the store, and until all that one lost is written.
RESTORE_SECONDS = 8.0
WRITTEN_AGAIN_SECONDS = 2.0
# Few enough that odd keys end pages of the store.
PAGE_SIZE = 3
# The memory of the smallest machines in the site files.
MEMORY_MEGABYTES = 200
LARGE_BODY = b"x" * (4 << 20)
LIMITS = {"maxBodyBytes": 2 * len(LARGE_BODY)}
SLOW_READ_BYTES = 1 << 16
SLOW_READ_SECONDS = 0.02
# One in this many requests offers another protocol.
OFFER_INTERVAL = 7
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAAQAAP__",
}
COPIES = 3
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Requests with these last path segments get odd answers.
BEHAVIOURS = (
    *("shed", "twice", "other-first", "refusal-again", "part-of-head", "nested"),
    "small-chunks",
)
PATHS = ("1", "2", "3", "4", *BEHAVIOURS)
LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
SOURCE_HEADER = "X-Soak-Source"


class Record(typing.NamedTuple):
    """One request as its caller saw it; ``status`` is ``None`` without an answer."""

    number: str
    is_safe: bool
    source: str
    status: int | None
    body: bytes
    headers: dict
    sent_at: float
    ended_at: float


class Notice(typing.NamedTuple):
    """A limit or, with ``rate`` ``None``, a leave that a backend server announced."""

    backend_server: backendservers.BackendServer
    instance: str
    rate: float | None
    begins_at: float
    ends_at: float


class Arrival(typing.NamedTuple):
    """A request at a backend server; one that expects another instance gets 421."""

    number: str
    source: str | None
    expected: str
    sent_at: float
    at: float


class Member:
    """A daemon in a process of its own, and its backend server.

    The daemon reaches the backend server and the store through proxies, and is reached
    through one by its peers. ``source`` changes with each restart and freeze, which
    excuse what came before.
    """

    def __init__(self, *, soak, number, peer_port):
        self.host = f"127.1.{soak.seed % 250}.{number + 1}"
        self.backend_server = backendservers.BackendServer(
            service="bank", instance=f"i-{number}", slots=40, host=self.host
        )
        self.backend_server.seconds = 0.05
        self.backend_server.call_out = self._call_out
        self.backend_server.copies_refusals = True
        self.backend_server.behaviours["/look/endless"] = "endless-small-chunks"
        for behaviour in BEHAVIOURS:
            for route in ("look", "pay"):
                self.backend_server.behaviours[f"/{route}/{behaviour}"] = behaviour
        self.ports = {
            name: meshes.find_free_port(self.host)
            for name in ("outbound", "ready", "pages", "peers")
        }
        self.backend_proxy = self._make_proxy((self.host, self.backend_server.port))
        self.store_proxy = self._make_proxy(soak.store.bound_address)
        self.link_proxy = proxies.Proxy(
            host=self.host, port=peer_port, target=(self.host, self.ports["peers"])
        )
        self.disturbed = []
        self.busy = threading.Lock()
        self.announcing = threading.Lock()
        self.process = None
        self._soak = soak
        self._starts = itertools.count(1)
        self._path = soak.folder / f"{self.host}.json"
        self._path.write_text(json.dumps(self._make_settings(peer_port)))
        self._log_path = soak.folder / f"{self.host}.log"
        self._log_path.touch()
        self._log_offset = 0

    def start(self):
        self.source = f"{self.host}/{next(self._starts)}"
        self._log_offset = self._log_path.stat().st_size
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(PROGRAM)],
                env={**os.environ, "JACKDAWLANDING_CONFIG": str(self._path)},
                stdout=log,
                stderr=log,
            )

    def stop(self):
        """Kill the daemon, if it still runs, and stop all that belongs to it."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.backend_proxy.stop()
        self.store_proxy.stop()
        self.link_proxy.stop()
        self.backend_server.stop()

    def make_entry(self):
        """Return the entry of the backend server; its address is the proxy's."""
        return backendservers.make_entry(
            service=self.backend_server.service,
            address=f"{self.host}:{self.backend_proxy.port}",
            slots=self.backend_server.slots,
        )

    def connect(self):
        """Return a new connection of a caller."""
        return http.client.HTTPConnection(
            self.host, self.ports["outbound"], timeout=CALLER_TIMEOUT_SECONDS
        )

    def has_started(self):
        """Whether the running process handles signals yet."""
        return b"Started." in self._log_path.read_bytes()[self._log_offset :]

    def shows(self, **gauges):
        """Return whether the daemon's metrics have these values."""
        connection = http.client.HTTPConnection(
            self.host, self.ports["pages"], timeout=2
        )
        try:
            connection.request("GET", "/metrics")
            lines = connection.getresponse().read().decode().splitlines()
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
        return all(f"jackdaw_{name} {value}" in lines for name, value in gauges.items())

    def read_peak_memory(self):
        """Return the largest resident memory of the running process, in megabytes."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024

    def excuse(self):
        """Note a fault that excuses the daemon from what it knew and was doing."""
        self.disturbed.append(time.monotonic())
        self.source = f"{self.host}/{next(self._starts)}"

    def _call_out(self, request_id):
        """Make the call that a request needs; return whether it succeeded.

        A request that runs again makes its call again, with another id.
        """
        connection = self.connect()
        try:
            record, _ = self._soak.send(
                self,
                connection,
                number=f"{request_id}.{next(self._soak.numbers)}",
                is_safe=False,
                path="1",
                deadline=NESTED_DEADLINE_MILLIS,
            )
        finally:
            connection.close()
        return record.status == 200

    def _make_proxy(self, target):
        port = meshes.find_free_port(self.host)
        return proxies.Proxy(host=self.host, port=port, target=target)

    def _make_settings(self, peer_port):
        return meshes.make_document(
            instance=f"member-{self.host}",
            service="bank",
            host=self.host,
            failure_domain="a1",
            backend_port=self.backend_proxy.port,
            outbound_port=self.ports["outbound"],
            readiness_port=self.ports["ready"],
            metrics_port=self.ports["pages"],
            peer_port=peer_port,
            peer_listen_port=self.ports["peers"],
            store_address=f"{self.host}:{self.store_proxy.port}",
            grace_seconds=GRACE_SECONDS,
        )


class Soak:
    """Runs one seed and collects what broke.

    :param seed: draws all faults and requests.
    :param size: how many daemons there are.
    """

    def __init__(self, *, seed, size=4):
        self.seed = seed
        self.random = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.store = stores.Store()
        self.store.page_size = PAGE_SIZE
        self.records = []
        self.notices = []
        self.broken = []
        self._version = itertools.count(1)
        self._stopping = threading.Event()
        self._may_send = threading.Event()
        self._may_send.set()
        self.numbers = itertools.count()
        peer_port = meshes.find_free_port()
        self.members = [
            Member(soak=self, number=number, peer_port=peer_port)
            for number in range(size)
        ]
        self.change_configuration()
        for member in self.members:
            self.register(member, born=1)

    def run(self):
        """Play the faults, stop all daemons, check; return what was broken.

        The logs of the daemons stay in ``folder`` if anything was.
        """
        try:
            for member in self.members:
                member.start()
            self.wait_ready()
            callers = self._start(*[self._call_repeatedly] * CALLERS)
            self._start(self._write_odd_entries)
            faults = self._start(self._restore_store, *self._draw_faults())
            time.sleep(SECONDS)
            for fault in faults:
                fault.join()
            self._check_followed()
            stops = self._start(*[lambda m=m: stop(self, m) for m in self.members])
            for thread in stops:
                thread.join()
            self._stopping.set()
            for caller in callers:
                caller.join()
        finally:
            self._stopping.set()
            for member in self.members:
                member.stop()
            self.store.stop()
        self._check()
        if not self.broken:
            self.remove_logs()
        return self.broken

    def remove_logs(self):
        """Remove the settings and logs of the daemons."""
        shutil.rmtree(self.folder)

    def change_configuration(self, *, limits=LIMITS):
        """Publish the next version and return it; only its timeouts differ."""
        version = next(self._version)
        timeout = 4000 + version
        routes = [
            configurations.make_route("look", service="bank", timeout=timeout),
            configurations.make_route(
                "pay", service="bank", kind="unsafe", timeout=timeout
            ),
        ]
        self.store.put(
            "op/config",
            configurations.make(version, *routes, services=("bank",), limits=limits),
        )
        return version

    def register(self, member, *, born):
        """Write the entry of a member's backend server to the store."""
        key = f"servers/{member.backend_server.instance}"
        self.store.put(key, {**member.make_entry(), "born": born})

    def _write_odd_entries(self):
        """Write entries of another writer among those of the backend servers."""
        draw = random.Random(self.seed)
        good = {**self.members[0].make_entry(), "address": "127.0.0.1:1"}
        odd = [data for _, data in oddentries.list_odd_entries(good)]
        keys = [f"servers/odd-{number}" for number in range(4)]
        while not self._stopping.is_set():
            self.store.put(draw.choice(keys), draw.choice(odd))
            self.store.put(draw.choice(oddentries.ODD_KEYS), good)
            self._write_copy(draw, draw.choice(self.members), draw.randrange(COPIES))
            time.sleep(ODD_ENTRY_SECONDS)

    def _restore_store(self):
        """Restore the store from copies; what is lost by that is written again."""
        draw = random.Random(self.seed + 2)
        end = time.monotonic() + SECONDS - RESTORE_SECONDS
        while time.monotonic() < end:
            copy = self.store.copy()
            time.sleep(draw.uniform(0.5, RESTORE_SECONDS / 2))
            lost = list(self.store.restore(copy).values())
            draw.shuffle(lost)
            for event in lost:
                time.sleep(draw.uniform(0, WRITTEN_AGAIN_SECONDS / len(lost)))
                self.store.write_again(event)

    def _write_copy(self, draw, member, number):
        """Write or remove a copy of a live server's entry, sound in each field."""
        fields = draw.choice((None, *oddentries.SOUND_FIELDS))
        key = f"servers/backup-{number}-{member.backend_server.instance}"
        self.store.put(
            key, None if fields is None else {**member.make_entry(), **fields}
        )

    def _check_copies(self):
        """Check that all is served while copies of all servers' entries stand."""
        draw = random.Random(self.seed + 1)
        for member in self.members:
            self._write_copy(draw, member, 0)
        time.sleep(CONFIGURATION_SECONDS)
        for member in self.members:
            for is_safe in (True, False) * 3:
                connection = member.connect()
                record, _ = self.send(
                    member,
                    connection,
                    number=f"q{next(self.numbers)}",
                    is_safe=is_safe,
                    path="1",
                    deadline=DEADLINE_MILLIS,
                )
                connection.close()
                if record.status != 200:
                    self.broken.append(f"not served beside copies: {record}")

    def _check_followed(self):
        """Check that all daemons run and follow the store once the faults are over."""
        time.sleep(STABLE_SECONDS)
        for member in self.members:
            code = member.process.poll()
            if code is not None:
                self.broken.append(f"{member.host} ended by itself with {code}")
        version = self.change_configuration()
        time.sleep(CONFIGURATION_SECONDS)
        for member in self.members:
            if not member.shows(configuration_version=version):
                self.broken.append(f"{member.host} does not know version {version}")
        self._check_slots()
        self._check_copies()
        self._check_memory()

    def _check_memory(self):
        """Check that no daemon took more memory than the smallest machines have."""
        for member in self.members:
            megabytes = member.read_peak_memory()
            if megabytes > MEMORY_MEGABYTES:
                self.broken.append(f"{member.host} took {megabytes:.0f} MB")

    def _check_slots(self):
        """Check that all slots are free while the callers send nothing."""
        self._may_send.clear()
        end = time.monotonic() + DEADLINE_MILLIS / 1000 + STABLE_SECONDS
        busy = self.members
        while busy and time.monotonic() < end:
            time.sleep(0.05)
            busy = [m for m in busy if not m.shows(host_running=0, host_queued=0)]
        self.broken += [f"{member.host} has lost slots" for member in busy]
        self._may_send.set()

    def is_over(self):
        """Whether no further fault may begin."""
        return self._stopping.is_set()

    def _start(self, *targets):
        threads = [threading.Thread(target=target, daemon=True) for target in targets]
        for thread in threads:
            thread.start()
        return threads

    def wait_ready(self):
        """Wait until all daemons that were started are ready."""

        def is_ready(member):
            connection = http.client.HTTPConnection(
                member.host, member.ports["ready"], timeout=2
            )
            try:
                connection.request("GET", "/jackdawlanding/readiness")
                return connection.getresponse().status == 200
            except OSError:
                return False
            finally:
                connection.close()

        meshes.wait_until(lambda: all(map(is_ready, self.members)), seconds=20)

    def _draw_faults(self):
        """Return functions that each wait for their moment and play one fault."""
        draw = self.random
        faults = []
        for kind in draw.choices(FAULTS, k=FAULT_COUNT):
            member, moment = draw.choice(self.members), draw.uniform(0.5, SECONDS - 7)
            values = draw.random(), draw.random()

            def play(kind=kind, member=member, moment=moment, values=values):
                time.sleep(moment)
                kind(self, member, *values)

            faults.append(play)
        return faults

    def send(self, member, connection, *, number, is_safe, path, deadline, padding=b""):
        """Send a request; return its :class:`Record` and whether it can be followed.

        :param path: the last segment of the path.
        :param deadline: in milliseconds.
        :param padding: makes the body long; the answer is read slowly then, and
            recorded without it.
        """
        route = "look" if is_safe else "pay"
        source, sent_at = member.source, time.monotonic()
        status, body, headers, is_kept = None, b"", {}, False
        try:
            connection.request(
                "GET" if is_safe else "POST",
                f"/{route}/{path}",
                body=None if is_safe else number.encode() + padding,
                headers={
                    "Host": f"{route}.example",
                    "X-Request-Id": number,
                    "X-Deadline-Ms": str(deadline),
                    SOURCE_HEADER: source,
                    **(
                        OFFER
                        if zlib.crc32(number.encode()) % OFFER_INTERVAL == 0
                        else {}
                    ),
                },
            )
            response = connection.getresponse()
            body = _read(response, is_slow=bool(padding)).removesuffix(padding)
            status, headers = response.status, dict(response.getheaders())
            is_kept = not response.will_close
        except (OSError, http.client.HTTPException):
            time.sleep(0.05)
        record = Record(
            number=number,
            is_safe=is_safe,
            source=source,
            status=status,
            body=body,
            headers=headers,
            sent_at=sent_at,
            ended_at=time.monotonic(),
        )
        self.records.append(record)
        return record, is_kept

    def _call_repeatedly(self):
        draw = random.Random(self.random.random())
        member, connection = None, None
        while not self._stopping.is_set():
            self._may_send.wait()
            if connection is None:
                member = draw.choice(self.members)
                connection = member.connect()
            _, is_kept = self.send(
                member,
                connection,
                number=f"q{next(self.numbers)}",
                is_safe=draw.random() < 0.5,
                path=draw.choice(PATHS),
                deadline=DEADLINE_MILLIS,
            )
            if not is_kept:
                connection.close()
                connection = None
            time.sleep(draw.uniform(0.0, 0.1))
        if connection is not None:
            connection.close()

    def _check(self):
        runs = collections.Counter(
            number for member in self.members for number in member.backend_server.runs
        )
        for record in self.records:
            for check in (check_once, check_truth, check_whole, check_answered):
                problem = check(self, record, runs[record.number])
                if problem:
                    self.broken.append(f"{problem}: {record}")
        for notice in self.notices:
            self.broken += check_notice(self, notice)


def _read(response, *, is_slow):
    """Return the body of a response."""
    pieces = []
    while piece := response.read(SLOW_READ_BYTES):
        pieces.append(piece)
        if is_slow:
            time.sleep(SLOW_READ_SECONDS)
    body = b"".join(pieces)
    if response.length:
        # read() with a size tells of no early end.
        raise http.client.IncompleteRead(body, response.length)
    return body


def check_once(soak, record, run_count):
    if not record.is_safe and run_count > 1:
        return f"ran {run_count} times"
    return ""


def check_truth(soak, record, run_count):
    if not record.is_safe and record.status in NOT_RUN_STATUSES and run_count:
        return "refused as not run, but ran"
    return ""


def check_whole(soak, record, run_count):
    if record.status != 200:
        return ""
    expected = b"ran " if record.is_safe else b"ran " + record.number.encode()
    is_own = record.headers.get("X-Request-Id") == record.number
    return "" if is_own and record.body == expected else "got another answer"


def check_answered(soak, record, run_count):
    """Only a fault of the daemon that took a request excuses a lost answer."""
    if record.status is not None or not run_count:
        return ""
    host = record.source.partition("/")[0]
    member = next(member for member in soak.members if member.host == host)
    is_excused = any(
        record.sent_at - STABLE_SECONDS <= at <= record.ended_at
        for at in member.disturbed
    )
    return "" if is_excused else "ran, but its connection ended without an answer"


def check_notice(soak, notice):
    """Return how a limit or a leave was broken by daemons that had passed it on."""
    header = LEAVING_HEADER if notice.rate is None else LIMIT_HEADER
    told = {}
    for record in sorted(soak.records, key=lambda record: record.ended_at):
        is_of_notice = notice.begins_at <= record.ended_at <= notice.ends_at
        is_own = record.headers.get("X-Instance") == notice.instance
        if is_of_notice and is_own and header in record.headers:
            told.setdefault(record.source, record.ended_at)
    sent_at = {record.number: record.sent_at for record in soak.records}
    backend_server = notice.backend_server
    arrivals = [
        Arrival(
            number=number,
            source=headers.get(SOURCE_HEADER),
            expected=headers["X-Expected-Instance"],
            sent_at=sent_at.get(number, 0.0),
            at=at,
        )
        for at, (number, headers, *_) in zip(
            backend_server.arrivals, backend_server.seen, strict=True
        )
        if at <= notice.ends_at
    ]
    if notice.rate is None:
        # The platform's rule on leaves: requests that get 421 don't count.
        return [
            f"{arrival} reached a leaving server: {notice}"
            for arrival in arrivals
            if arrival.expected == notice.instance
            and arrival.source in told
            and arrival.sent_at > told[arrival.source] + DRAIN_SECONDS
        ]
    times = sorted(
        arrival.at
        for arrival in arrivals
        if arrival.source in told
        and told[arrival.source] + TOLD_SECONDS <= arrival.at
        and notice.begins_at + STABLE_SECONDS <= arrival.at
    )
    most = max(
        (sum(1 for at in times if start <= at <= start + WINDOW_SECONDS))
        for start in (*times, 0.0)
    )
    allowed = 1.5 * WINDOW_SECONDS * notice.rate + 5
    return [f"got {most} of {allowed} requests: {notice}"] if most > allowed else []


def stop(soak, member, *values):
    """Stop a daemon as planned; start it again, unless the soak is over."""
    with member.busy:
        member.source = f"{member.source}/stops"
        member.process.send_signal(signal.SIGTERM)
        try:
            code = member.process.wait(GRACE_SECONDS + 1)
            if code and member.has_started():
                soak.broken.append(f"{member.host} exited with {code}")
        except subprocess.TimeoutExpired:
            soak.broken.append(f"{member.host} did not stop in {GRACE_SECONDS + 1} s")
        if values:
            member.start()


def kill(soak, member, delay, *values):
    """Kill a daemon, at times in the middle of a planned stop."""
    with member.busy:
        if delay > 0.5:
            member.process.send_signal(signal.SIGTERM)
            time.sleep(delay)
        member.excuse()
        member.process.kill()
        member.process.wait()
        member.start()


def freeze(soak, member, share, *values):
    with member.busy:
        member.excuse()
        member.process.send_signal(signal.SIGSTOP)
        time.sleep(0.2 + 2 * share)
        member.process.send_signal(signal.SIGCONT)
        member.excuse()


def limit(soak, member, share, *values):
    _announce(soak, member, LIMIT_HEADER, 3 + round(12 * share, 1), seconds=8.0)


def leave(soak, member, *values):
    if _announce(soak, member, LEAVING_HEADER, None, seconds=6.0):
        soak.register(member, born=int(time.monotonic() * 1000))


def _announce(soak, member, header, rate, *, seconds):
    """Let a backend server announce something, unless it does; return whether."""
    backend_server = member.backend_server
    if not member.announcing.acquire(blocking=False):
        return False
    begins_at = time.monotonic()
    instance = {"X-Instance": backend_server.instance}
    backend_server.notice = {**instance, header: "1" if rate is None else str(rate)}
    time.sleep(seconds)
    soak.notices.append(
        Notice(
            backend_server=backend_server,
            instance=instance["X-Instance"],
            rate=rate,
            begins_at=begins_at,
            ends_at=time.monotonic(),
        )
    )
    backend_server.notice = instance
    member.announcing.release()
    return True


def rename(soak, member, *values):
    """Let a backend server be another instance, which refuses what names the last.

    Its refusals come a second time, late.
    """
    if not member.announcing.acquire(blocking=False):
        return
    backend_server = member.backend_server
    last = backend_server.instance
    backend_server.instance = f"{last.partition('.')[0]}.{next(soak.numbers)}"
    soak.register(member, born=int(time.monotonic() * 1000))
    time.sleep(0.5)
    soak.store.put(f"servers/{last}", None)
    member.announcing.release()


def answer_without_end(soak, member, *values):
    """Let a caller ask for an answer in small chunks that never ends."""
    _send_alone(soak, member, is_safe=True, path="endless", deadline=1500)


def read_slowly(soak, member, *values):
    """Let a caller send a large order and read the answer, as large, slowly."""
    _send_alone(
        soak,
        member,
        is_safe=False,
        path="1",
        deadline=DEADLINE_MILLIS,
        padding=LARGE_BODY,
    )


def _send_alone(soak, member, **fields):
    """Send a request on a connection of its own."""
    connection = member.connect()
    soak.send(member, connection, number=f"q{next(soak.numbers)}", **fields)
    connection.close()


def change(soak, member, *values):
    soak.change_configuration()


def fail_store(soak, member, share, *values):
    soak.store.failure = 503
    time.sleep(0.5 + 4 * share)
    soak.store.failure = None


def reset_backend(soak, member, share, *values):
    """Reset the connections of a daemon to its backend server, again and again."""
    for _ in range(1 + int(10 * share)):
        member.backend_proxy.reset_all()
        time.sleep(0.1)


def silence_backend(soak, member, *values):
    member.backend_proxy.go_silent()


def cut_store(soak, member, share, *values):
    """Silence a daemon's connections to the store; new ones are reset for a while."""
    member.store_proxy.go_silent()
    end = time.monotonic() + 0.5 + 4 * share
    while time.monotonic() < end:
        time.sleep(0.1)
        member.store_proxy.reset_all()


def reset_links(soak, member, share, *values):
    """Reset the connections of peers to a daemon, again and again."""
    for _ in range(1 + int(10 * share)):
        member.link_proxy.reset_all()
        time.sleep(0.1)


def silence_links(soak, member, share, *values):
    """Silence the connections of peers to a daemon, at times only its answers."""
    member.link_proxy.go_silent(only_answers=share > 0.5)


def delay_links(soak, member, share, seconds, *values):
    """Hold up what peers and a daemon send each other."""
    member.link_proxy.delay = 0.3 * share
    time.sleep(0.5 + 4 * seconds)
    member.link_proxy.delay = 0.0


FAULTS = (
    *(stop, stop, stop, kill, kill, freeze, limit, limit, leave, change, fail_store),
    *(reset_backend, silence_backend, cut_store),
    *(rename, rename, answer_without_end, read_slowly),
    *(reset_links, silence_links, silence_links, delay_links),
)


def main(first: int = 1, count: int = 50, size: int = 4):
    """Run seeds one after the other."""
    is_broken = False
    for seed in range(first, first + count):
        soak = Soak(seed=seed, size=size)
        broken = soak.run()
        answered = sum(1 for record in soak.records if record.status == 200)
        print(
            f"seed {seed}: {len(soak.records)} requests, {answered} with 200, "
            f"broken: {len(broken)}{f', logs: {soak.folder}' if broken else ''}",
            flush=True,
        )
        for problem in broken[:20]:
            print(f"  {problem}", flush=True)
        is_broken = is_broken or bool(broken)
    raise typer.Exit(code=int(is_broken))


if __name__ == "__main__":
    typer.run(main)

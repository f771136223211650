"""Measures the latency that one daemon and two daemons add to a call.

A run takes turns between the direct path and the paths through daemons, and calls at
a constant rate. The histograms are corrected for coordinated omission.
"""

import http.client
import socket
import sys
import time
import typing

from hdrh import histogram

from jackdawlanding.emulator import fleet
from jackdawlanding.settings import declarations

FRONT_DECLARATION = """
service = "front"
calls = ["back"]

[[work]]
name = "read"
method = "GET"
path = "/*"
rank = 3
repeatable = true
"""
BACK_DECLARATION = FRONT_DECLARATION.replace('"front"', '"back"').replace(
    'calls = ["back"]', ""
)
MICROS_PER_SECOND = 1_000_000
ADDED_P99_TARGET_SECONDS = 0.00033
ROUNDS = 3


class Path(typing.NamedTuple):
    """One way to a backend server: the address to call and the request to send.

    ``host`` is the value of the header Host; ``headers`` holds further header lines,
    each with its line end; ``body_bytes`` is the length of the request's body.
    """

    name: str
    port: int
    address: str = "127.0.0.1"
    host: str = "back"
    target: str = "/x"
    headers: str = ""
    body_bytes: int = 0


class Latency(typing.NamedTuple):
    """Latency quantiles of one path in seconds, at ``rate`` calls per second."""

    path: str
    rate: float
    count: int
    p50: float
    p99: float
    p999: float


class EchoFleet(fleet.Fleet):
    """A fleet whose backend servers answer immediately."""

    def start_backend(self, node):
        """Start the echo server in place of the emulator's backend server."""
        command = [sys.executable, "-m", "bench.echo"]
        command += ["127.0.0.1", str(node.ports["backend"])]
        node.backend = self._start_process(command)


def start_fleet():
    """Return a fleet of a front and a back instance that isn't started yet."""
    plans = [
        fleet.ServicePlan(declaration=declarations.parse(text).ok, instances=1)
        for text in (FRONT_DECLARATION, BACK_DECLARATION)
    ]
    return EchoFleet(plans=plans)


def run(*, rates, seconds, progress=None):
    """Measure the daemons started by the emulator; return :class:`Latency` rows."""
    with start_fleet() as running_fleet:
        front, back = (
            running_fleet.list_nodes("front")[0],
            running_fleet.list_nodes("back")[0],
        )
        paths = (
            Path("direct", back.ports["backend"]),
            Path("one daemon", back.caller_port),
            Path("two daemons", front.ports["local"]),
        )
        return measure(paths, rates=rates, seconds=seconds, progress=progress)


def measure(paths, *, rates, seconds, progress=None):
    """Measure all paths at all rates; return :class:`Latency` rows.

    :param rates: calls per second.
    :param seconds: how long each path is measured at each rate.
    """
    rows = []
    for rate in rates:
        recorders = {path: make_recorder() for path in paths}
        for round_number in range(ROUNDS):
            for path in paths:
                if progress:
                    progress(f"{path.name} at {rate:g}/s", round_number, ROUNDS)
                call_at_rate(path, rate, seconds / ROUNDS, recorders[path])
        rows += [_summarize(path, rate, recorders[path]) for path in paths]
    return rows


def get_status(address, port, target):
    """Return the status of the answer to a GET request."""
    connection = http.client.HTTPConnection(address, port, timeout=2)
    try:
        connection.request("GET", target)
        return connection.getresponse().status
    finally:
        connection.close()


def compute_added(rows):
    """Return ``(path, rate, added p50, added p99)`` over the direct path."""
    direct = {row.rate: row for row in rows if row.path == "direct"}
    return [
        (
            row.path,
            row.rate,
            row.p50 - direct[row.rate].p50,
            row.p99 - direct[row.rate].p99,
        )
        for row in rows
        if row.path != "direct"
    ]


def make_recorder():
    """Return an empty histogram for microseconds, up to 10 seconds."""
    return histogram.HdrHistogram(1, 10 * MICROS_PER_SECOND, 3)


def call_at_rate(path, rate, seconds, recorder):
    """Call over one path at a constant rate and record each call's duration.

    :param rate: calls per second.
    :param recorder: a histogram of microseconds.
    :raises ConnectionError: the connection closed during a call.
    """
    request = format_request(path)
    interval = 1 / rate
    with socket.create_connection((path.address, path.port)) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Calls that warm up the path and aren't recorded.
        for _ in range(20):
            exchange(sock, request)
        due_at = time.perf_counter()
        for _ in range(int(seconds * rate)):
            due_at += interval
            time.sleep(max(0.0, due_at - time.perf_counter()))
            started_at = time.perf_counter()
            exchange(sock, request)
            duration_micros = int(
                (time.perf_counter() - started_at) * MICROS_PER_SECOND
            )
            recorder.record_corrected_value(
                max(1, duration_micros), int(interval * MICROS_PER_SECOND)
            )


def format_request(path):
    """Return the bytes of a request on a path."""
    method, length = "GET", ""
    if path.body_bytes:
        method, length = "POST", f"Content-Length: {path.body_bytes}\r\n"
    head = f"{method} {path.target} HTTP/1.1\r\nHost: {path.host}\r\n"
    return f"{head}{path.headers}{length}\r\n".encode() + bytes(path.body_bytes)


def exchange(sock, request):
    """Send a request to a path and wait for the answer of ``bench.echo``.

    :raises ConnectionError: the connection closed before the answer's end.
    """
    sock.sendall(request)
    answer = sock.recv(65536)
    # The answer of bench.echo ends with a body of 200 times "x".
    while len(answer) < 200 or not answer.endswith(b"x" * 8):
        data = sock.recv(65536)
        if not data:
            raise ConnectionError(
                "the connection closed before the answer's end; is the server running? "
                f"It began with {answer[:40]!r}."
            )
        answer += data


def _summarize(path, rate, recorder):
    p50, p99, p999 = (
        recorder.get_value_at_percentile(percentile) / MICROS_PER_SECOND
        for percentile in (50, 99, 99.9)
    )
    return Latency(
        path=path.name,
        rate=rate,
        count=recorder.get_total_count(),
        p50=p50,
        p99=p99,
        p999=p999,
    )


def format_table(rows):
    """Return the rows as lines of text."""
    lines = [f"{'path':<12} {'calls/s':>8} {'p50':>8} {'p99':>8} {'p99.9':>8}"]
    for row in rows:
        lines.append(
            f"{row.path:<12} {row.rate:>8g} {row.p50 * 1000:>6.3f}ms"
            f" {row.p99 * 1000:>6.3f}ms {row.p999 * 1000:>6.3f}ms"
        )
    for path, rate, p50, p99 in compute_added(rows):
        verdict = "within" if p99 <= ADDED_P99_TARGET_SECONDS else "over"
        lines.append(
            f"added by {path} at {rate:g}/s: p50 {p50 * 1000:.3f} ms, "
            f"p99 {p99 * 1000:.3f} ms ({verdict} 0.33 ms)"
        )
    return lines

"""Measures how a daemon's costs grow, on one computer and beside fake peers."""

import os
import pathlib
import re
import statistics
import threading
import time
import tracemalloc
import typing

from bench import fakes, latencies
from jackdawlanding.decisions import keys
from jackdawlanding.emulator import fleet
from jackdawlanding.settings import declarations

INSTANCE_COUNTS = (5, 35, 100, 200)
CALL_RATES = (0, 100, 200, 400)
PUBLICATION_RATES = (0.0, 1.0, 4.0)
KEY_COUNTS = (0, 20_000, 50_000, 100_000)
WINDOW_SECONDS = 8.0
WARM_UP_SECONDS = 6.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Slope(typing.NamedTuple):
    """A line fitted to measured points: ``quantity`` over ``over``.

    ``residual`` is the largest distance of a point's value from the line.
    """

    quantity: str
    over: str
    slope: float
    intercept: float
    residual: float
    points: list


class Cost(typing.NamedTuple):
    """Costs of a daemon process over a window of time.

    ``cpu`` is a share of one core; ``memory`` is resident bytes; the others are rates
    per second.
    """

    cpu: float
    memory: float
    messages: float
    control_bytes: float
    platform_reads: float


def fit(quantity, over, points):
    """Return the least-squares :class:`Slope` of ``(x, y)`` points."""
    xs, ys = zip(*points, strict=True)
    line = statistics.linear_regression(xs, ys)
    residual = max(abs(y - line.slope * x - line.intercept) for x, y in points)
    return Slope(quantity, over, line.slope, line.intercept, residual, list(points))


def measure_keys():
    """Return the slope of memory over stored once-only keys."""
    points = []
    for count in KEY_COUNTS:
        tracemalloc.start()
        ledger = keys.KeyLedger(horizon=900.0, capacity=count + 1)
        for number in range(count):
            ledger.begin(now=float(number % 800), key=number.to_bytes(16, "big"))
        points.append((count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
    return [fit("memory", "keys", points)]


def measure_instances(progress=None):
    """Return the slopes of a daemon's costs over instances of its service."""
    costs = []
    for count in INSTANCE_COUNTS:
        if progress:
            progress("instances", count, INSTANCE_COUNTS[-1])
        costs.append((count + 1, _measure_beside_fakes(count)))
    return _fit_all("instances", costs)


def measure_calls(progress=None):
    """Return the slopes of a daemon's costs over calls per second from callers."""
    costs = []
    with latencies.start_fleet() as running_fleet:
        node = running_fleet.list_nodes("back")[0]
        for rate in CALL_RATES:
            if progress:
                progress("calls a second", rate, CALL_RATES[-1])
            costs.append((rate, _measure_load(running_fleet, node, rate)))
    return _fit_all("calls a second", costs)


def measure_publications(progress=None):
    """Return the slopes of a daemon's costs over publications per second."""
    costs = []
    with latencies.start_fleet() as running_fleet:
        node = running_fleet.list_nodes("back")[0]
        version = 1
        for rate in PUBLICATION_RATES:
            if progress:
                progress("publications a second", rate, PUBLICATION_RATES[-1])
            stop_event = threading.Event()

            def publish(rate=rate, stop_event=stop_event):
                nonlocal version
                while rate and not stop_event.wait(1 / rate):
                    version += 1
                    running_fleet.publish("back", version=version)

            thread = threading.Thread(target=publish)
            thread.start()
            costs.append((rate, _measure_window(running_fleet, node)))
            stop_event.set()
            thread.join()
    return _fit_all("publications a second", costs)


def run(progress=None):
    """Measure all slopes; return them as :class:`Slope` objects."""
    return [
        *measure_keys(),
        *measure_instances(progress),
        *measure_calls(progress),
        *measure_publications(progress),
    ]


def _fit_all(over, costs):
    return [
        fit(quantity, over, [(x, getattr(cost, quantity)) for x, cost in costs])
        for quantity in Cost._fields
    ]


def _measure_beside_fakes(count):
    plan = fleet.ServicePlan(
        declaration=declarations.parse(latencies.BACK_DECLARATION).ok, instances=1
    )
    running_fleet = latencies.EchoFleet(plans=[plan], flags=("--threads=64",))
    fake_peers = fakes.FakePeers(service="back", count=count)
    fake_peers.start()
    for entry in fake_peers.platform_entries:
        running_fleet.platform.list_instance("back", entry)
    try:
        with running_fleet:
            time.sleep(WARM_UP_SECONDS)
            return _measure_window(running_fleet, running_fleet.list_nodes("back")[0])
    finally:
        fake_peers.stop()


def _measure_load(running_fleet, node, rate):
    if not rate:
        return _measure_window(running_fleet, node)
    path = latencies.Path("load", node.caller_port)
    # The load lasts longer than the window, which starts 1 s after it.
    seconds = WINDOW_SECONDS + 2
    thread = threading.Thread(
        target=latencies.call_at_rate,
        args=(path, rate, seconds, latencies.make_recorder()),
    )
    thread.start()
    time.sleep(1)
    cost = _measure_window(running_fleet, node)
    thread.join()
    return cost


def _measure_window(running_fleet, node):
    before, started_at = _read_counters(running_fleet, node), time.monotonic()
    time.sleep(WINDOW_SECONDS)
    after, seconds = _read_counters(running_fleet, node), time.monotonic() - started_at
    rates = [(end - start) / seconds for start, end in zip(before, after, strict=True)]
    return Cost(
        cpu=rates[0],
        memory=_read_memory(node.daemon.pid),
        messages=rates[1],
        control_bytes=rates[2],
        platform_reads=rates[3],
    )


def _read_counters(running_fleet, node):
    """Return CPU seconds, control messages, control bytes and platform reads so far."""
    metrics = running_fleet.read_text(node.ports["admin"], "/metrics")
    return (
        _read_cpu(node.daemon.pid),
        _read_event_count(metrics, "control_messages_out"),
        _read_event_count(metrics, "control_bytes_out"),
        _read_event_count(metrics, "platform_reads"),
    )


def _read_event_count(metrics, name):
    match = re.search(rf'jackdaw_events_total{{event="{name}"}} (\S+)', metrics)
    return float(match[1]) if match else 0.0


def _read_cpu(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def _read_memory(pid):
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES

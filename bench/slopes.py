"""Slopes of a daemon's costs, measured on one machine with small fakes."""

import os
import pathlib
import re
import statistics
import threading
import time
import tracemalloc
import typing

from bench import fakes, latency
from jackdawlanding.decisions import keys
from jackdawlanding.emulator import fleet
from jackdawlanding.settings import declarations

INSTANCE_COUNTS = (5, 35, 100, 200)
CALL_RATES = (0, 100, 200, 400)
PUBLICATION_RATES = (0.0, 1.0, 4.0)
KEY_COUNTS = (0, 20_000, 50_000, 100_000)
WINDOW_SECONDS = 8.0
SETTLE_SECONDS = 6.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS = os.sysconf("SC_CLK_TCK")


class Slope(typing.NamedTuple):
    """A fitted line: ``quantity`` over ``over`` with its largest residual."""

    quantity: str
    over: str
    slope: float
    intercept: float
    residual: float
    points: list


class Cost(typing.NamedTuple):
    """What a daemon process cost over a window.

    ``cpu`` is a share of one core; ``memory`` is resident bytes; the others
    are a second.
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
    """Return the slope of memory over remembered once-only keys."""
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
        costs.append((count + 1, _run_beside_fakes(count)))
    return _fit_all("instances", costs)


def measure_calls(progress=None):
    """Return the slopes of an entry daemon's costs over calls a second."""
    costs = []
    with latency.start_fleet() as running:
        node = running.list_nodes("back")[0]
        for rate in CALL_RATES:
            if progress:
                progress("calls a second", rate, CALL_RATES[-1])
            costs.append((rate, _measure_load(running, node, rate)))
    return _fit_all("calls a second", costs)


def measure_publications(progress=None):
    """Return the slopes of a daemon's costs over publications a second."""
    costs = []
    with latency.start_fleet() as running:
        node = running.list_nodes("back")[0]
        version = 1
        for rate in PUBLICATION_RATES:
            if progress:
                progress("publications a second", rate, PUBLICATION_RATES[-1])
            stopped = threading.Event()

            def publish(rate=rate, stopped=stopped):
                nonlocal version
                while rate and not stopped.wait(1 / rate):
                    version += 1
                    running.publish("back", version=version)

            thread = threading.Thread(target=publish)
            thread.start()
            costs.append((rate, _measure_window(running, node)))
            stopped.set()
            thread.join()
    return _fit_all("publications a second", costs)


def run(progress=None):
    """Measure all slopes."""
    return [
        *measure_keys(),
        *measure_instances(progress),
        *measure_calls(progress),
        *measure_publications(progress),
    ]


def _fit_all(over, costs):
    return [
        fit(name, over, [(x, getattr(cost, name)) for x, cost in costs])
        for name in Cost._fields
    ]


def _run_beside_fakes(count):
    plan = fleet.ServicePlan(
        declaration=declarations.parse(latency.BACK).ok, instances=1
    )
    running = latency.EchoFleet(plans=[plan], flags=("--threads=64",))
    others = fakes.FakePeers(service="back", count=count)
    others.start()
    for entry in others.entries:
        running.platform.list_instance("back", entry)
    try:
        with running:
            time.sleep(SETTLE_SECONDS)
            return _measure_window(running, running.list_nodes("back")[0])
    finally:
        others.stop()


def _measure_load(running, node, rate):
    if not rate:
        return _measure_window(running, node)
    path = latency.Path("load", node.caller_port)
    seconds = WINDOW_SECONDS + 2
    thread = threading.Thread(
        target=latency.load,
        args=(path, rate, seconds, latency.make_recorder()),
    )
    thread.start()
    time.sleep(1)
    cost = _measure_window(running, node)
    thread.join()
    return cost


def _measure_window(running, node):
    before, began = _sample(running, node), time.monotonic()
    time.sleep(WINDOW_SECONDS)
    after, seconds = _sample(running, node), time.monotonic() - began
    rates = [(y - x) / seconds for x, y in zip(before, after, strict=True)]
    return Cost(
        cpu=rates[0],
        memory=_read_memory(node.daemon.pid),
        messages=rates[1],
        control_bytes=rates[2],
        platform_reads=rates[3],
    )


def _sample(running, node):
    """Return processor seconds, control messages, bytes and platform reads."""
    text = running.read_text(node.ports["admin"], "/metrics")
    return (
        _read_cpu(node.daemon.pid),
        _read_event(text, "control_messages_out"),
        _read_event(text, "control_bytes_out"),
        _read_event(text, "platform_reads"),
    )


def _read_event(text, name):
    found = re.search(rf'jackdaw_events_total{{event="{name}"}} (\S+)', text)
    return float(found[1]) if found else 0.0


def _read_cpu(process):
    fields = pathlib.Path(f"/proc/{process}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS


def _read_memory(process):
    pages = pathlib.Path(f"/proc/{process}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES

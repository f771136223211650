"""Measures the processor time that a call takes in each mesh daemon on its way.

The first daemon takes the calls from callers, the second one executes them.
"""

import concurrent.futures
import os
import pathlib
import re
import socket
import typing

from bench import latencies, mesh

CONNECTIONS = 8
WARM_UP_CALLS = 400
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class CallCost(typing.NamedTuple):
    """Processor time of a call in one daemon, in seconds, over ``calls`` calls.

    ``peak_bytes`` is the most memory that the daemon has had.
    """

    daemon: str
    calls: int
    seconds: float
    peak_bytes: int


def run(*, calls, body_bytes=0):
    """Send calls through two daemons; return a :class:`CallCost` for each daemon.

    :param body_bytes: the length of the requests' bodies.
    """
    with mesh.Fleet() as fleet:
        path = fleet.list_paths(body_bytes=body_bytes)[-1]
        _call(path, WARM_UP_CALLS)
        before = {
            service: read_processor_seconds(pid) for service, pid in fleet.pids.items()
        }
        _call(path, calls)
        return [
            CallCost(
                daemon=service,
                calls=calls,
                seconds=(read_processor_seconds(pid) - before[service]) / calls,
                peak_bytes=read_peak_bytes(pid),
            )
            for service, pid in fleet.pids.items()
        ]


def read_processor_seconds(pid):
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_peak_bytes(pid):
    """Return the most resident memory that a process has had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) << 10


def format_table(costs):
    """Return the costs as lines of text."""
    return [
        f"{cost.daemon:<8} {cost.calls:>7} calls {cost.seconds * 1e6:>8.1f} us a call"
        f" {cost.peak_bytes / 1e6:>7.1f} MB at most"
        for cost in costs
    ]


def _call(path, calls):
    with concurrent.futures.ThreadPoolExecutor(CONNECTIONS) as pool:
        futures = [
            pool.submit(_call_in_turn, path, calls // CONNECTIONS)
            for _ in range(CONNECTIONS)
        ]
    for future in futures:
        future.result()


def _call_in_turn(path, calls):
    request = latencies.format_request(path)
    with socket.create_connection((path.address, path.port)) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(calls):
            latencies.exchange(sock, request)

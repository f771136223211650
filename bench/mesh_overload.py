"""Measures goodput while the least urgent work overloads a backend server of a mesh."""

import typing

from bench import mesh
from jackdawlanding.emulator import caller

SLOTS = 17
SERVICE_SECONDS = 0.25
# Requests per second on the slots that the daemon lets its backend server use: at least
# a share of 0.06 of all slots stays free.
CAPACITY_PER_SECOND = 15 / SERVICE_SECONDS
URGENT_SHARE = 0.2
PATIENCE_SECONDS = 2.0
BEFORE_SECONDS = 5.0
FLOOD_SECONDS = 8.0
AFTER_SECONDS = 5.0
# Requests are counted at their arrival and wait up to their patience. Those that
# arrive near an edge of the flood may be served outside it, so that goodput in the
# flood leaves out this much at each edge.
EDGE_SECONDS = PATIENCE_SECONDS
# Least goodput in the flood, as a share of the goodput at a load of one capacity.
GOODPUT_SHARE_TARGET = 0.9


class Result(typing.NamedTuple):
    """Goodput before, during and after a flood, and the share of urgent work served.

    Goodput is requests per second that were answered in full; ``load`` is the load
    during the flood, as a multiple of the capacity.
    """

    load: float
    before: float
    during: float
    after: float
    urgent_share: float

    @property
    def share(self):
        """Goodput during the flood over goodput before it."""
        return self.during / self.before if self.before else 0.0


def run(*, load, progress=None):
    """Load a mesh with ``load`` times its capacity; return a :class:`Result`."""
    with mesh.Fleet(slots=SLOTS, service_seconds=SERVICE_SECONDS) as fleet:
        kinds = _make_caller_kinds(fleet, load)
        seconds = BEFORE_SECONDS + FLOOD_SECONDS + AFTER_SECONDS
        tallies = caller.Load(kinds=kinds).run(
            seconds,
            on_second=lambda second: progress and progress("flood", second, seconds),
        )
    end = BEFORE_SECONDS + FLOOD_SECONDS
    offered, whole = tallies["orders"].count_between(BEFORE_SECONDS, end)
    return Result(
        load=load,
        before=_compute_goodput(tallies, 1.0, BEFORE_SECONDS),
        during=_compute_goodput(
            tallies, BEFORE_SECONDS + EDGE_SECONDS, end - EDGE_SECONDS
        ),
        after=_compute_goodput(tallies, end, seconds),
        urgent_share=whole / offered if offered else 1.0,
    )


def format_result(result):
    """Return the result as lines of text."""
    verdict = "met" if result.share >= GOODPUT_SHARE_TARGET else "missed"
    return [
        f"load {result.load:g}: {result.before:.0f} whole requests/s before, "
        f"{result.during:.0f} in the flood, {result.after:.0f} after it",
        f"share {result.share:.2f}, target {GOODPUT_SHARE_TARGET:g} {verdict}; "
        f"urgent work served {result.urgent_share:.3f}",
    ]


def _make_caller_kinds(fleet, load):
    address, port = fleet.caller_address
    base_load, flood_load = 1 - URGENT_SHARE, load - URGENT_SHARE

    def compute_browsing_rate(at):
        is_flood = BEFORE_SECONDS <= at < BEFORE_SECONDS + FLOOD_SECONDS
        return CAPACITY_PER_SECOND * (flood_load if is_flood else base_load)

    common_fields = {
        "address": address,
        "ports": (port,),
        "method": "GET",
        "patience": PATIENCE_SECONDS,
        "resends": 1,
        "pause": 0.3,
        "make_headers": mesh.make_headers,
    }
    return [
        caller.Kind(
            name="orders",
            rank=0,
            target="/orders/x",
            rate=lambda at: CAPACITY_PER_SECOND * URGENT_SHARE,
            threads=64,
            **common_fields,
        ),
        caller.Kind(
            name="browsing",
            rank=3,
            target="/browsing/x",
            rate=compute_browsing_rate,
            threads=192,
            **common_fields,
        ),
    ]


def _compute_goodput(tallies, start, end):
    whole = sum(tally.count_between(start, end)[1] for tally in tallies.values())
    return whole / (end - start)

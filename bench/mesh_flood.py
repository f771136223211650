"""Goodput of a mesh while the least urgent work floods one backend server."""

import typing

from bench import mesh
from jackdawlanding.emulator import caller

SLOTS = 17
SERVICE_SECONDS = 0.25
# Slots that the daemon lets its backend server use, 0.06 of them staying free.
CAPACITY = 15 / SERVICE_SECONDS
URGENT_SHARE = 0.2
PATIENCE_SECONDS = 2.0
BEFORE_SECONDS = 5.0
FLOOD_SECONDS = 8.0
AFTER_SECONDS = 5.0
# Requests count by when they arrived, and may wait so long: what arrives at the
# flood's edges is served before or after it.
EDGE_SECONDS = PATIENCE_SECONDS
# Of the goodput at a load of one capacity, the least that must be left in a flood.
TARGET_SHARE = 0.9


class Result(typing.NamedTuple):
    """Whole requests a second before, in and after a flood, and the urgent share."""

    load: float
    before: float
    during: float
    after: float
    urgent_share: float

    @property
    def share(self):
        """Goodput in the flood over goodput before it."""
        return self.during / self.before if self.before else 0.0


def run(*, load, progress=None):
    """Flood a mesh to ``load`` times its capacity; return a :class:`Result`."""
    with mesh.Fleet(slots=SLOTS, service_seconds=SERVICE_SECONDS) as fleet:
        kinds = _make_kinds(fleet, load)
        seconds = BEFORE_SECONDS + FLOOD_SECONDS + AFTER_SECONDS
        tallies = caller.Load(kinds=kinds).run(
            seconds, on_second=lambda at: progress and progress("flood", at, seconds)
        )
    end = BEFORE_SECONDS + FLOOD_SECONDS
    offered, whole = tallies["orders"].count_between(BEFORE_SECONDS, end)
    return Result(
        load=load,
        before=_rate(tallies, 1.0, BEFORE_SECONDS),
        during=_rate(tallies, BEFORE_SECONDS + EDGE_SECONDS, end - EDGE_SECONDS),
        after=_rate(tallies, end, seconds),
        urgent_share=whole / offered if offered else 1.0,
    )


def format_result(result):
    """Return the result as lines of text."""
    verdict = "met" if result.share >= TARGET_SHARE else "missed"
    return [
        f"load {result.load:g}: {result.before:.0f} whole requests/s before, "
        f"{result.during:.0f} in the flood, {result.after:.0f} after it",
        f"share {result.share:.2f}, target {TARGET_SHARE:g} {verdict}; "
        f"urgent work served {result.urgent_share:.3f}",
    ]


def _make_kinds(fleet, load):
    address, port = fleet.entry
    calm, flood = 1 - URGENT_SHARE, load - URGENT_SHARE

    def rate(at):
        is_flood = BEFORE_SECONDS <= at < BEFORE_SECONDS + FLOOD_SECONDS
        return CAPACITY * (flood if is_flood else calm)

    common = {
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
            rate=lambda at: CAPACITY * URGENT_SHARE,
            threads=64,
            **common,
        ),
        caller.Kind(
            name="browsing",
            rank=3,
            target="/browsing/x",
            rate=rate,
            threads=192,
            **common,
        ),
    ]


def _rate(tallies, start, end):
    whole = sum(one.count_between(start, end)[1] for one in tallies.values())
    return whole / (end - start)

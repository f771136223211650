"""Overload and recovery, with decisions on and with a pass-through daemon."""

import collections
import typing

from bench import deployments
from jackdawlanding.emulator import caller

MODES = {"decisions": False, "pass-through": True}


class Plan(typing.NamedTuple):
    """An experiment: calm seconds, a trigger, and calm seconds after it.

    :param flow: the flow that makes up the load.
    :param calm_load: all flows together, as a multiple of the capacity.
    :param peak_load: the same while the trigger lasts.
    :param slowdown: of the deep service while the trigger lasts.
    :param resends: how often a caller sends a failed request again.
    """

    flow: str
    before: float = 4.0
    trigger: float = 6.0
    after: float = 5.0
    calm_load: float = 0.5
    peak_load: float = 0.5
    slowdown: float = 1.0
    resends: int = 3

    @property
    def seconds(self):
        """The whole length in seconds."""
        return self.before + self.trigger + self.after

    @property
    def end(self):
        """When the trigger ends, in seconds since the start."""
        return self.before + self.trigger


class FlowResult(typing.NamedTuple):
    """What became of one flow while the trigger lasted."""

    name: str
    rank: int
    offered: float
    whole: float
    share: float
    p50: float
    p99: float


class Result(typing.NamedTuple):
    """One run: flows, goodput before, during and after, and what it cost.

    Rates are a second; ``recovery`` is seconds from the trigger's end until
    goodput is back at 0.95 of before, ``None`` if it never was.
    """

    mode: str
    flows: tuple
    goodput_before: float
    goodput_during: float
    goodput_after: float
    recovery: float | None
    attempts: int
    requests: int
    backend_starts: int
    wasted_share: float
    run_twice: int
    wrong: int
    refusals: dict


def run(deployment, plan, mode, *, progress=None):
    """Run one experiment in one mode; return its :class:`Result`."""
    with deployments.make_fleet(deployment, pass_through=MODES[mode]) as running:
        calm = deployments.find_factor(deployment, plan.flow, plan.calm_load)
        peak = deployments.find_factor(deployment, plan.flow, plan.peak_load)
        factors = {plan.flow: lambda at: peak if plan.before <= at < plan.end else calm}
        kinds = deployments.make_kinds(
            deployment, running, factors=factors, resends=plan.resends
        )
        load = caller.Load(kinds=kinds)

        def tell(second):
            if plan.slowdown > 1:
                _slow(running, deployment, plan, second)
            if progress:
                progress(mode, second, plan.seconds)

        tallies = load.run(plan.seconds, on_second=tell)
        return _collect(deployment, plan, mode, running, tallies)


def _slow(running, deployment, plan, second):
    if second in (int(plan.before), int(plan.end)):
        factor = plan.slowdown if second == int(plan.before) else 1.0
        for node in running.list_nodes(deployment.deep):
            running.slow_down(node, factor)


def _collect(deployment, plan, mode, running, tallies):
    counters = [running.read_backend(one) or {} for one in running.nodes.values()]
    runs = collections.Counter()
    for one in counters:
        runs.update(one.get("runs", {}))
    starts = sum(one.get("started", 0) for one in counters)
    whole = sum(one.whole for one in tallies.values())
    # Each whole request needs one run at its entry and one at the deep service.
    useful = 2 * whole
    refusals = collections.Counter()
    for one in tallies.values():
        refusals.update(one.refusals)
    return Result(
        mode=mode,
        flows=tuple(
            _measure_flow(flow, plan, tallies[flow.name]) for flow in deployment.flows
        ),
        goodput_before=_rate(tallies, 1.0, plan.before),
        goodput_during=_rate(tallies, plan.before, plan.end),
        goodput_after=_rate(tallies, plan.end, plan.seconds),
        recovery=_find_recovery(tallies, plan),
        attempts=sum(one.attempts for one in tallies.values()),
        requests=sum(one.offered for one in tallies.values()),
        backend_starts=starts,
        wasted_share=max(0.0, 1 - useful / starts) if starts else 0.0,
        run_twice=sum(1 for count in runs.values() if count > 1),
        wrong=sum(one.wrong for one in tallies.values()),
        refusals=dict(refusals),
    )


def _measure_flow(flow, plan, tally):
    offered, whole = tally.count_between(plan.before, plan.end)
    return FlowResult(
        name=flow.name,
        rank=flow.rank,
        offered=offered / plan.trigger,
        whole=whole / plan.trigger,
        share=whole / offered if offered else 1.0,
        p50=tally.latency.get_value_at_percentile(50) / caller.MICROS_PER_SECOND,
        p99=tally.latency.get_value_at_percentile(99) / caller.MICROS_PER_SECOND,
    )


def _rate(tallies, start, end):
    whole = sum(one.count_between(start, end)[1] for one in tallies.values())
    return whole / (end - start)


def _find_recovery(tallies, plan, *, window=0.5):
    """Return seconds until arrivals are served again as before, for good."""
    before = _share(tallies, 1.0, plan.before)
    start = plan.end
    recovered = None
    while start + window <= plan.seconds:
        is_back = _share(tallies, start, start + window) >= 0.95 * before
        if is_back and recovered is None:
            recovered = start - plan.end
        elif not is_back:
            recovered = None
        start += window
    return recovered


def _share(tallies, start, end):
    counts = [one.count_between(start, end) for one in tallies.values()]
    offered = sum(one for one, _ in counts)
    return sum(whole for _, whole in counts) / offered if offered else 1.0


def format_table(results):
    """Return the results as lines of text, modes side by side."""
    head = f"{'rank':>4} {'flow':<20} {'offered/s':>9}"
    for result in results:
        head += f" | {result.mode:>12}: whole/s  share    p50    p99"
    lines = [head]
    for rows in zip(*(result.flows for result in results), strict=True):
        line = f"{rows[0].rank:>4} {rows[0].name:<20} {rows[0].offered:>9.1f}"
        for row in rows:
            line += (
                f" | {row.whole:>21.1f} {row.share:>6.3f}"
                f" {row.p50 * 1000:>4.0f}ms {row.p99 * 1000:>4.0f}ms"
            )
        lines.append(line)
    for result in results:
        recovery = "never" if result.recovery is None else f"{result.recovery:.1f} s"
        lines.append(
            f"{result.mode}: goodput {result.goodput_before:.0f} before, "
            f"{result.goodput_during:.0f} during, {result.goodput_after:.0f} after "
            f"the trigger (whole requests/s); back at 0.95 after {recovery}; "
            f"{result.attempts / max(1, result.requests):.2f} sends a request; "
            f"{result.wasted_share:.0%} of backend runs wasted; "
            f"{result.run_twice} keys run twice; {result.wrong} wrong answers"
        )
        lines.append(f"{result.mode}: not whole, by reason: {result.refusals}")
    return lines

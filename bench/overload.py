"""Measures overload and recovery, with decisions and with pass-through daemons."""

import collections
import typing

from bench import deployments
from jackdawlanding.emulator import caller

# By mode, whether the daemons pass calls through without any decisions.
MODES = {"decisions": False, "pass-through": True}


class Plan(typing.NamedTuple):
    """An experiment: a trigger, with a base load before and after it.

    :param flow: the flow that makes up the load.
    :param base_load: the base load of all flows, as a multiple of the capacity.
    :param peak_load: the same during the trigger.
    :param slowdown: factor on the deep service's service time during the trigger.
    :param resends: how often a caller sends a failed request again.
    """

    flow: str
    before: float = 4.0
    trigger: float = 6.0
    after: float = 5.0
    base_load: float = 0.5
    peak_load: float = 0.5
    slowdown: float = 1.0
    resends: int = 3

    @property
    def seconds(self):
        """Length of the whole experiment, in seconds."""
        return self.before + self.trigger + self.after

    @property
    def end(self):
        """End of the trigger, in seconds since the start."""
        return self.before + self.trigger


class FlowResult(typing.NamedTuple):
    """Outcome of one flow during the trigger.

    ``offered`` is the requests that arrived, ``whole`` those answered in full and
    correctly, both per second; ``share`` is ``whole`` over ``offered``.
    ``p50`` and ``p99`` are latencies of the whole requests of the entire run, in
    seconds.
    """

    name: str
    rank: int
    offered: float
    whole: float
    share: float
    p50: float
    p99: float


class Result(typing.NamedTuple):
    """Outcome of one run: flows, goodput before, during and after, and its cost.

    Goodput is whole requests per second. ``recovery`` is the seconds from the end of
    the trigger until the share of whole requests stays at 0.95 of the earlier share
    or above, ``None`` if it doesn't. ``attempts`` counts the sends of
    ``requests``, ``run_twice`` the keys that ran more than once, ``wrong`` the answers
    to another request. ``wasted_share`` is the share of backend runs that no whole
    request needed.
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
    with deployments.make_fleet(deployment, pass_through=MODES[mode]) as running_fleet:
        base_factor = deployments.compute_rate_factor(
            deployment, plan.flow, plan.base_load
        )
        peak_factor = deployments.compute_rate_factor(
            deployment, plan.flow, plan.peak_load
        )
        factors = {
            plan.flow: lambda at: (
                peak_factor if plan.before <= at < plan.end else base_factor
            )
        }
        kinds = deployments.make_caller_kinds(
            deployment, running_fleet, factors=factors, resends=plan.resends
        )
        load = caller.Load(kinds=kinds)

        def on_second(second):
            if plan.slowdown > 1:
                _apply_slowdown(running_fleet, deployment, plan, second)
            if progress:
                progress(mode, second, plan.seconds)

        tallies = load.run(plan.seconds, on_second=on_second)
        return _collect_result(deployment, plan, mode, running_fleet, tallies)


def _apply_slowdown(running_fleet, deployment, plan, second):
    if second in (int(plan.before), int(plan.end)):
        factor = plan.slowdown if second == int(plan.before) else 1.0
        for node in running_fleet.list_nodes(deployment.deep):
            running_fleet.slow_down(node, factor)


def _collect_result(deployment, plan, mode, running_fleet, tallies):
    counters = [
        running_fleet.read_backend(node) or {} for node in running_fleet.nodes.values()
    ]
    runs = collections.Counter()
    for counter in counters:
        runs.update(counter.get("runs", {}))
    starts = sum(counter.get("started", 0) for counter in counters)
    whole = sum(tally.whole for tally in tallies.values())
    # A whole request needs one run at a front service and one at the deep service.
    useful = 2 * whole
    refusals = collections.Counter()
    for tally in tallies.values():
        refusals.update(tally.refusals)
    return Result(
        mode=mode,
        flows=tuple(
            _measure_flow(flow, plan, tallies[flow.name]) for flow in deployment.flows
        ),
        goodput_before=_compute_goodput(tallies, 1.0, plan.before),
        goodput_during=_compute_goodput(tallies, plan.before, plan.end),
        goodput_after=_compute_goodput(tallies, plan.end, plan.seconds),
        recovery=_compute_recovery_seconds(tallies, plan),
        attempts=sum(tally.attempts for tally in tallies.values()),
        requests=sum(tally.offered for tally in tallies.values()),
        backend_starts=starts,
        wasted_share=max(0.0, 1 - useful / starts) if starts else 0.0,
        run_twice=sum(1 for count in runs.values() if count > 1),
        wrong=sum(tally.wrong for tally in tallies.values()),
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


def _compute_goodput(tallies, start, end):
    whole = sum(tally.count_between(start, end)[1] for tally in tallies.values())
    return whole / (end - start)


def _compute_recovery_seconds(tallies, plan, *, window=0.5):
    """Return the seconds from the trigger's end until the whole share is back.

    It is back where it stays at 0.95 of the share before the trigger or above until
    the end of the run; return ``None`` where it isn't.
    """
    before = _compute_whole_share(tallies, 1.0, plan.before)
    start = plan.end
    recovered = None
    while start + window <= plan.seconds:
        is_recovered = (
            _compute_whole_share(tallies, start, start + window) >= 0.95 * before
        )
        if is_recovered and recovered is None:
            recovered = start - plan.end
        elif not is_recovered:
            recovered = None
        start += window
    return recovered


def _compute_whole_share(tallies, start, end):
    counts = [tally.count_between(start, end) for tally in tallies.values()]
    offered = sum(arrived for arrived, _ in counts)
    return sum(whole for _, whole in counts) / offered if offered else 1.0


def format_table(results):
    """Return the results as lines of text, with the modes side by side."""
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

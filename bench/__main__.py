"""The command line of the experiments."""

import json
import pathlib
import sys
import typing

import typer

from bench import (
    call_costs,
    capacity_table,
    cost_slopes,
    deployments,
    latencies,
    mesh,
    mesh_cost_slopes,
    mesh_overload,
    overload,
)
from jackdawlanding import exceptions

application = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Experiments over the loopback interface, bounded in count and time.",
)
DeploymentName = typing.Annotated[str, typer.Option(help="plovdiv or bolgatanga.")]
# In calls per second: a daemon's share at the fleet size to design for, and ten times
# that.
CALL_RATES = [55, 550]
BodyBytes = typing.Annotated[
    int, typer.Option(help="Length of the requests' bodies, in bytes.")
]
Output = typing.Annotated[
    pathlib.Path | None,
    typer.Option("--json", help="Also write the results to this file, as JSON."),
]


def _show_progress(label, done, total):
    print(f"\r{label}: {done:>3} of {total:.0f} ", end="", file=sys.stderr)


def _run_modes(deployment, plan, output):
    results = []
    for mode in overload.MODES:
        results.append(overload.run(deployment, plan, mode, progress=_show_progress))
        print(file=sys.stderr)
    print("\n".join(overload.format_table(results)))
    data = [
        {**result._asdict(), "flows": [flow._asdict() for flow in result.flows]}
        for result in results
    ]
    _write_json(output, data)


@application.command()
def demo(deployment: DeploymentName = "plovdiv", output: Output = None):
    """Overload a small deployment, with decisions and with a pass-through daemon."""
    chosen = deployments.get(deployment)
    print(
        f"{chosen.name}: a flood of {chosen.calm} to three times the capacity, for 6 s"
    )
    _run_modes(chosen, overload.Plan(flow=chosen.calm, peak_load=3.0), output)


@application.command()
def flood(
    deployment: DeploymentName = "plovdiv",
    load: typing.Annotated[
        float, typer.Option(help="Peak load, as a multiple of the capacity.")
    ] = 3.0,
    urgent: typing.Annotated[
        bool, typer.Option(help="Overload with the most urgent flow.")
    ] = False,
    output: Output = None,
):
    """Overload with the least or the most urgent flow, from a load of one capacity."""
    chosen = deployments.get(deployment)
    flow = chosen.urgent if urgent else chosen.calm
    print(f"{chosen.name}: a flood of {flow} to {load:g} times the capacity")
    plan = overload.Plan(flow=flow, base_load=1.0, peak_load=load, resends=2)
    _run_modes(chosen, plan, output)


@application.command()
def recover(deployment: DeploymentName = "plovdiv", output: Output = None):
    """Slow the deep service tenfold for 5 s and measure how goodput recovers."""
    chosen = deployments.get(deployment)
    print(f"{chosen.name}: {chosen.deep} is ten times slower for 5 s")
    plan = overload.Plan(
        flow=chosen.calm,
        before=5,
        trigger=5,
        after=10,
        base_load=0.7,
        peak_load=0.7,
        slowdown=10,
    )
    _run_modes(chosen, plan, output)


@application.command()
def latency(
    seconds: typing.Annotated[
        float, typer.Option(help="Seconds of calls on each path.")
    ] = 15,
    rate: typing.Annotated[
        list[float] | None, typer.Option(help="Calls per second; repeatable.")
    ] = None,
    output: Output = None,
):
    """Measure the latency that one and two daemons add."""
    rows = latencies.run(
        rates=rate or CALL_RATES, seconds=seconds, progress=_show_progress
    )
    _print_latencies(rows, output)


@application.command()
def mesh_latency(
    seconds: typing.Annotated[
        float, typer.Option(help="Seconds of calls on each path.")
    ] = 15,
    rate: typing.Annotated[
        list[float] | None, typer.Option(help="Calls per second; repeatable.")
    ] = None,
    body_bytes: BodyBytes = 0,
    output: Output = None,
):
    """Measure the latency that one and two mesh daemons add."""
    with mesh.Fleet() as fleet:
        rows = latencies.measure(
            fleet.list_paths(body_bytes=body_bytes),
            rates=rate or CALL_RATES,
            seconds=seconds,
            progress=_show_progress,
        )
    _print_latencies(rows, output)


def _print_latencies(rows, output):
    print(file=sys.stderr)
    print("\n".join(latencies.format_table(rows)))
    _write_json(output, [row._asdict() for row in rows])


@application.command()
def mesh_cost(
    calls: typing.Annotated[int, typer.Option(help="How many calls.")] = 8000,
    body_bytes: BodyBytes = 0,
    output: Output = None,
):
    """Measure the processor time of a call in each of two mesh daemons."""
    costs = call_costs.run(calls=calls, body_bytes=body_bytes)
    print("\n".join(call_costs.format_table(costs)))
    _write_json(output, [cost._asdict() for cost in costs])


@application.command()
def mesh_flood(
    load: typing.Annotated[
        float, typer.Option(help="Peak load, as a multiple of the capacity.")
    ] = 10.0,
    output: Output = None,
):
    """Overload a mesh with its least urgent work, from a load of one capacity."""
    result = mesh_overload.run(load=load, progress=_show_progress)
    print(file=sys.stderr)
    print("\n".join(mesh_overload.format_result(result)))
    _write_json(output, result._asdict())


@application.command()
def slopes(output: Output = None):
    """Measure how a daemon's costs grow with load; takes about two minutes."""
    rows = cost_slopes.run(progress=_show_progress)
    print(file=sys.stderr)
    _print_slopes(rows)
    _write_json(output, [row._asdict() for row in rows])


@application.command()
def mesh_slopes(output: Output = None):
    """Measure how a mesh daemon's memory and control work grow with the fleet."""
    rows = mesh_cost_slopes.run()
    _print_slopes(rows)
    children, depth = mesh_cost_slopes.compute_tree_shape(mesh_cost_slopes.DESIGN_SIZE)
    print(
        f"trees of {mesh_cost_slopes.DESIGN_SIZE}: {children} children, depth {depth}"
    )
    _write_json(output, [row._asdict() for row in rows])


def _print_slopes(rows):
    for row in rows:
        print(
            f"{row.quantity:>22} over {row.over:<22} slope {row.slope:>12.6g} "
            f"at nothing {row.intercept:>12.6g} residual {row.residual:>10.4g}"
        )


@application.command()
def capacity(
    slopes_file: typing.Annotated[
        pathlib.Path,
        typer.Option(
            "--slopes", help="File that the slopes command wrote with --json."
        ),
    ],
    page: typing.Annotated[
        pathlib.Path, typer.Option(help="Page whose table is replaced.")
    ] = pathlib.Path("docs/CAPACITY.md"),
):
    """Recompute the table of docs/CAPACITY.md from measured slopes."""
    capacity_table.update(page, json.loads(slopes_file.read_text()))


def _write_json(output, data):
    if output:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(json.dumps(data, indent=2) + "\n")


def main():
    """Run a command; print a known error without a traceback and exit with its code."""
    try:
        application()
    except exceptions.JackdawError as error:
        error.show()
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()

"""The bench's command line."""

import json
import pathlib
import sys
import typing

import typer

from bench import (
    capacity as capacities,
    deployments,
    latency as latencies,
    mesh as meshes,
    mesh_flood as floods,
    mesh_slopes as mesh_slopes_bench,
    overload,
    slopes as slopes_bench,
)
from jackdawlanding import exceptions

application = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Experiments on this machine's loopback, bounded in count and time.",
)
DeploymentName = typing.Annotated[str, typer.Option(help="plovdiv or bolgatanga.")]
# Calls a second: a daemon's at the size to design for, and ten times that.
RATES = [55, 550]
Output = typing.Annotated[
    pathlib.Path | None, typer.Option("--json", help="Also write results here.")
]


def _tell(what, done, total):
    print(f"\r{what}: {done:>3} of {total:.0f} ", end="", file=sys.stderr)


def _run_modes(deployment, plan, output):
    results = []
    for mode in overload.MODES:
        results.append(overload.run(deployment, plan, mode, progress=_tell))
        print(file=sys.stderr)
    print("\n".join(overload.format_table(results)))
    data = [
        {**one._asdict(), "flows": [flow._asdict() for flow in one.flows]}
        for one in results
    ]
    _write(output, data)


@application.command()
def demo(deployment: DeploymentName = "plovdiv", output: Output = None):
    """Flood a small deployment, with decisions and with a pass-through daemon."""
    one = deployments.find(deployment)
    print(f"{one.name}: a flood of {one.calm} to three times the capacity, for 6 s")
    _run_modes(one, overload.Plan(flow=one.calm, peak_load=3.0), output)


@application.command()
def flood(
    deployment: DeploymentName = "plovdiv",
    load: typing.Annotated[
        float, typer.Option(help="Peak load, a multiple of the capacity.")
    ] = 3.0,
    urgent: typing.Annotated[
        bool, typer.Option(help="Flood the most urgent flow.")
    ] = False,
    output: Output = None,
):
    """Flood the least or the most urgent flow, from a load of one capacity."""
    one = deployments.find(deployment)
    flow = one.urgent if urgent else one.calm
    print(f"{one.name}: a flood of {flow} to {load:g} times the capacity")
    plan = overload.Plan(flow=flow, calm_load=1.0, peak_load=load, resends=2)
    _run_modes(one, plan, output)


@application.command()
def recover(deployment: DeploymentName = "plovdiv", output: Output = None):
    """Slow the deep service tenfold for 5 s and watch goodput come back."""
    one = deployments.find(deployment)
    print(f"{one.name}: {one.deep} is ten times slower for 5 s")
    plan = overload.Plan(
        flow=one.calm,
        before=5,
        trigger=5,
        after=10,
        calm_load=0.7,
        peak_load=0.7,
        slowdown=10,
    )
    _run_modes(one, plan, output)


@application.command()
def latency(
    seconds: typing.Annotated[float, typer.Option(help="For each path.")] = 15,
    rate: typing.Annotated[
        list[float] | None, typer.Option(help="Calls a second; repeatable.")
    ] = None,
    output: Output = None,
):
    """Measure the latency that one and two daemons add."""
    rows = latencies.run(rates=rate or RATES, seconds=seconds, progress=_tell)
    _show_latencies(rows, output)


@application.command()
def mesh_latency(
    seconds: typing.Annotated[float, typer.Option(help="For each path.")] = 15,
    rate: typing.Annotated[
        list[float] | None, typer.Option(help="Calls a second; repeatable.")
    ] = None,
    output: Output = None,
):
    """Measure the latency that one and two mesh daemons add."""
    with meshes.Fleet() as fleet:
        rows = latencies.measure(
            fleet.list_paths(), rates=rate or RATES, seconds=seconds, progress=_tell
        )
    _show_latencies(rows, output)


def _show_latencies(rows, output):
    print(file=sys.stderr)
    print("\n".join(latencies.format_table(rows)))
    _write(output, [row._asdict() for row in rows])


@application.command()
def mesh_flood(
    load: typing.Annotated[
        float, typer.Option(help="Peak load, a multiple of the capacity.")
    ] = 10.0,
    output: Output = None,
):
    """Flood a mesh with the least urgent work, from a load of one capacity."""
    result = floods.run(load=load, progress=_tell)
    print(file=sys.stderr)
    print("\n".join(floods.format_result(result)))
    _write(output, result._asdict())


@application.command()
def slopes(output: Output = None):
    """Measure how a daemon's costs grow; takes about two minutes."""
    rows = slopes_bench.run(progress=_tell)
    print(file=sys.stderr)
    _print_slopes(rows)
    _write(output, [row._asdict() for row in rows])


@application.command()
def mesh_slopes(output: Output = None):
    """Measure how a mesh daemon's state and control work grow with the fleet."""
    rows = mesh_slopes_bench.run()
    _print_slopes(rows)
    most, depth = mesh_slopes_bench.find_tree(mesh_slopes_bench.TARGET_SIZE)
    print(f"trees of {mesh_slopes_bench.TARGET_SIZE}: {most} children, depth {depth}")
    _write(output, [row._asdict() for row in rows])


def _print_slopes(rows):
    for row in rows:
        print(
            f"{row.quantity:>22} over {row.over:<22} slope {row.slope:>12.6g} "
            f"at nothing {row.intercept:>12.6g} residual {row.residual:>10.4g}"
        )


@application.command()
def capacity(
    slopes_file: typing.Annotated[
        pathlib.Path, typer.Option("--slopes", help="What slopes --json wrote.")
    ],
    page: typing.Annotated[
        pathlib.Path, typer.Option(help="Page whose table is made anew.")
    ] = pathlib.Path("docs/CAPACITY.md"),
):
    """Make the table of docs/CAPACITY.md anew from measured slopes."""
    capacities.update(page, json.loads(slopes_file.read_text()))


def _write(output, data):
    if output:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(json.dumps(data, indent=2) + "\n")


def main():
    """Run the command; show known errors in one line."""
    try:
        application()
    except exceptions.JackdawError as error:
        error.show()
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()

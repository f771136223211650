"""The operators' tool: it checks, bundles, explains and reads.

It changes no running instance. Exit codes: 0 fine, 1 faults found, 2 the
command line is wrong, 3 a daemon can't be reached.
"""

import io
import json
import pathlib
import sys
import typing

import pycurl
import typer

from jackdawlanding import exceptions
from jackdawlanding.mesh import traces
from jackdawlanding.settings import addresses, bundles, mesh_settings

application = typer.Typer(pretty_exceptions_enable=False, help=__doc__)

Json = typing.Annotated[
    bool, typer.Option("--json", help="Print one JSON document instead of text.")
]
Directory = typing.Annotated[
    pathlib.Path, typer.Argument(help="Directory with declaration files.")
]
AdminAddress = typing.Annotated[
    str,
    typer.Option(
        help="A daemon's --admin-address.", envvar="JACKDAW_ADDRESS", show_envvar=True
    ),
]
TIMEOUT_SECONDS = 5


def _print(data, as_json, lines):
    """Print ``data`` as JSON, or the lines."""
    if as_json:
        print(json.dumps(data, indent=2))
    else:
        for line in lines:
            print(line)


@application.command()
def check(directory: Directory, as_json: Json = False):
    """Report every fault of every declaration file at once."""
    try:
        declared = bundles.load_directory(directory)
    except exceptions.FaultsError as error:
        if not as_json:
            raise
        print(json.dumps([one._asdict() for one in error.faults], indent=2))
        raise typer.Exit(error.exit_code) from error
    _print([], as_json, [f"{len(declared)} declarations, no faults"])


@application.command()
def bundle(
    directory: Directory,
    out: typing.Annotated[pathlib.Path, typer.Option(help="Where to write values.")],
    version: typing.Annotated[int, typer.Option(help="Version; it must grow.", min=1)],
    previous: typing.Annotated[
        pathlib.Path | None, typer.Option(help="Directory of the last bundle.")
    ] = None,
    as_json: Json = False,
):
    """Collect declarations into the values to publish, one a service."""
    declared = bundles.load_directory(directory)
    before = bundles.read_bundle(previous) if previous else None
    made = bundles.make_bundle(declared, version=version, previous=before)
    paths = [str(path) for path in bundles.write_bundle(made, out)]
    _print(paths, as_json, paths)


@application.command()
def explain(
    directory: Directory,
    service: typing.Annotated[str, typer.Option(help="The service called.")],
    method: typing.Annotated[str, typer.Option(help="The call's method.")],
    path: typing.Annotated[str, typer.Option(help="The call's path.")],
    header: typing.Annotated[
        list[str] | None, typer.Option(help="A header, NAME: VALUE.")
    ] = None,
    as_json: Json = False,
):
    """Tell what would be decided for a call, and by which declaration."""
    declared = bundles.load_directory(directory)
    if service not in declared:
        raise exceptions.SettingError(
            flag="--service",
            value=service,
            problem=f"is not declared{exceptions.suggest(service, declared)}",
            remedy=f"use one of {', '.join(sorted(declared))}",
        )
    declaration = declared[service]
    work = declaration.find_work(method=method, target=path)
    names = [one.name for one in declaration.work]
    line = f"work[{names.index(work.name)}]" if work.name in names else "no work"
    headers = _parse_headers(header or [])
    verdict = _describe(work, headers)
    data = {"by": f"{service}: {line}", **work._asdict(), "verdict": verdict}
    lines = [f"{data['by']} ({work.name})", f"rank {work.rank}", verdict]
    _print(data, as_json, lines)


@application.command()
def diff(
    before: typing.Annotated[pathlib.Path, typer.Argument(help="The old bundle.")],
    after: typing.Annotated[pathlib.Path, typer.Argument(help="The new bundle.")],
    as_json: Json = False,
):
    """Show what publishing a bundle in place of another changes."""
    changes = bundles.compare(bundles.read_bundle(before), bundles.read_bundle(after))
    lines = [
        f"{one.service}: {one.key}: {one.before or '-'} -> {one.after or '-'}"
        for one in changes
    ]
    _print([one._asdict() for one in changes], as_json, lines or ["no changes"])


@application.command()
def status(address: AdminAddress, as_json: Json = False):
    """Show a daemon's state."""
    data = _read(address, "/status")
    _print(data, as_json, [f"{key}: {value}" for key, value in data.items()])


@application.command()
def audit(address: AdminAddress, as_json: Json = False):
    """Show the changes that a daemon made or saw, oldest first."""
    data = _read(address, "/audit")
    lines = [
        f"{one['number']:>5} {one['at']:.3f} {one['subject']}: "
        f"{one['before'] or '-'} -> {one['after'] or '-'} ({one['cause']})"
        for one in data
    ]
    _print(data, as_json, lines)


@application.command()
def trace(
    request: typing.Annotated[str, typer.Argument(help="The request's id.")],
    files: typing.Annotated[
        list[typer.FileText] | None,
        typer.Argument(help="Log files of daemons; standard input if none."),
    ] = None,
    around: typing.Annotated[
        float,
        typer.Option(
            help="Also show changes of belief, so many seconds before.", min=0
        ),
    ] = 0.0,
    as_json: Json = False,
):
    """Show one request's way across daemons, from their log lines."""
    lines = [line for file in files or [sys.stdin] for line in file]
    found = traces.find(lines, request, around=around)
    if not found:
        raise exceptions.NotFoundError(
            name=request,
            detail=f"{len(lines)} lines read",
            remedy="give the logs of all daemons; answers that went well are sampled",
        )
    _print([one._asdict() for one in found], as_json, traces.format_lines(found))


@application.command()
def settings(
    path: typing.Annotated[pathlib.Path, typer.Argument(help="A settings file.")],
    as_json: Json = False,
):
    """Check a mesh daemon's settings file and show what it says."""
    found = mesh_settings.load(path)
    lines = [f"{key}: {value}" for key, value in found._asdict().items()]
    _print(found._asdict(), as_json, lines)


def _parse_headers(texts):
    headers = {}
    for text in texts:
        name, colon, value = text.partition(":")
        if not colon:
            raise exceptions.SettingError(
                flag="--header",
                value=text,
                problem="has no colon",
                remedy="write it like 'Idempotency-Key: 17'",
            )
        headers[name.strip().lower()] = value.strip()
    return headers


def _describe(work, headers):
    """Return in words what is decided for a call of declared work."""
    if work.once_only:
        if not headers.get(work.key_header.lower()):
            return f"refused: header {work.key_header} is missing"
        return f"runs at most once for its key within {work.repeat_horizon_seconds:g} s"
    repeat = "may be retried" if work.repeatable else "is retried only if not run"
    shed = "shed last" if work.protected else "shed before protected work"
    return f"{repeat}; {shed}; given up after {work.deadline_seconds:g} s"


def _read(address, path):
    """Return a daemon's page as plain data."""
    try:
        addresses.Address.parse(address)
    except ValueError as error:
        raise exceptions.SettingError(
            flag="--address",
            value=address,
            problem="is no address",
            remedy="write it like 127.0.0.1:9000",
        ) from error
    buffer = io.BytesIO()
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"http://{address}{path}")
    curl.setopt(pycurl.TIMEOUT, TIMEOUT_SECONDS)
    curl.setopt(pycurl.WRITEDATA, buffer)
    try:
        curl.perform()
        return json.loads(buffer.getvalue())
    except (pycurl.error, ValueError) as error:
        raise exceptions.UnreachableError(address=address, detail=str(error)) from error
    finally:
        curl.close()


def main():
    """Run the command; show known errors."""
    try:
        application()
    except exceptions.JackdawError as error:
        error.show()
        sys.exit(error.exit_code)

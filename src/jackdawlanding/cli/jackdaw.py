"""The operators' tool for declarations and for daemons' pages and logs.

It does not change a running instance. Exit codes: 0 success, 1 faults found,
2 invalid command line, 3 daemon unreachable.
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
        help="Address of a daemon, its --admin-address.",
        envvar="JACKDAW_ADDRESS",
        show_envvar=True,
    ),
]
TIMEOUT_SECONDS = 5


def _print(data, as_json, lines):
    """Print ``data`` as one JSON document, or ``lines`` as text."""
    if as_json:
        print(json.dumps(data, indent=2))
    else:
        for line in lines:
            print(line)


@application.command()
def check(directory: Directory, as_json: Json = False):
    """Check all declaration files and report every fault."""
    try:
        declared = bundles.load_directory(directory)
    except exceptions.FaultsError as error:
        if not as_json:
            raise
        print(json.dumps([fault._asdict() for fault in error.faults], indent=2))
        raise typer.Exit(error.exit_code) from error
    _print([], as_json, [f"{len(declared)} declarations, no faults"])


@application.command()
def bundle(
    directory: Directory,
    out: typing.Annotated[pathlib.Path, typer.Option(help="Directory for the values.")],
    version: typing.Annotated[
        int, typer.Option(help="Version, above the last one.", min=1)
    ],
    previous: typing.Annotated[
        pathlib.Path | None, typer.Option(help="Directory of the last bundle.")
    ] = None,
    as_json: Json = False,
):
    """Write the values to publish, one for each declared service."""
    declared = bundles.load_directory(directory)
    last_bundle = bundles.read_bundle(previous) if previous else None
    new_bundle = bundles.make_bundle(declared, version=version, previous=last_bundle)
    paths = [str(path) for path in bundles.write_bundle(new_bundle, out)]
    _print(paths, as_json, paths)


@application.command()
def explain(
    directory: Directory,
    service: typing.Annotated[str, typer.Option(help="Service that is called.")],
    method: typing.Annotated[str, typer.Option(help="HTTP method of the call.")],
    path: typing.Annotated[str, typer.Option(help="Path of the call.")],
    header: typing.Annotated[
        list[str] | None, typer.Option(help="Header of the call, as NAME: VALUE.")
    ] = None,
    as_json: Json = False,
):
    """Show the decision for a call and the declared work behind it."""
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
    names = [declared_work.name for declared_work in declaration.work]
    source = f"work[{names.index(work.name)}]" if work.name in names else "no work"
    headers = _parse_headers(header or [])
    verdict = _format_verdict(work, headers)
    data = {"by": f"{service}: {source}", **work._asdict(), "verdict": verdict}
    lines = [f"{data['by']} ({work.name})", f"rank {work.rank}", verdict]
    _print(data, as_json, lines)


@application.command()
def diff(
    before: typing.Annotated[pathlib.Path, typer.Argument(help="The old bundle.")],
    after: typing.Annotated[pathlib.Path, typer.Argument(help="The new bundle.")],
    as_json: Json = False,
):
    """Show what publishing AFTER in place of BEFORE changes."""
    changes = bundles.compare(bundles.read_bundle(before), bundles.read_bundle(after))
    lines = [
        f"{change.service}: {change.key}: "
        f"{change.before or '-'} -> {change.after or '-'}"
        for change in changes
    ]
    _print([change._asdict() for change in changes], as_json, lines or ["no changes"])


@application.command()
def status(address: AdminAddress, as_json: Json = False):
    """Show the status of a daemon."""
    data = _fetch_page(address, "/status")
    _print(data, as_json, [f"{key}: {value}" for key, value in data.items()])


@application.command()
def audit(address: AdminAddress, as_json: Json = False):
    """Show the audit records of a daemon, oldest first."""
    data = _fetch_page(address, "/audit")
    lines = [
        f"{record['number']:>5} {record['at']:.3f} {record['subject']}: "
        f"{record['before'] or '-'} -> {record['after'] or '-'} ({record['cause']})"
        for record in data
    ]
    _print(data, as_json, lines)


@application.command()
def trace(
    request: typing.Annotated[str, typer.Argument(help="Id of the request.")],
    files: typing.Annotated[
        list[typer.FileText] | None,
        typer.Argument(help="Log files of daemons; standard input by default."),
    ] = None,
    around: typing.Annotated[
        float,
        typer.Option(
            help="Also show state changes, from this many seconds before.", min=0
        ),
    ] = 0.0,
    as_json: Json = False,
):
    """Show the path of a request across daemons, from their log lines."""
    lines = [line for file in files or [sys.stdin] for line in file]
    found = traces.find(lines, request, around=around)
    if not found:
        raise exceptions.NotFoundError(
            name=request,
            detail=f"{len(lines)} lines read",
            remedy="pass the logs of all daemons; successful requests are sampled",
        )
    _print([line._asdict() for line in found], as_json, traces.format_lines(found))


@application.command()
def settings(
    path: typing.Annotated[pathlib.Path, typer.Argument(help="Settings file.")],
    as_json: Json = False,
):
    """Check a mesh daemon's settings file and show its values."""
    loaded = mesh_settings.load(path)
    lines = [f"{key}: {value}" for key, value in loaded._asdict().items()]
    _print(loaded._asdict(), as_json, lines)


def _parse_headers(texts):
    """Return the headers by lower-case name."""
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


def _format_verdict(work, headers):
    """Return as text what is decided for a call with these headers."""
    if work.once_only:
        if not headers.get(work.key_header.lower()):
            return f"refused: header {work.key_header} is missing"
        return f"runs at most once for its key within {work.repeat_horizon_seconds:g} s"
    retry = "may be retried" if work.repeatable else "is retried only if not run"
    shed = "shed last" if work.protected else "shed before protected work"
    return f"{retry}; {shed}; given up after {work.deadline_seconds:g} s"


def _fetch_page(address, path):
    """Return a daemon's page as plain data.

    :raises exceptions.SettingError: the address is invalid.
    :raises exceptions.UnreachableError: no daemon answers with a JSON document.
    """
    try:
        addresses.Address.parse(address)
    except ValueError as error:
        raise exceptions.SettingError(
            flag="--address",
            value=address,
            problem="is not an address",
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
    """Run the command, and print a :class:`JackdawError` instead of a traceback."""
    try:
        application()
    except exceptions.JackdawError as error:
        error.show()
        sys.exit(error.exit_code)

"""The daemon's command line: every setting is a flag and a variable."""

import signal
import sys
import typing

import typer

from jackdawlanding import exceptions
from jackdawlanding.cli import logs
from jackdawlanding.daemon import app as daemons
from jackdawlanding.settings import options

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
DEFAULTS = options.Settings._field_defaults


def _flag(help_text):
    return typer.Option(help=help_text, show_envvar=True)


@application.command()
def serve(
    instance: typing.Annotated[str, _flag("Name of this instance.")],
    service: typing.Annotated[str, _flag("Service of the backend server.")],
    region: typing.Annotated[str, _flag("Region of this instance.")],
    failure_domain: typing.Annotated[str, _flag("Failure domain in the region.")],
    caller_address: typing.Annotated[str, _flag("Where callers call, host:port.")],
    local_address: typing.Annotated[
        str, _flag("Where the own backend server calls other services.")
    ],
    peer_address: typing.Annotated[str, _flag("Where other daemons call.")],
    admin_address: typing.Annotated[str, _flag("Where the pages are, loopback.")],
    backend_address: typing.Annotated[str, _flag("The backend server.")],
    platform_address: typing.Annotated[str, _flag("The platform's service.")],
    failure_domains: typing.Annotated[
        str, _flag("Known region/domain names, comma-separated; any if empty.")
    ] = "",
    head_bytes: typing.Annotated[
        int, _flag("Most bytes of a request's head.")
    ] = DEFAULTS["head_bytes"],
    body_bytes: typing.Annotated[
        int, _flag("Most bytes of a request's body.")
    ] = DEFAULTS["body_bytes"],
    answer_bytes: typing.Annotated[
        int, _flag("Most bytes of an answer's body.")
    ] = DEFAULTS["answer_bytes"],
    arrival_seconds: typing.Annotated[
        float, _flag("Seconds for a request to arrive.")
    ] = DEFAULTS["arrival_seconds"],
    maximum_connections: typing.Annotated[
        int, _flag("Most connections of each listener.")
    ] = DEFAULTS["maximum_connections"],
    threads: typing.Annotated[
        int, _flag("Worker threads; each carries one call.")
    ] = DEFAULTS["threads"],
    fleet_size: typing.Annotated[
        int, _flag("Daemons that share the platform.")
    ] = DEFAULTS["fleet_size"],
    platform_reads: typing.Annotated[
        float, _flag("Reads a second that all daemons may make together.")
    ] = DEFAULTS["platform_reads"],
    fresh_seconds: typing.Annotated[
        float, _flag("Seconds for which a view is fresh.")
    ] = DEFAULTS["fresh_seconds"],
    gone_seconds: typing.Annotated[
        float, _flag("Seconds off the list until an instance is gone.")
    ] = DEFAULTS["gone_seconds"],
    settle_seconds: typing.Annotated[
        float, _flag("Seconds on the list before this instance joins.")
    ] = DEFAULTS["settle_seconds"],
    outage_seconds: typing.Annotated[
        float, _flag("Seconds without the platform for which once-only work goes on.")
    ] = DEFAULTS["outage_seconds"],
    grace_seconds: typing.Annotated[
        float, _flag("Seconds for calls in flight when leaving, if undeclared.")
    ] = DEFAULTS["grace_seconds"],
    retry_ratio: typing.Annotated[
        float, _flag("Retries a first try earns.")
    ] = DEFAULTS["retry_ratio"],
    key_capacity: typing.Annotated[
        int, _flag("Most once-only keys remembered.")
    ] = DEFAULTS["key_capacity"],
    pass_through: typing.Annotated[
        bool, _flag("Take no decisions; for comparison only.")
    ] = False,
    log_format: typing.Annotated[
        logs.Format, _flag("How log lines are written.")
    ] = logs.Format.TEXT,
    log_level: typing.Annotated[str, _flag("Lowest level logged.")] = "info",
):
    """Serve beside one backend server until told to leave by SIGTERM."""
    values = {
        name: value
        for name, value in locals().items()
        if name in options.Settings._fields
    }
    domains = [one for one in failure_domains.split(",") if one]
    logs.configure(kind=log_format, level=log_level)
    settings = options.make(values, failure_domains=domains)
    try:
        daemon = daemons.Daemon(settings=settings)
    except OSError as error:
        raise exceptions.SettingError(
            flag="--caller-address, --local-address, --peer-address or --admin-address",
            value=str(settings.caller_address),
            problem=f"can't listen ({error.strerror})",
            remedy="free the port or choose another",
        ) from error
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.shut_down_in_background())
    raise typer.Exit(daemon.run())


def main():
    """Run the command; show known errors in one line."""
    try:
        application(auto_envvar_prefix=options.ENVIRONMENT_PREFIX)
    except exceptions.JackdawError as error:
        error.show()
        sys.exit(error.exit_code)

"""The daemon's command line.

Every setting is a flag and an environment variable.
"""

import signal
import sys
import typing

import typer

from jackdawlanding import exceptions
from jackdawlanding.cli import logs
from jackdawlanding.daemon import app
from jackdawlanding.settings import options

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
DEFAULTS = options.Settings._field_defaults


def _make_flag(help_text):
    return typer.Option(help=help_text, show_envvar=True)


@application.command()
def serve(
    instance: typing.Annotated[str, _make_flag("Name of this instance.")],
    service: typing.Annotated[str, _make_flag("Service of the backend server.")],
    region: typing.Annotated[str, _make_flag("Region of this instance.")],
    failure_domain: typing.Annotated[
        str, _make_flag("Failure domain of this instance.")
    ],
    caller_address: typing.Annotated[
        str, _make_flag("Where callers connect, host:port.")
    ],
    local_address: typing.Annotated[
        str, _make_flag("Where the local backend server calls other services.")
    ],
    peer_address: typing.Annotated[str, _make_flag("Where other daemons connect.")],
    admin_address: typing.Annotated[
        str, _make_flag("Where the admin pages are served; loopback only.")
    ],
    backend_address: typing.Annotated[
        str, _make_flag("Address of the local backend server.")
    ],
    platform_address: typing.Annotated[str, _make_flag("Address of the platform.")],
    failure_domains: typing.Annotated[
        str, _make_flag("Known region/domain names, comma-separated; any if empty.")
    ] = "",
    head_bytes: typing.Annotated[
        int, _make_flag("Maximum size of a request's head in bytes.")
    ] = DEFAULTS["head_bytes"],
    body_bytes: typing.Annotated[
        int, _make_flag("Maximum size of a request's body in bytes.")
    ] = DEFAULTS["body_bytes"],
    answer_bytes: typing.Annotated[
        int, _make_flag("Maximum size of an answer's body in bytes.")
    ] = DEFAULTS["answer_bytes"],
    arrival_seconds: typing.Annotated[
        float, _make_flag("Seconds that a request may take to arrive.")
    ] = DEFAULTS["arrival_seconds"],
    maximum_connections: typing.Annotated[
        int, _make_flag("Maximum number of connections of each listener.")
    ] = DEFAULTS["maximum_connections"],
    threads: typing.Annotated[
        int, _make_flag("Worker threads; each handles one call at a time.")
    ] = DEFAULTS["threads"],
    fleet_size: typing.Annotated[
        int, _make_flag("Number of daemons that share the platform.")
    ] = DEFAULTS["fleet_size"],
    platform_reads: typing.Annotated[
        float, _make_flag("Platform reads a second, of all daemons together.")
    ] = DEFAULTS["platform_reads"],
    fresh_seconds: typing.Annotated[
        float, _make_flag("Seconds for which a view of the members is acted on.")
    ] = DEFAULTS["fresh_seconds"],
    gone_seconds: typing.Annotated[
        float, _make_flag("Seconds off the list until an instance counts as gone.")
    ] = DEFAULTS["gone_seconds"],
    settle_seconds: typing.Annotated[
        float, _make_flag("Seconds on the list before this instance joins.")
    ] = DEFAULTS["settle_seconds"],
    outage_seconds: typing.Annotated[
        float,
        _make_flag("Seconds without the platform for which once-only work goes on."),
    ] = DEFAULTS["outage_seconds"],
    grace_seconds: typing.Annotated[
        float, _make_flag("Seconds for calls in flight at a shutdown, if undeclared.")
    ] = DEFAULTS["grace_seconds"],
    retry_ratio: typing.Annotated[
        float, _make_flag("Retries that each first attempt allows.")
    ] = DEFAULTS["retry_ratio"],
    key_capacity: typing.Annotated[
        int, _make_flag("Maximum number of once-only keys stored.")
    ] = DEFAULTS["key_capacity"],
    pass_through: typing.Annotated[
        bool, _make_flag("Take no decisions; only for comparisons.")
    ] = False,
    log_format: typing.Annotated[
        logs.Format, _make_flag("Format of the log lines.")
    ] = logs.Format.TEXT,
    log_level: typing.Annotated[
        str, _make_flag("Lowest level that is logged.")
    ] = "info",
):
    """Serve beside one backend server; SIGTERM and SIGINT shut the daemon down."""
    values = {
        name: value
        for name, value in locals().items()
        if name in options.Settings._fields
    }
    domains = [domain for domain in failure_domains.split(",") if domain]
    logs.configure(log_format=log_format, level=log_level)
    settings = options.make(values, failure_domains=domains)
    try:
        daemon = app.Daemon(settings=settings)
    except OSError as error:
        raise exceptions.SettingError(
            flag="--caller-address, --local-address, --peer-address or --admin-address",
            value=str(settings.caller_address),
            problem=f"can't listen ({error.strerror})",
            remedy="free the port or choose another",
        ) from error
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: daemon.shut_down_in_background())
    raise typer.Exit(daemon.run())


def main():
    """Run the command, and print a :class:`JackdawError` instead of a traceback."""
    try:
        application(auto_envvar_prefix=options.ENVIRONMENT_PREFIX)
    except exceptions.JackdawError as error:
        error.show()
        sys.exit(error.exit_code)

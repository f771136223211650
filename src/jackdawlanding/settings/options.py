"""The settings of a daemon, checked at its start."""

import ipaddress
import typing

from jackdawlanding import exceptions
from jackdawlanding.settings import addresses

ENVIRONMENT_PREFIX = "JACKDAWD"


class Settings(typing.NamedTuple):
    """The settings of one daemon; each field is a flag of ``jackdawd``.

    ``head_bytes`` and ``body_bytes`` limit a request, and ``answer_bytes`` the
    body of an answer. ``arrival_seconds`` is the time that a request may take to
    arrive. ``fleet_size`` daemons share ``platform_reads`` reads a second. A view
    of the members is acted on for ``fresh_seconds`` after the last evidence for
    it; an instance that is missing from the platform's list counts as gone after
    ``gone_seconds``, and a new one joins after ``settle_seconds`` on it. Without
    the platform, once-only work runs for ``outage_seconds``. ``grace_seconds``
    is the time for calls in flight at a shutdown, where the declaration has none.
    ``retry_ratio`` is the number of retries that each first attempt allows, and
    ``key_capacity`` the number of once-only keys that are stored. With
    ``pass_through`` the daemon makes no decisions.
    """

    instance: str
    service: str
    region: str
    failure_domain: str
    caller_address: addresses.Address
    local_address: addresses.Address
    peer_address: addresses.Address
    admin_address: addresses.Address
    backend_address: addresses.Address
    platform_address: addresses.Address
    head_bytes: int = 32768
    body_bytes: int = 1 << 20
    answer_bytes: int = 16 << 20
    arrival_seconds: float = 10.0
    maximum_connections: int = 600
    threads: int = 128
    fleet_size: int = 64
    platform_reads: float = 1000.0
    fresh_seconds: float = 6.0
    gone_seconds: float = 8.0
    settle_seconds: float = 1.0
    outage_seconds: float = 7200.0
    grace_seconds: float = 20.0
    retry_ratio: float = 0.1
    key_capacity: int = 100_000
    pass_through: bool = False


ADDRESS_FIELDS = (
    "caller_address",
    "local_address",
    "peer_address",
    "admin_address",
    "backend_address",
    "platform_address",
)
LISTENING_FIELDS = ADDRESS_FIELDS[:4]
LOOPBACK_FIELDS = ("local_address", "admin_address")
POSITIVE_FIELDS = (
    "head_bytes",
    "body_bytes",
    "answer_bytes",
    "arrival_seconds",
    "maximum_connections",
    "threads",
    "fleet_size",
    "platform_reads",
    "fresh_seconds",
    "gone_seconds",
    "outage_seconds",
    "grace_seconds",
    "key_capacity",
)


def make(values, *, failure_domains=()):
    """Return checked :class:`Settings`.

    :param values: the values by field name; addresses are text.
    :param failure_domains: the valid ones as ``region/domain``; any if empty.
    :raises exceptions.SettingError: a value is invalid.
    """
    values = dict(values)
    for field in ADDRESS_FIELDS:
        values[field] = _parse_address(field, values[field])
    settings = Settings(**values)
    _check_names(settings)
    _check_failure_domain(settings, failure_domains)
    _check_listeners(settings)
    for field in POSITIVE_FIELDS:
        if getattr(settings, field) <= 0:
            raise _make_error(settings, field, "is not positive", "use a value above 0")
    if settings.fresh_seconds >= settings.gone_seconds:
        raise _make_error(
            settings,
            "fresh_seconds",
            f"is not below --gone-seconds {settings.gone_seconds:g}",
            "lower it: an instance must stop acting before others act without it",
        )
    return settings


def format_flag(field):
    """Return the command-line flag of a field."""
    return "--" + field.replace("_", "-")


def _make_error(settings, field, problem, remedy):
    value = getattr(settings, field)
    return exceptions.SettingError(
        flag=format_flag(field), value=str(value), problem=problem, remedy=remedy
    )


def _parse_address(field, text):
    try:
        address = addresses.Address.parse(str(text))
        ipaddress.ip_address(address.host)
    except ValueError:
        raise exceptions.SettingError(
            flag=format_flag(field),
            value=str(text),
            problem="is not an IP address and port",
            remedy="write it like 127.0.0.1:8000",
        ) from None
    return address


def _check_names(settings):
    for field in ("instance", "service", "region", "failure_domain"):
        value = getattr(settings, field)
        if not value or "#" in value or not value.isascii():
            raise _make_error(
                settings,
                field,
                "is not a valid name",
                "use ASCII characters other than '#'",
            )


def _check_failure_domain(settings, failure_domains):
    name = f"{settings.region}/{settings.failure_domain}"
    if failure_domains and name not in failure_domains:
        suggestion = exceptions.suggest(name, failure_domains)
        raise exceptions.SettingError(
            flag="--failure-domain",
            value=name,
            problem=f"is unknown{suggestion}",
            remedy=f"use one of {', '.join(sorted(failure_domains))}",
        )


def _check_listeners(settings):
    fields_by_address = {}
    for field in LISTENING_FIELDS:
        address = getattr(settings, field)
        if address.port and address in fields_by_address:
            raise _make_error(
                settings,
                field,
                f"is the address of {format_flag(fields_by_address[address])} too",
                "use a different port",
            )
        fields_by_address[address] = field
    for field in LOOPBACK_FIELDS:
        address = getattr(settings, field)
        if not ipaddress.ip_address(address.host).is_loopback:
            raise _make_error(
                settings, field, "is not a loopback address", "use 127.0.0.1"
            )
    if settings.backend_address in fields_by_address:
        raise _make_error(
            settings,
            "backend_address",
            "is an address that the daemon listens on",
            "use the address of the backend server",
        )

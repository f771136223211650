"""The daemon's own settings, checked at start."""

import ipaddress
import typing

from jackdawlanding import exceptions
from jackdawlanding.settings import addresses

ENVIRONMENT_PREFIX = "JACKDAWD"


class Settings(typing.NamedTuple):
    """What one daemon was told at its start."""

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
    """Return :class:`Settings` from plain values.

    :param values: a field's value by its name; addresses as text.
    :param failure_domains: the known ones as ``region/domain``; any if empty.
    :raises exceptions.SettingError: a value can't be used.
    """
    values = dict(values)
    for field in ADDRESS_FIELDS:
        values[field] = _parse_address(field, values[field])
    settings = Settings(**values)
    _check_names(settings)
    _check_place(settings, failure_domains)
    _check_listeners(settings)
    for field in POSITIVE_FIELDS:
        if getattr(settings, field) <= 0:
            raise _fault(settings, field, "is not positive", "use more than 0")
    if settings.fresh_seconds >= settings.gone_seconds:
        raise _fault(
            settings,
            "fresh_seconds",
            f"is not below --gone-seconds {settings.gone_seconds:g}",
            "an instance must stop acting before others go on without it",
        )
    return settings


def name_flag(field):
    """Return the flag of a field, as an operator types it."""
    return "--" + field.replace("_", "-")


def _fault(settings, field, problem, remedy):
    value = getattr(settings, field)
    return exceptions.SettingError(
        flag=name_flag(field), value=str(value), problem=problem, remedy=remedy
    )


def _parse_address(field, text):
    try:
        address = addresses.Address.parse(str(text))
        ipaddress.ip_address(address.host)
    except ValueError:
        raise exceptions.SettingError(
            flag=name_flag(field),
            value=str(text),
            problem="is no IP address and port",
            remedy="write it like 127.0.0.1:8000",
        ) from None
    return address


def _check_names(settings):
    for field in ("instance", "service", "region", "failure_domain"):
        value = getattr(settings, field)
        if not value or "#" in value or not value.isascii():
            raise _fault(settings, field, "is no name", "use ASCII without '#'")


def _check_place(settings, failure_domains):
    place = f"{settings.region}/{settings.failure_domain}"
    if failure_domains and place not in failure_domains:
        hint = exceptions.suggest(place, failure_domains)
        raise exceptions.SettingError(
            flag="--failure-domain",
            value=place,
            problem=f"is not known{hint}",
            remedy=f"use one of {', '.join(sorted(failure_domains))}",
        )


def _check_listeners(settings):
    taken = {}
    for field in LISTENING_FIELDS:
        address = getattr(settings, field)
        if address.port and address in taken:
            raise _fault(
                settings,
                field,
                f"clashes with {name_flag(taken[address])}",
                "give each its own port",
            )
        taken[address] = field
    for field in LOOPBACK_FIELDS:
        address = getattr(settings, field)
        if not ipaddress.ip_address(address.host).is_loopback:
            raise _fault(settings, field, "is not a loopback address", "use 127.0.0.1")
    if settings.backend_address in taken:
        raise _fault(
            settings,
            "backend_address",
            "is one of the daemon's own addresses",
            "give the backend server's address",
        )

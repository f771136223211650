"""Checks of backend servers that come from outside: the store or other daemons."""

import math
import re
import reprlib
import typing

MAXIMUM_PORT = 65535
# The largest integer that a message to another daemon can carry.
MAXIMUM_INTEGER = 2**63 - 1
# Far above the slots and the warm-up of any backend server.
MAXIMUM_SLOTS = 1_000_000
MAXIMUM_WARM_SECONDS = 86_400.0
MAXIMUM_NAME_CHARACTERS = 200
# The first number of the addresses from which multicast and reserved ones begin.
FIRST_MULTICAST = 224
# The most characters of a value that an error quotes: a value may have a megabyte.
MAXIMUM_QUOTED_CHARACTERS = 80

# A name that can be written in the head of a request.
_TOKEN = re.compile(r"[!-~]+")
_IP_ADDRESS = re.compile(
    r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(\.(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)){3}",
    re.ASCII,
)
_quoter = reprlib.Repr()
_quoter.maxstring = _quoter.maxother = MAXIMUM_QUOTED_CHARACTERS


class InvalidValueError(ValueError):
    """A value is of another type than its field holds, or out of its range."""


class Rule(typing.NamedTuple):
    """What a field holds: a description for errors, and a function that tells."""

    description: str
    is_valid: typing.Callable


def quote(value):
    """Return the start of a value's representation, for an error or a log line."""
    return _quoter.repr(value)


def is_integer(value, *, minimum=0, maximum=MAXIMUM_INTEGER):
    """Return whether a value is an integer of a range, and no truth value."""
    return type(value) is int and minimum <= value <= maximum


def check_backend(backend):
    """Check the fields of a :class:`directory.Backend`, and return it.

    :raises InvalidValueError: a field is of another type, or out of its range.
    """
    for name, rule in _BACKEND_RULES.items():
        value = getattr(backend, name)
        if not rule.is_valid(value):
            raise InvalidValueError(
                f"{name} is {quote(value)}, and not {rule.description}"
            )
    return backend


def _is_name(value):
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAXIMUM_NAME_CHARACTERS
        and value.isprintable()
    )


def _is_token(value):
    return _is_name(value) and _TOKEN.fullmatch(value) is not None


def _is_host(value):
    """Return whether a value is the IPv4 address of one host.

    Connecting to a name would block on its lookup.
    """
    match = _IP_ADDRESS.fullmatch(value) if isinstance(value, str) else None
    return match is not None and 0 < int(match[1]) < FIRST_MULTICAST


def _is_port(value):
    return is_integer(value, minimum=1, maximum=MAXIMUM_PORT)


def _is_slots(value):
    return is_integer(value, minimum=1, maximum=MAXIMUM_SLOTS)


def _is_warm_seconds(value):
    return (
        type(value) in (int, float)
        and 0 <= value <= MAXIMUM_WARM_SECONDS
        and math.isfinite(value)
    )


def _is_truth_value(value):
    return isinstance(value, bool)


_NAME = f"a printable text of 1 to {MAXIMUM_NAME_CHARACTERS} characters"
_BACKEND_RULES = {
    "instance": Rule(f"{_NAME}, all of them visible ASCII characters", _is_token),
    "service": Rule(_NAME, _is_name),
    "host": Rule("the IPv4 address of one host", _is_host),
    "port": Rule(f"a port from 1 to {MAXIMUM_PORT}", _is_port),
    "failure_domain": Rule(_NAME, _is_name),
    "slots": Rule(f"an integer from 1 to {MAXIMUM_SLOTS}", _is_slots),
    "is_draining": Rule("a truth value", _is_truth_value),
    "warm_seconds": Rule(
        f"a number from 0 to {MAXIMUM_WARM_SECONDS:.0f}", _is_warm_seconds
    ),
    "born": Rule("an integer from 0 that a message can carry", is_integer),
}

"""Decodes the platform's documents into the types of ``decisions``."""

import base64
import binascii
import contextlib
import json
import math
import reprlib
import socket
import typing

from jackdawlanding.decisions import directory, routes

CONFIGURATION_KEY = "op/config"
BACKEND_PREFIX = "servers/"
MILLIS_PER_SECOND = 1000.0
# Whether a request of a route of this type may run more than once.
_IS_SAFE = {"safe": True, "unsafe": False, "upload": False}
# Whether a backend server in this state is draining.
_IS_DRAINING = {"ready": False, "draining": True}
MAXIMUM_PORT = 65535
# The largest integer that a message to another daemon can carry.
MAXIMUM_INTEGER = 2**63 - 1
# The most characters of a value that an error quotes: a value may have a megabyte.
MAXIMUM_QUOTED_CHARACTERS = 80

_quoter = reprlib.Repr()
_quoter.maxstring = _quoter.maxother = MAXIMUM_QUOTED_CHARACTERS


class DocumentError(ValueError):
    """A document is malformed or invalid."""


@contextlib.contextmanager
def _decoding(name):
    """Raise a :class:`DocumentError` for any exception that decoding raises.

    Damaged or foreign data may raise any, such as an ``OverflowError``.
    """
    try:
        yield
    except DocumentError:
        raise
    except Exception as error:
        raise DocumentError(
            f"{name} can't be decoded: {_quoter.repr(error)}"
        ) from error


class Item(typing.NamedTuple):
    """A key of the store; ``value`` is ``None`` if the key was removed."""

    key: str
    revision: int
    value: bytes | None


class Page(typing.NamedTuple):
    """An answer of the store: its items, and the store's revision at that time.

    ``has_more`` says that a listing continues after the last item.
    """

    items: tuple[Item, ...]
    revision: int
    has_more: bool = False


def decode_page(data):
    """Return the :class:`Page` that a range read or a watch answered.

    :raises DocumentError: the data is not such an answer.
    """
    with _decoding("the store's answer"):
        document = json.loads(data)
        entries = document["events"] if "events" in document else document["items"]
        return Page(
            items=tuple(_decode_item(entry) for entry in entries),
            revision=int(document["at"]),
            has_more=bool(document.get("hasMore")),
        )


def _decode_item(entry):
    value = None
    if not entry.get("removed"):
        try:
            value = base64.b64decode(entry["value"], validate=True)
        except (binascii.Error, TypeError, ValueError):
            value = b""
    # A peer can't be sent a key with lone surrogates.
    key = str(entry["key"]).encode(errors="replace").decode()
    return Item(key=key, revision=int(entry["revision"]), value=value)


def decode_configuration(data):
    """Return the ``routes.Configuration`` that the operator published.

    Words that are unknown here leave the rest usable, with a warning each: a route of
    an unknown type must not run twice, and an unknown kind of resource is skipped.

    :raises DocumentError: the data is malformed, or a route in it is invalid.
    """
    with _decoding("the configuration"):
        document = json.loads(data)
        fields = {
            "routes": [],
            "services": {},
            "limits": routes.Limits(),
            "warnings": [],
        }
        for entry in document["resources"]:
            _RESOURCE_HANDLERS.get(entry["entryKind"], _skip)(fields, entry)
        return routes.Configuration(
            version=int(document["version"], 16),
            routes=tuple(fields["routes"]),
            services=fields["services"],
            limits=fields["limits"],
            warnings=tuple(fields["warnings"]),
        )


def _add_route(fields, entry):
    name, spec = entry["metadata"]["name"], entry["spec"]
    route_type = spec.get("routeType")
    if route_type not in _IS_SAFE:
        fields["warnings"].append(
            f"route {_quoter.repr(name)} has the unknown routeType "
            f"{_quoter.repr(route_type)}: "
            "its requests are sent at most once"
        )
    shares = spec.get("trafficSplit") or [{"service": spec["service"], "weight": 1}]
    fields["routes"].append(
        routes.Route(
            name=str(name),
            host=routes.normalize_host(spec["host"]),
            prefix=str(spec["prefix"]),
            is_safe=_IS_SAFE.get(route_type, False),
            timeout=_to_seconds(spec["timeoutMs"]),
            objective=_to_seconds(spec["targetLatencyMs"]),
            rank=int(spec["priority"]),
            attempts=max(1, int(spec.get("maxAttempts", 1))),
            shares=tuple(
                routes.Share(
                    service=str(share["service"]), weight=float(share["weight"])
                )
                for share in shares
                if float(share["weight"]) > 0
            ),
        )
    )
    if not fields["routes"][-1].shares:
        raise DocumentError(
            f"route {_quoter.repr(name)} has no service with a weight above 0"
        )


def _add_service(fields, entry):
    fields["services"][str(entry["metadata"]["name"])] = int(
        entry["spec"].get("maxConnections", 0)
    )


def _skip(fields, entry):
    fields["warnings"].append(
        "a resource of the unknown entryKind "
        f"{_quoter.repr(entry['entryKind'])} is skipped"
    )


def _set_limits(fields, entry):
    spec = entry["spec"]
    fields["limits"] = routes.Limits(
        head_bytes=int(spec["maxHeaderBytes"]),
        body_bytes=int(spec["maxBodyBytes"]),
        head_seconds=_to_seconds(spec["headerTimeoutMs"]),
        idle_seconds=_to_seconds(spec["idleTimeoutMs"]),
    )


_RESOURCE_HANDLERS = {
    "routes": _add_route,
    "services": _add_service,
    "limits": _set_limits,
}


def decode_backend(key, data):
    """Return the ``directory.Backend`` that an entry of the store describes.

    :raises DocumentError: the entry is damaged or was written by something else.
    """
    with _decoding(repr(key)):
        entry = json.loads(data)
        host, _, port = entry["address"].rpartition(":")
        if not _is_integer(entry["maxConcurrency"]) or entry["maxConcurrency"] < 1:
            raise DocumentError(f"{key!r} has no valid maxConcurrency")
        if not 0 < int(port) <= MAXIMUM_PORT:
            raise DocumentError(f"{key!r} has no valid port: {_quoter.repr(port)}")
        return directory.Backend(
            instance=_check_text(key.removeprefix(BACKEND_PREFIX)),
            service=_check_text(entry["service"]),
            host=_check_host(host),
            port=int(port),
            failure_domain=_check_text(entry["zone"]),
            slots=entry["maxConcurrency"],
            is_draining=_IS_DRAINING[entry["state"]],
            warm_seconds=_to_seconds(entry.get("warmupRemainingMs", 0)),
            born=entry["born"] if _is_integer(entry.get("born")) else 0,
        )


def _is_integer(value):
    """Return whether a value is an integer that a message to a peer can carry."""
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and abs(value) <= MAXIMUM_INTEGER
    )


def _check_text(value):
    """Return a text that can be encoded; JSON may hold lone surrogates."""
    if not isinstance(value, str):
        raise DocumentError(f"{_quoter.repr(value)} is not a text")
    value.encode()
    return value


def _check_host(host):
    """Return an IPv4 address; connecting to a name would block on its lookup."""
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise DocumentError(f"{_quoter.repr(host)} is not an IPv4 address") from None
    return host


def _to_seconds(millis):
    if (
        isinstance(millis, bool)
        or not isinstance(millis, (int, float))
        or not math.isfinite(millis)
    ):
        raise DocumentError(f"{_quoter.repr(millis)} is not a number of milliseconds")
    return millis / MILLIS_PER_SECOND

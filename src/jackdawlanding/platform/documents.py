"""Decodes the platform's documents into the types of ``decisions``."""

import base64
import binascii
import contextlib
import json
import math
import re
import typing

from jackdawlanding.decisions import directory, revisions, routes, validation
from jackdawlanding.platform import headers

CONFIGURATION_KEY = "op/config"
BACKEND_PREFIX = "servers/"
MILLIS_PER_SECOND = 1000.0
# What no text for a peer can hold, and what marks its place.
_REPLACED = re.compile("[\ud800-\udfff\ufffd]")
# Whether a request of a route of this type may run more than once.
_IS_SAFE = {"safe": True, "unsafe": False, "upload": False}
# Whether a backend server in this state is draining.
_IS_DRAINING = {"ready": False, "draining": True}
# The types that the fields of a backend server's entry have, by their names; it may
# lack ``born``.
_ENTRY_TYPES = {
    "service": {str},
    "address": {str},
    "zone": {str},
    "version": {str},
    "maxConcurrency": {int},
    "state": {str},
    "warmupRemainingMs": {int, float},
    "sequence": {int},
}


class DocumentError(ValueError):
    """A document is malformed or invalid."""


@contextlib.contextmanager
def _decoding(name):
    """Raise a :class:`DocumentError` for any exception that decoding raises.

    Damaged or foreign data may raise any, such as an ``OverflowError``.
    """
    try:
        yield
    except (DocumentError, validation.InvalidValueError) as error:
        raise DocumentError(f"{name}: {error}") from error
    except Exception as error:
        raise DocumentError(
            f"{name} can't be decoded: {validation.quote(error)}"
        ) from error


class Item(typing.NamedTuple):
    """A key of the store; ``value`` is ``None`` if the key was removed.

    The key is as the store gave it, and may hold half of a UTF-16 pair.
    """

    key: str
    revision: int
    value: bytes | None


class Page(typing.NamedTuple):
    """An answer of the store: its items, and the store's revision at that time.

    The revisions are those of :mod:`revisions`, with their era. ``has_more`` says that
    a listing continues after the last item.
    """

    items: tuple[Item, ...]
    revision: int
    has_more: bool = False


def decode_era(response):
    """Return the era of the store that answered, 0 if it doesn't say.

    :raises DocumentError: the era is no number.
    """
    value = response.get_header(headers.STORE_ERA.lower())
    if value and not value.isdigit():
        raise DocumentError(f"{validation.quote(value)} is no era of the store")
    return int(value or 0)


def decode_page(data, *, era=0):
    """Return the :class:`Page` that a range read or a watch answered.

    :param era: the era of the store that gave the answer.
    :raises DocumentError: the data is not such an answer.
    """
    with _decoding("the store's answer"):
        document = json.loads(data.decode(errors="surrogateescape"))
        entries = document["events"] if "events" in document else document["items"]
        return Page(
            items=tuple(_decode_item(entry, era) for entry in entries),
            revision=revisions.make(era=era, number=int(document["at"])),
            has_more=bool(document.get("hasMore")),
        )


def _decode_item(entry, era):
    value = None
    if not entry.get("removed"):
        try:
            value = base64.b64decode(entry["value"], validate=True)
        except (binascii.Error, TypeError, ValueError):
            value = b""
    revision = revisions.make(era=era, number=int(entry["revision"]))
    return Item(key=str(entry["key"]), revision=revision, value=value)


def get_instance(key):
    """Return the name of the instance whose entry a key holds.

    A peer can be sent any name, and no two keys have the same one.
    """
    name = key.removeprefix(BACKEND_PREFIX)
    return _REPLACED.sub(lambda match: f"\ufffd{ord(match[0]):x};", name)


def decode_configuration(data):
    """Return the ``routes.Configuration`` that the operator published.

    Words that are unknown here leave the rest usable, with a warning each: a route of
    an unknown type must not run twice, and an unknown kind of resource is skipped.

    :raises DocumentError: the data is malformed, or a route in it is invalid.
    """
    with _decoding("the configuration"):
        document = json.loads(data.decode())
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
            f"route {validation.quote(name)} has the unknown routeType "
            f"{validation.quote(route_type)}: "
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
            f"route {validation.quote(name)} has no service with a weight above 0"
        )


def _add_service(fields, entry):
    spec = entry["spec"]
    fields["services"][str(entry["metadata"]["name"])] = routes.Service(
        connections=int(spec.get("maxConnections", 0)),
        health_path=str(spec.get("healthCheckPath") or ""),
    )


def _skip(fields, entry):
    fields["warnings"].append(
        "a resource of the unknown entryKind "
        f"{validation.quote(entry['entryKind'])} is skipped"
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
        entry = _load_entry(data)
        host, _, port = entry["address"].rpartition(":")
        return validation.check_backend(
            directory.Backend(
                instance=get_instance(key),
                service=entry["service"],
                host=host,
                port=_parse_port(port),
                failure_domain=entry["zone"],
                slots=entry["maxConcurrency"],
                is_draining=_IS_DRAINING[entry["state"]],
                warm_seconds=_to_seconds(entry["warmupRemainingMs"]),
                born=entry.get("born", 0),
            )
        )


def _load_entry(data):
    """Return the fields of an entry; those that nothing uses must be sound, too."""
    entry = json.loads(data.decode())
    for name, types in _ENTRY_TYPES.items():
        if type(entry[name]) not in types:
            raise DocumentError(
                f"{name!r} has another type: {validation.quote(entry[name])}"
            )
    if not validation.is_integer(entry["sequence"]):
        raise DocumentError(
            f"'sequence' is out of range: {validation.quote(entry['sequence'])}"
        )
    return entry


def _parse_port(text):
    """Return a port; :func:`int` alone would also take signs, spaces and the like."""
    if not (text.isascii() and text.isdigit()):
        raise DocumentError(f"{validation.quote(text)} is not a port")
    return int(text)


def _to_seconds(millis):
    if (
        isinstance(millis, bool)
        or not isinstance(millis, (int, float))
        or not math.isfinite(millis)
    ):
        raise DocumentError(
            f"{validation.quote(millis)} is not a number of milliseconds"
        )
    return millis / MILLIS_PER_SECOND

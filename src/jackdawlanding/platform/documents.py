"""Decodes the platform's documents into the product's types."""

import base64
import binascii
import json
import typing

from jackdawlanding.decisions import directory, routes

CONFIGURATION_KEY = "op/config"
BACKEND_PREFIX = "servers/"
MILLIS = 1000.0
_SAFE = "safe"
_KINDS = {_SAFE, "unsafe"}
_STATES = {"ready": False, "draining": True}


class DocumentError(ValueError):
    """A document that can't be used; the message says what is wrong."""


class Item(typing.NamedTuple):
    """One key of the store; ``value`` is ``None`` where it was removed."""

    key: str
    revision: int
    value: bytes | None


class Page(typing.NamedTuple):
    """An answer of the store: its items, and the store's revision then."""

    items: tuple[Item, ...]
    revision: int
    has_more: bool = False


def decode_page(data):
    """Decode the answer of a range read or of a watch.

    :raises DocumentError: it isn't such an answer.
    """
    try:
        document = json.loads(data)
        entries = document["events"] if "events" in document else document["items"]
        return Page(
            items=tuple(_decode_item(one) for one in entries),
            revision=int(document["at"]),
            has_more=bool(document.get("hasMore")),
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise DocumentError(f"the store's answer can't be read: {error!r}") from error


def _decode_item(entry):
    value = None
    if not entry.get("removed"):
        try:
            value = base64.b64decode(entry["value"], validate=True)
        except (binascii.Error, TypeError, ValueError):
            value = b""
    return Item(key=str(entry["key"]), revision=int(entry["revision"]), value=value)


def decode_configuration(data):
    """Decode the operator's configuration.

    :raises DocumentError: it is malformed or contradicts itself.
    """
    try:
        document = json.loads(data)
        found = {"routes": [], "services": {}, "limits": routes.Limits()}
        for entry in document["resources"]:
            _RESOURCES[entry["entryKind"]](found, entry)
        return routes.Configuration(
            version=int(document["version"], 16),
            routes=tuple(found["routes"]),
            services=found["services"],
            limits=found["limits"],
        )
    except DocumentError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise DocumentError(f"the configuration can't be read: {error!r}") from error


def _take_route(found, entry):
    name, spec = entry["metadata"]["name"], entry["spec"]
    if spec["routeType"] not in _KINDS:
        raise DocumentError(
            f"route {name!r} has the unknown kind {spec['routeType']!r}"
        )
    shares = spec.get("trafficSplit") or [{"service": spec["service"], "weight": 1}]
    found["routes"].append(
        routes.Route(
            name=str(name),
            host=routes.normalize_host(spec["host"]),
            prefix=str(spec["prefix"]),
            is_safe=spec["routeType"] == _SAFE,
            timeout=_to_seconds(spec["timeoutMs"]),
            objective=_to_seconds(spec["targetLatencyMs"]),
            rank=int(spec["priority"]),
            attempts=max(1, int(spec.get("maxAttempts", 1))),
            shares=tuple(
                routes.Share(service=str(one["service"]), weight=float(one["weight"]))
                for one in shares
                if float(one["weight"]) > 0
            ),
        )
    )
    if not found["routes"][-1].shares:
        raise DocumentError(f"route {name!r} names no service with a weight above 0")


def _take_service(found, entry):
    found["services"][str(entry["metadata"]["name"])] = int(
        entry["spec"].get("maxConnections", 0)
    )


def _take_limits(found, entry):
    spec = entry["spec"]
    found["limits"] = routes.Limits(
        head_bytes=int(spec["maxHeaderBytes"]),
        body_bytes=int(spec["maxBodyBytes"]),
        head_seconds=_to_seconds(spec["headerTimeoutMs"]),
        idle_seconds=_to_seconds(spec["idleTimeoutMs"]),
    )


_RESOURCES = {
    "routes": _take_route,
    "services": _take_service,
    "limits": _take_limits,
}


def decode_backend(key, data):
    """Decode a backend server's entry.

    :raises DocumentError: it comes from another writer or is damaged.
    """
    try:
        entry = json.loads(data)
        host, _, port = entry["address"].rpartition(":")
        if not _is_whole(entry["maxConcurrency"]) or entry["maxConcurrency"] < 1:
            raise DocumentError(f"{key!r} has no usable concurrency")
        if not isinstance(entry["service"], str) or not isinstance(entry["zone"], str):
            raise DocumentError(f"{key!r} has no usable service or failure domain")
        return directory.Backend(
            instance=key.removeprefix(BACKEND_PREFIX),
            service=entry["service"],
            host=str(host),
            port=int(port),
            failure_domain=entry["zone"],
            slots=entry["maxConcurrency"],
            is_draining=_STATES[entry["state"]],
            warm_seconds=_to_seconds(entry.get("warmupRemainingMs", 0)),
            born=entry["born"] if _is_whole(entry.get("born")) else 0,
        )
    except DocumentError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise DocumentError(f"{key!r} can't be read: {error!r}") from error


def _is_whole(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _to_seconds(millis):
    if isinstance(millis, bool) or not isinstance(millis, (int, float)):
        raise DocumentError(f"{millis!r} is not a number of milliseconds")
    return millis / MILLIS

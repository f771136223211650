"""Decodes the platform's documents into the types of ``decisions``."""

import base64
import binascii
import json
import typing

from jackdawlanding.decisions import directory, routes

CONFIGURATION_KEY = "op/config"
BACKEND_PREFIX = "servers/"
MILLIS_PER_SECOND = 1000.0
_SAFE_ROUTE_TYPE = "safe"
_ROUTE_TYPES = {_SAFE_ROUTE_TYPE, "unsafe"}
# Whether a backend server in this state is draining.
_IS_DRAINING = {"ready": False, "draining": True}


class DocumentError(ValueError):
    """A document is malformed or invalid."""


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
    try:
        document = json.loads(data)
        entries = document["events"] if "events" in document else document["items"]
        return Page(
            items=tuple(_decode_item(entry) for entry in entries),
            revision=int(document["at"]),
            has_more=bool(document.get("hasMore")),
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise DocumentError(
            f"the store's answer can't be decoded: {error!r}"
        ) from error


def _decode_item(entry):
    value = None
    if not entry.get("removed"):
        try:
            value = base64.b64decode(entry["value"], validate=True)
        except (binascii.Error, TypeError, ValueError):
            value = b""
    return Item(key=str(entry["key"]), revision=int(entry["revision"]), value=value)


def decode_configuration(data):
    """Return the ``routes.Configuration`` that the operator published.

    :raises DocumentError: the data is malformed, or a route in it is invalid.
    """
    try:
        document = json.loads(data)
        fields = {"routes": [], "services": {}, "limits": routes.Limits()}
        for entry in document["resources"]:
            _RESOURCE_HANDLERS[entry["entryKind"]](fields, entry)
        return routes.Configuration(
            version=int(document["version"], 16),
            routes=tuple(fields["routes"]),
            services=fields["services"],
            limits=fields["limits"],
        )
    except DocumentError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise DocumentError(f"the configuration can't be decoded: {error!r}") from error


def _add_route(fields, entry):
    name, spec = entry["metadata"]["name"], entry["spec"]
    if spec["routeType"] not in _ROUTE_TYPES:
        raise DocumentError(
            f"route {name!r} has the unknown routeType {spec['routeType']!r}"
        )
    shares = spec.get("trafficSplit") or [{"service": spec["service"], "weight": 1}]
    fields["routes"].append(
        routes.Route(
            name=str(name),
            host=routes.normalize_host(spec["host"]),
            prefix=str(spec["prefix"]),
            is_safe=spec["routeType"] == _SAFE_ROUTE_TYPE,
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
        raise DocumentError(f"route {name!r} has no service with a weight above 0")


def _add_service(fields, entry):
    fields["services"][str(entry["metadata"]["name"])] = int(
        entry["spec"].get("maxConnections", 0)
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
    try:
        entry = json.loads(data)
        host, _, port = entry["address"].rpartition(":")
        if not _is_integer(entry["maxConcurrency"]) or entry["maxConcurrency"] < 1:
            raise DocumentError(f"{key!r} has no valid maxConcurrency")
        if not isinstance(entry["service"], str) or not isinstance(entry["zone"], str):
            raise DocumentError(f"{key!r} has no valid service or failure domain")
        return directory.Backend(
            instance=key.removeprefix(BACKEND_PREFIX),
            service=entry["service"],
            host=str(host),
            port=int(port),
            failure_domain=entry["zone"],
            slots=entry["maxConcurrency"],
            is_draining=_IS_DRAINING[entry["state"]],
            warm_seconds=_to_seconds(entry.get("warmupRemainingMs", 0)),
            born=entry["born"] if _is_integer(entry.get("born")) else 0,
        )
    except DocumentError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise DocumentError(f"{key!r} can't be decoded: {error!r}") from error


def _is_integer(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _to_seconds(millis):
    if isinstance(millis, bool) or not isinstance(millis, (int, float)):
        raise DocumentError(f"{millis!r} is not a number of milliseconds")
    return millis / MILLIS_PER_SECOND

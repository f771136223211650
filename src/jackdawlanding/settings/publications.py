"""Encodes and decodes published values: a service's declaration, version and hash."""

import hashlib
import typing

import expression
import msgspec

from jackdawlanding.settings import declarations

# A published value must stay below a megabyte.
MAXIMUM_BYTES = 1_000_000


class Publication(typing.NamedTuple):
    """The published declaration of one service.

    ``created`` is when the service was first published, in wall-clock seconds.
    """

    service: str
    version: int
    created: int
    declaration: declarations.Declaration


class Value(typing.TypedDict):
    """The JSON object that a :class:`Publication` is published as."""

    service: str
    version: int
    created: int
    hash: str
    declaration: dict


def compute_hash(value):
    """Return the hash of all fields of a value except ``hash``."""
    hashed = {key: item for key, item in value.items() if key != "hash"}
    data = msgspec.json.encode(hashed, order="sorted")
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def encode(publication):
    """Return the bytes of the published value."""
    value = Value(
        service=publication.service,
        version=publication.version,
        created=publication.created,
        hash="",
        declaration=declarations.dump(publication.declaration),
    )
    value["hash"] = compute_hash(value)
    return msgspec.json.encode(value, order="sorted")


def decode(data, *, service=None):
    """Decode and check a published value.

    :param service: the service that the value must be for; any by default.
    :returns: ``expression.Ok(Publication)`` or ``expression.Error(text)``.
    """
    if len(data) > MAXIMUM_BYTES:
        return expression.Error(f"value of {len(data)} bytes is over {MAXIMUM_BYTES}")
    try:
        value = msgspec.json.decode(data, type=Value)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return expression.Error(f"value can't be decoded: {error}")
    if value["hash"] != compute_hash(value):
        return expression.Error("value does not match its hash; publish it again")
    if service is not None and value["service"] != service:
        return expression.Error(f"value is for {value['service']!r}, not {service!r}")
    result = declarations.convert(value["declaration"], file=value["service"])
    if result.is_error():
        return expression.Error(result.error[0].format())
    if result.ok.service != value["service"]:
        return expression.Error(f"declaration is for {result.ok.service!r}")
    return expression.Ok(
        Publication(
            service=value["service"],
            version=value["version"],
            created=value["created"],
            declaration=result.ok,
        )
    )

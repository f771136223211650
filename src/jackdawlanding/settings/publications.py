"""Published values: one a service, versioned and hashed, below a megabyte."""

import hashlib
import typing

import expression
import msgspec

from jackdawlanding.settings import declarations

MAXIMUM_BYTES = 1_000_000


class Publication(typing.NamedTuple):
    """One service's published declaration.

    ``created`` is the wall-clock second at which the service was first
    published.
    """

    service: str
    version: int
    created: int
    declaration: declarations.Declaration


class Value(typing.TypedDict):
    """The published form of a :class:`Publication`."""

    service: str
    version: int
    created: int
    hash: str
    declaration: dict


def compute_hash(value):
    """Return the hash over everything in a value but the hash itself."""
    covered = {key: item for key, item in value.items() if key != "hash"}
    data = msgspec.json.encode(covered, order="sorted")
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def encode(publication):
    """Return the bytes to publish."""
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
    """Decode and check published bytes; a bad value is refused whole.

    :param service: the service that the value must be for.
    :returns: ``expression.Ok(Publication)`` or ``expression.Error(text)``.
    """
    if len(data) > MAXIMUM_BYTES:
        return expression.Error(f"value of {len(data)} bytes is over {MAXIMUM_BYTES}")
    try:
        value = msgspec.json.decode(data, type=Value)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return expression.Error(f"value does not decode: {error}")
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

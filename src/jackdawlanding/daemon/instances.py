"""Lists of instances: their published form and a hash to compare them by."""

import hashlib

import msgspec

from jackdawlanding.decisions import membership

HASH_BYTES = 8


class InstancesError(Exception):
    """A list of instances that does not decode."""


def encode(entries):
    """Return the bytes of a list of ``membership.ListedInstance``."""
    return msgspec.json.encode([list(one) for one in entries])


def decode(data):
    """Decode what :func:`encode` made.

    :raises InstancesError: the bytes hold something else.
    """
    try:
        return msgspec.json.decode(data, type=list[membership.ListedInstance])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise InstancesError(f"a list does not decode: {error}") from error


def compute_hash(entries):
    """Return a digest of the names and addresses in a list."""
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for one in sorted(entries, key=lambda entry: entry.instance):
        digest.update(f"{one.instance} {one.address}\n".encode())
    return digest.digest()

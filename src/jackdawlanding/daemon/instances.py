"""Encodes lists of instances, and computes digests to compare them by."""

import hashlib

import msgspec

from jackdawlanding.decisions import membership

HASH_BYTES = 8


class InstancesError(Exception):
    """Raised when the bytes of a list of instances cannot be decoded."""


def encode(entries):
    """Return the bytes of a list of ``membership.ListedInstance``."""
    return msgspec.json.encode([list(entry) for entry in entries])


def decode(data):
    """Decode a list of instances that :func:`encode` encoded.

    :raises InstancesError: the bytes are not such a list.
    """
    try:
        return msgspec.json.decode(data, type=list[membership.ListedInstance])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise InstancesError(f"cannot decode the list of instances: {error}") from error


def compute_hash(entries):
    """Return a digest of the names and addresses in a list."""
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for entry in sorted(entries, key=lambda entry: entry.instance):
        digest.update(f"{entry.instance} {entry.address}\n".encode())
    return digest.digest()

"""Rendezvous (highest random weight) hashing of keys over members.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking, 1998.
"""

# hashlib loads OpenSSL, which takes 3.6 MB of memory in each daemon.
try:
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

DIGEST_BYTES = 16


def digest(*parts):
    """Return a 16-byte digest of text parts.

    The same text split into other parts has another digest.
    """
    state = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode()
        state.update(len(data).to_bytes(4, "big"))
        state.update(data)
    return state.digest()


def digest_bytes(data):
    """Return a 16-byte digest of bytes."""
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def weigh(key, member):
    """Return the weight of ``member`` (text) for ``key`` (bytes), to compare by."""
    state = blake2b(member.encode(), digest_size=8, key=key[:64])
    return state.digest(), member


def order(key, members):
    """Return ``members`` by descending weight for ``key``."""
    return sorted(members, key=lambda member: weigh(key, member), reverse=True)


def choose_pair(key, members):
    """Return the owner and the witness of ``key``: the first two members.

    The witness is ``None`` if there is only one member, and both are ``None`` if
    there is none.
    """
    first = second = None
    first_weight = second_weight = None
    for member in members:
        weight = weigh(key, member)
        if first_weight is None or weight > first_weight:
            second, second_weight = first, first_weight
            first, first_weight = member, weight
        elif second_weight is None or weight > second_weight:
            second, second_weight = member, weight
    return first, second

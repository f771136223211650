"""How much a daemon holds for others.

The smallest machines have 200 MB. A body is held up to three times while it is passed
on, and buffers that grow take up to twice what they hold.
"""

# The most bytes of the requests of callers that are received or served.
MAXIMUM_REQUEST_BYTES = 32 << 20
# The most bytes of the calls of other daemons, and of answers that were not read yet.
MAXIMUM_HELD_BYTES = 12 << 20
# Smaller bodies and messages are not held up for room.
LARGE_BYTES = 65536


def count_readable(*, held, arriving, count):
    """Return how many of some large messages may be read on at the same time.

    :param held: bytes that are freed whatever is read.
    :param arriving: bytes that the messages take, and others beside them.
    :param count: the number of the messages.
    """
    if held > MAXIMUM_HELD_BYTES:
        return 0
    return count if held + arriving <= MAXIMUM_HELD_BYTES else 1

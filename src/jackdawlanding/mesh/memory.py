"""How much a daemon holds for others.

The smallest machines have 200 MB. A body is held twice for a moment, where it is taken
from the buffer that it was received in.
"""

# The most bytes of the requests of callers that are received or served.
MAXIMUM_REQUEST_BYTES = 32 << 20
# While others hold no more, one request may take any size that the operator allows.
FREE_REQUEST_BYTES = 8 << 20
# The most bytes of the calls of other daemons, and of answers that were not read yet.
MAXIMUM_HELD_BYTES = 12 << 20
# The most bytes of answers that callers have not read. Those who read least are cut off
# where it is more: the size of an answer may be known too late.
MAXIMUM_UNREAD_BYTES = 32 << 20
# Smaller bodies and messages are not held up for room.
LARGE_BYTES = 65536


def has_room(*, held, by_largest):
    """Return whether there is room for the requests that are received or served.

    One may have any size, while the others leave most of the room free.

    :param held: the bytes of all of them.
    :param by_largest: returns those of the connection that holds most.
    """
    return held <= MAXIMUM_REQUEST_BYTES or held - by_largest() <= FREE_REQUEST_BYTES


def make_parts(head, body):
    """Return what to write for a message: one part, unless its body is large."""
    if len(body) <= LARGE_BYTES:
        return (head + body,)
    return head, memoryview(body)


def count_readable(*, held, arriving, count):
    """Return how many of some large messages may be read on at the same time.

    :param held: bytes that are freed whatever is read.
    :param arriving: bytes that the messages take, and others beside them.
    :param count: the number of the messages.
    """
    if held > MAXIMUM_HELD_BYTES:
        return 0
    return count if held + arriving <= MAXIMUM_HELD_BYTES else 1

"""Bytes that wait to be sent on a connection."""

import collections

from jackdawlanding.mesh import memory


class SendBuffer:
    """Joins small pieces, and refers to large ones without a copy.

    ``size`` is the number of bytes. A large piece must not change any more.
    """

    __slots__ = ("_parts", "size")

    def __init__(self):
        self._parts = collections.deque()
        self.size = 0

    def append(self, data):
        """Add bytes at the end."""
        if not data:
            return
        self.size += len(data)
        if len(data) > memory.LARGE_BYTES:
            self._parts.append(memoryview(data))
        elif self._parts and type(self._parts[-1]) is bytearray:
            self._parts[-1] += data
        else:
            self._parts.append(bytearray(data))

    def get_first(self):
        """Return bytes from the start; there must be some."""
        return self._parts[0]

    def remove(self, count):
        """Remove bytes that :meth:`get_first` returned, from the start."""
        first = self._parts[0]
        self.size -= count
        if count == len(first):
            self._parts.popleft()
        elif type(first) is bytearray:
            del first[:count]
        else:
            self._parts[0] = _shrink(first[count:])

    def clear(self):
        """Remove all bytes."""
        self._parts.clear()
        self.size = 0


def _shrink(rest):
    """Return a view, of a copy where most of what it refers to was sent."""
    return memoryview(bytes(rest)) if 2 * len(rest) < len(rest.obj) else rest

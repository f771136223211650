"""The bytes of messages on a link: MessagePack arrays, each headed by its kind.

On links between regions, where bytes are paid for, calls, replies and news are
packed: an array of the deflated message without its body, and the body. The
deflated parts of one direction share their history, so that names and headers
that repeat take a few bytes.
"""

import zlib

import msgpack

from jackdawlanding.mesh import messages

MAXIMUM_BYTES = 96 << 20
# Each of many links has a buffer of this size.
BUFFER_BYTES = 4096
# History of 1 KiB, two or three heads, and 6 KiB of state a direction: a daemon
# has a link each way to every host of the other regions that it calls.
WINDOW_BITS = 10
MEMORY_LEVEL = 2
# Heads are short and must be quick.
LEVEL = 1

_NUMBERS = {kind: number for number, kind in enumerate(messages.KINDS)}
_PACKED_KINDS = frozenset({messages.Call, messages.Reply, messages.News})
_pack = msgpack.Packer(autoreset=True).pack


class MessageError(Exception):
    """Bytes of a peer that are no message; its link must be closed."""


class Encoder:
    """Turns the messages of one direction of a link into bytes.

    Set ``is_packed`` once the other end is known to be in another region.
    """

    def __init__(self):
        self.is_packed = False
        self._deflater = None

    def encode(self, message):
        """Return the bytes of a message."""
        if self.is_packed and type(message) in _PACKED_KINDS:
            return self._encode_packed(message)
        return _pack((_NUMBERS[type(message)], *message))

    def _encode_packed(self, message):
        if self._deflater is None:
            self._deflater = zlib.compressobj(
                LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
            )
        body = getattr(message, "body", b"")
        if body:
            message = message._replace(body=b"")
        head = _pack((_NUMBERS[type(message)], *message))
        deflated = self._deflater.compress(head)
        deflated += self._deflater.flush(zlib.Z_SYNC_FLUSH)
        return _pack((deflated, body))


class Decoder:
    """Cuts a byte stream into messages, packed or not."""

    def __init__(self):
        self._unpacker = msgpack.Unpacker(
            read_size=BUFFER_BYTES, max_buffer_size=MAXIMUM_BYTES
        )
        self._inflater = None

    def feed(self, data):
        """Return the whole messages that ``data`` completes.

        :raises MessageError: the bytes are malformed.
        """
        found = []
        try:
            self._unpacker.feed(data)
            for values in self._unpacker:
                if isinstance(values[0], bytes):
                    found.append(self._decode_packed(*values))
                else:
                    found.append(_make(values))
        except (
            AttributeError,
            ValueError,
            TypeError,
            LookupError,
            msgpack.UnpackException,
            zlib.error,
        ) as error:
            raise MessageError(f"a peer's message can't be read: {error!r}") from error
        return found

    def _decode_packed(self, deflated, body):
        if self._inflater is None:
            self._inflater = zlib.decompressobj(-WINDOW_BITS)
        head = self._inflater.decompress(deflated, MAXIMUM_BYTES)
        if self._inflater.unconsumed_tail:
            raise ValueError(f"the message is over {MAXIMUM_BYTES} bytes")
        message = _make(msgpack.unpackb(head))
        return message._replace(body=body) if body else message


def _make(values):
    return messages.KINDS[values[0]](*values[1:])

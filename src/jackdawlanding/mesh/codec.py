"""Encodes messages on a link as MessagePack arrays that start with their kind.

Traffic between regions costs money. On links between regions calls, replies and
state updates are therefore sent as an array of the compressed message without its
body, and the body as it is. One direction shares a compression history, so repeated
names and headers take a few bytes.
"""

import zlib

import msgpack

from jackdawlanding.mesh import memory, messages

# The largest body, and a head.
MAXIMUM_MESSAGE_BYTES = (64 << 20) + (2 << 20)
READ_BUFFER_BYTES = 4096
# A history of 1 KiB, two or three messages without body, and 6 KiB of state for each
# direction: a daemon has a link each way to every host that it calls in other regions.
WINDOW_BITS = 10
MEMORY_LEVEL = 2
# The compressed parts are short and must be compressed quickly.
COMPRESSION_LEVEL = 1

_NUMBERS = {kind: number for number, kind in enumerate(messages.KINDS)}
_BODY_KINDS = frozenset({messages.Call, messages.Reply})
_COMPRESSED_KINDS = _BODY_KINDS | {messages.StateUpdate}
_packer = msgpack.Packer(autoreset=True)
_pack = _packer.pack
# The first byte of MessagePack's "bin 32", which its size in 4 bytes follows.
_BIN_32 = b"\xc6"


class MessageError(Exception):
    """Raised for bytes that are no message; the link must be closed."""


class Encoder:
    """Encodes the messages of one direction of a link.

    Set ``is_compressed`` once the peer is known to be in another region.
    """

    def __init__(self):
        self.is_compressed = False
        self._compressor = None

    def encode(self, message):
        """Return a message as bytes."""
        return b"".join(self.encode_parts(message))

    def encode_parts(self, message):
        """Return a message as parts, one of which refers to a large body."""
        if self.is_compressed and type(message) in _COMPRESSED_KINDS:
            values, place = self._compress(message), 1
        elif type(message) in _BODY_KINDS:
            values = _list_values(message)
            place = 1 + message._fields.index("body")
        else:
            return (_pack(_list_values(message)),)
        return _pack_parts(values, place)

    def _compress(self, message):
        """Return the compressed message without its body, and the body."""
        if self._compressor is None:
            self._compressor = zlib.compressobj(
                COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
            )
        body = getattr(message, "body", b"")
        if body:
            message = message._replace(body=b"")
        head = _pack(_list_values(message))
        compressed = self._compressor.compress(head)
        compressed += self._compressor.flush(zlib.Z_SYNC_FLUSH)
        return compressed, body


class Decoder:
    """Decodes a byte stream into messages, compressed or not.

    There are many links, and the buffer of an unpacker never shrinks. It is therefore
    kept only while a message is incomplete.
    """

    def __init__(self):
        self._unpacker = None
        # Bytes that the unpacker was fed.
        self._fed = 0
        self._decompressor = None
        # The size of the part of a message that was received.
        self.pending_bytes = 0

    def feed(self, data):
        """Return the messages that ``data`` completes.

        :raises MessageError: the bytes are malformed.
        """
        received = []
        self._fed += len(data)
        end = 0
        unpacker = self._unpacker or _make_unpacker()
        try:
            unpacker.feed(data)
            for values in unpacker:
                end = unpacker.tell()
                if isinstance(values[0], bytes):
                    received.append(self._decode_compressed(*values))
                else:
                    received.append(_make(values))
        except (
            AttributeError,
            ValueError,
            TypeError,
            LookupError,
            msgpack.UnpackException,
            zlib.error,
        ) as error:
            raise MessageError(f"a peer's message can't be read: {error!r}") from error
        self.pending_bytes = self._fed - unpacker.tell()
        if end == self._fed:
            self._unpacker = None
            self._fed = 0
        elif end > memory.LARGE_BYTES:
            self._restart(data[len(data) - (self._fed - end) :])
        else:
            self._unpacker = unpacker
        return received

    def _restart(self, rest):
        """Begin with a new buffer after a large message."""
        self._unpacker = _make_unpacker()
        self._unpacker.feed(rest)
        self._fed = len(rest)
        self.pending_bytes = self._fed

    def _decode_compressed(self, compressed, body):
        if self._decompressor is None:
            self._decompressor = zlib.decompressobj(-WINDOW_BITS)
        head = self._decompressor.decompress(compressed, MAXIMUM_MESSAGE_BYTES)
        if self._decompressor.unconsumed_tail:
            raise ValueError(
                f"the decompressed message is over {MAXIMUM_MESSAGE_BYTES} bytes"
            )
        message = _make(msgpack.unpackb(head))
        return message._replace(body=body) if body else message


def _make_unpacker():
    return msgpack.Unpacker(
        read_size=READ_BUFFER_BYTES, max_buffer_size=MAXIMUM_MESSAGE_BYTES
    )


def _pack_parts(values, place):
    """Pack an array as parts; the value at ``place`` is not copied if it is large."""
    body = values[place]
    if len(body) <= memory.LARGE_BYTES:
        return (_pack(values),)
    before = [_packer.pack_array_header(len(values)), *map(_pack, values[:place])]
    before.append(_BIN_32 + len(body).to_bytes(4, "big"))
    after = b"".join(map(_pack, values[place + 1 :]))
    return b"".join(before), memoryview(body), after


def _list_values(message):
    fields = message if message[-1] is not None else message[:-1]
    return (_NUMBERS[type(message)], *fields)


def _make(values):
    return messages.KINDS[values[0]](*values[1:])

"""Frames on a TCP connection between daemons.

A frame is a 12-byte header (kind, message length, body length), a Cap'n Proto
message and a body of raw bytes.
"""

import enum
import struct
import typing

HEADER = struct.Struct("!B3xII")
MAXIMUM_MESSAGE_BYTES = 1 << 20
MAXIMUM_BODY_BYTES = 16 << 20
READ_BYTES = 65536


class Kind(enum.IntEnum):
    """Which message a frame carries; ``SYNCED`` answers ``SYNC``."""

    CALL = 1
    ANSWER = 2
    CANCEL = 3
    SYNC = 4
    SYNCED = 5


class Frame(typing.NamedTuple):
    """A frame: its kind, its encoded message and its raw body."""

    kind: int
    message: bytes
    body: bytes


class FrameError(Exception):
    """A peer sent an invalid frame; its connection must be closed."""


class FrameReader:
    """Parses a stream of bytes into frames of limited size.

    :param maximum_body_bytes: the largest body that is accepted.
    """

    def __init__(self, *, maximum_body_bytes=MAXIMUM_BODY_BYTES):
        self._maximum_body_bytes = maximum_body_bytes
        self._buffer = bytearray()

    @property
    def is_partial(self):
        """Whether the start of a frame has been received but not its end."""
        return bool(self._buffer)

    def feed(self, data):
        """Append received bytes to the buffer."""
        self._buffer += data

    def read_frame(self):
        """Remove and return the next complete frame, ``None`` if there is none.

        :raises FrameError: the header has an unknown kind or a length over a limit.
        """
        if len(self._buffer) < HEADER.size:
            return None
        kind, message_length, body_length = HEADER.unpack_from(self._buffer)
        self._check_header(kind, message_length, body_length)
        message_end = HEADER.size + message_length
        frame_end = message_end + body_length
        if len(self._buffer) < frame_end:
            return None
        message = bytes(self._buffer[HEADER.size : message_end])
        body = bytes(self._buffer[message_end:frame_end])
        del self._buffer[:frame_end]
        return Frame(kind=kind, message=message, body=body)

    def _check_header(self, kind, message_length, body_length):
        if kind not in Kind._value2member_map_:
            raise FrameError(f"unknown frame kind {kind}")
        if message_length > MAXIMUM_MESSAGE_BYTES:
            raise FrameError(f"message of {message_length} bytes is too long")
        if body_length > self._maximum_body_bytes:
            raise FrameError(f"body of {body_length} bytes is too long")


def encode_frame(*, kind, message, body=b""):
    """Return the bytes of a frame; ``kind`` is a :class:`Kind`."""
    return HEADER.pack(kind, len(message), len(body)) + message + body

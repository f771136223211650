"""Frames on a TCP connection between daemons.

A frame is a 12-byte head (kind, message length, body length), a Cap'n Proto
message and a body of raw bytes.
"""

import enum
import select
import socket
import struct
import typing

HEAD = struct.Struct("!B3xII")
MAXIMUM_MESSAGE_BYTES = 1 << 20
MAXIMUM_BODY_BYTES = 16 << 20
READ_BYTES = 65536


class Kind(enum.IntEnum):
    """What a frame holds."""

    CALL = 1
    ANSWER = 2
    CANCEL = 3
    SYNC = 4
    SYNCED = 5


class Frame(typing.NamedTuple):
    """One frame: its kind, its encoded message and its raw body."""

    kind: int
    message: bytes
    body: bytes


class FrameError(Exception):
    """The bytes of a peer are no frame; the connection must be closed."""


class FrameReader:
    """Cuts a byte stream into frames, within bounds.

    :param maximum_body: largest body accepted, in bytes.
    """

    def __init__(self, *, maximum_body=MAXIMUM_BODY_BYTES):
        self._maximum_body = maximum_body
        self._buffer = bytearray()

    @property
    def is_partial(self):
        """Whether a frame has begun and not ended."""
        return bool(self._buffer)

    def feed(self, data):
        """Add received bytes."""
        self._buffer += data

    def read_frame(self):
        """Return the next whole frame, or ``None``.

        :raises FrameError: the head breaks a bound or names no known kind.
        """
        if len(self._buffer) < HEAD.size:
            return None
        kind, message_length, body_length = HEAD.unpack_from(self._buffer)
        self._check(kind, message_length, body_length)
        message_end = HEAD.size + message_length
        frame_end = message_end + body_length
        if len(self._buffer) < frame_end:
            return None
        message = bytes(self._buffer[HEAD.size : message_end])
        body = bytes(self._buffer[message_end:frame_end])
        del self._buffer[:frame_end]
        return Frame(kind=kind, message=message, body=body)

    def _check(self, kind, message_length, body_length):
        if kind not in Kind._value2member_map_:
            raise FrameError(f"frame kind {kind} is not known")
        if message_length > MAXIMUM_MESSAGE_BYTES:
            raise FrameError(f"message of {message_length} bytes is too long")
        if body_length > self._maximum_body:
            raise FrameError(f"body of {body_length} bytes is too long")


def encode_frame(*, kind, message, body=b""):
    """Return the bytes of one frame."""
    return HEAD.pack(kind, len(message), len(body)) + message + body


def is_closed(sock):
    """Return whether the far side has closed an idle connection."""
    # A socket with a timeout waits in recv even with MSG_DONTWAIT.
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    if not poll.poll(0):
        return False
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True

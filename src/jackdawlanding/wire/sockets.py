"""Whether an idle connection can still be used."""

import select
import socket


def has_unread(sock):
    """Return whether a socket has unread bytes, an end of stream or an error."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def is_closed(sock):
    """Return whether the peer has closed an idle connection."""
    # recv on a socket with a timeout blocks even with MSG_DONTWAIT, so poll first.
    if not has_unread(sock):
        return False
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True

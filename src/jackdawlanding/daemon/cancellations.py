"""Giving up a call that waits on a socket."""

import socket
import threading


class Cancellation:
    """Lets a call be given up from another thread."""

    def __init__(self):
        self.is_cancelled = False
        self._sock = None
        self._lock = threading.Lock()

    def attach(self, sock):
        """Say which socket the call waits on, or ``None``."""
        with self._lock:
            self._sock = sock

    def cancel(self):
        """Give the call up: shut the socket that it waits on."""
        with self._lock:
            self.is_cancelled = True
            sock, self._sock = self._sock, None
        if sock:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                return

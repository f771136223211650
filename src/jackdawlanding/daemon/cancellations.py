"""Cancels calls that wait on a socket, from another thread."""

import socket
import threading


class Cancellation:
    """Cancels one call by shutting down the socket that it waits on."""

    def __init__(self):
        self.is_cancelled = False
        self._sock = None
        self._lock = threading.Lock()

    def attach(self, sock):
        """Set the socket that the call waits on; ``None`` if it waits on none."""
        with self._lock:
            self._sock = sock

    def cancel(self):
        """Cancel the call and shut down the socket that it waits on, if any."""
        with self._lock:
            self.is_cancelled = True
            sock, self._sock = self._sock, None
        if sock:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                return

"""A proxy that breaks connections."""

import contextlib
import os
import socket
import struct
import threading


class Proxy:
    """Passes bytes of TCP connections on, until told to go silent or reset.

    Connections that are open when it goes silent stay silent; new ones work.
    """

    def __init__(self, *, host, port, target):
        self._target = target
        self._pairs = []
        self._silent = set()
        self._listener = socket.create_server((host, port), backlog=64)
        self.is_refusing = False
        threading.Thread(target=self._accept, daemon=True).start()

    def go_silent(self):
        self._silent.update(id(pair) for pair in self._pairs)

    def reset_all(self):
        for pair in self._pairs:
            for sock in pair:
                reset(sock)
        self._pairs.clear()

    def stop(self):
        # A thread that waits in accept() would keep a closed socket listening.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset_all()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self._target, timeout=2)
            except OSError:
                near.close()
                continue
            pair = (near, far)
            self._pairs.append(pair)
            for one, other in (pair, pair[::-1]):
                threading.Thread(
                    target=self._pass, args=(pair, one, other), daemon=True
                ).start()

    def _pass(self, pair, one, other):
        while True:
            try:
                data = one.recv(65536)
                if id(pair) in self._silent:
                    continue
                if not data:
                    other.shutdown(socket.SHUT_WR)
                    return
                other.sendall(data)
            except OSError:
                return


def reset(sock):
    """Close a socket with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # Files made of the socket would keep it open after close().
        os.close(sock.detach())
    except OSError:
        return

"""A TCP proxy that interrupts connections."""

import contextlib
import os
import socket
import struct
import threading
import time


class Proxy:
    """Forwards TCP connections; can silence, reset or delay them.

    Connections that are open at :meth:`go_silent` stay silent; later ones work.
    ``delay`` holds up whatever is forwarded, in seconds.
    """

    def __init__(self, *, host, port, target):
        self.port = port
        self.delay = 0.0
        self._target = target
        self._pairs = []
        self._silent = set()
        self._listener = socket.create_server((host, port), backlog=64)
        self.is_refusing = False
        threading.Thread(target=self._accept, daemon=True).start()

    def go_silent(self, *, only_answers=False):
        """Drop what open connections carry; with ``only_answers``, only one way."""
        for inbound, outbound in self._pairs:
            self._silent.add(outbound)
            if not only_answers:
                self._silent.add(inbound)

    def reset_all(self):
        pairs, self._pairs = self._pairs, []
        for pair in pairs:
            for sock in pair:
                reset(sock)

    def stop(self):
        # A thread blocked in accept() would keep the closed socket listening.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset_all()

    def _accept(self):
        while True:
            try:
                inbound, _ = self._listener.accept()
            except OSError:
                return
            try:
                outbound = socket.create_connection(self._target, timeout=2)
            except OSError:
                inbound.close()
                continue
            # The timeout is for connecting alone.
            outbound.settimeout(None)
            pair = (inbound, outbound)
            self._pairs.append(pair)
            for source, sink in (pair, pair[::-1]):
                threading.Thread(
                    target=self._forward, args=(pair, source, sink), daemon=True
                ).start()

    def _forward(self, pair, source, sink):
        while True:
            try:
                data = source.recv(65536)
                if pair not in self._pairs:
                    return
                is_silent = source in self._silent
                if not data and not is_silent:
                    sink.shutdown(socket.SHUT_WR)
                if not data:
                    return
                if is_silent:
                    continue
                if self.delay:
                    time.sleep(self.delay)
                sink.sendall(data)
            except OSError:
                return


def reset(sock):
    """Close a socket with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # A thread blocked in recv() would keep the socket open.
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RD)
        # Files made from the socket would keep it open after close().
        os.close(sock.detach())
    except OSError:
        return

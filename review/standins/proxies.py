"""A TCP proxy on loopback that can hold up, drop and reset connections."""

import contextlib
import os
import socket
import struct
import threading
import time


class Connection:
    """One forwarded connection.

    ``held_until`` delays the bytes of the opener; ``chunks`` counts the pieces that
    were forwarded either way.
    """

    def __init__(self, *, inbound, outbound):
        self.inbound = inbound
        self.outbound = outbound
        self.opened_at = time.monotonic()
        self.held_until = 0.0
        self.chunks = 0

    def reset(self):
        """Reset both sides."""
        for sock in (self.inbound, self.outbound):
            _reset(sock)


class Proxy:
    """Forwards TCP connections to a target.

    ``on_connection`` is called with each new :class:`Connection` before any of its
    bytes are forwarded.
    """

    def __init__(self, *, address, target):
        self.connections = []
        self.chunks = 0
        self.on_connection = None
        self._target = target
        self._listener = socket.create_server(address, backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_busiest(self, share):
        """Reset a share of the open connections, those that carried most first."""
        count = int(len(self.connections) * share)
        busiest = sorted(self.connections, key=lambda one: one.chunks, reverse=True)
        for connection in busiest[:count]:
            self._forget(connection)
            connection.reset()
        return count

    def reset_all(self):
        """Reset all open connections."""
        connections, self.connections = self.connections, []
        for connection in connections:
            connection.reset()

    def stop(self):
        """Stop listening and reset all connections."""
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
                _reset(inbound)
                continue
            outbound.settimeout(None)
            for sock in (inbound, outbound):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(inbound=inbound, outbound=outbound)
            self.connections.append(connection)
            if self.on_connection is not None:
                self.on_connection(connection)
            for source, sink in ((inbound, outbound), (outbound, inbound)):
                threading.Thread(
                    target=self._forward, args=(connection, source, sink), daemon=True
                ).start()

    def _forward(self, connection, source, sink):
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(65536)
                if source is connection.inbound:
                    time.sleep(max(0.0, connection.held_until - time.monotonic()))
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
                connection.chunks += 1
                self.chunks += 1
        self._forget(connection)

    def _forget(self, connection):
        with contextlib.suppress(ValueError):
            self.connections.remove(connection)


def _reset(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # A thread blocked in recv() would keep the socket open.
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RD)
        os.close(sock.detach())

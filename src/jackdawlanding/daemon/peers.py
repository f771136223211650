"""Connections to other daemons: many requests in flight, replies in any order.

A thread that waits for a reply reads the connection itself unless another
thread is reading it, so that the common case needs no handover between threads.
"""

import contextlib
import itertools
import select
import socket
import threading
import time
import typing

from jackdawlanding.wire import codec, framing, sockets

CONNECT_TIMEOUT_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 5.0
# Interval at which a follower (a thread that waits while another thread reads)
# checks whether it must read itself.
FOLLOWER_CHECK_SECONDS = 0.25
READ_BYTES = 65536


class PeerError(Exception):
    """Raised when a request to a peer got no reply.

    :param reason: ``unreachable``, ``peer-lost`` or ``timeout``.
    :param sent: whether any byte of the request may have reached the peer.
    """

    def __init__(self, *, reason, sent):
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class Reply(typing.NamedTuple):
    """A decoded answer or sync message, and its raw body."""

    message: typing.Any
    body: bytes


class _Waiter:
    """Holds the reply to a request, or the error that ended it."""

    __slots__ = ("error", "event", "reply")

    def __init__(self):
        self.event = threading.Event()
        self.reply = None
        self.error = None

    @property
    def is_done(self):
        return self.reply is not None or self.error is not None


_DECODERS = {
    framing.Kind.ANSWER: codec.decode_answer,
    framing.Kind.SYNCED: codec.decode_sync,
}


class PeerConnection:
    """The requesting side of a connection to one peer.

    :param address: a pair of host and port.
    """

    def __init__(self, *, address):
        self.address = address
        self.is_lost = False
        self._message_ids = itertools.count(1)
        self._pending = {}
        self._reader = framing.FrameReader()
        self._write_lock = threading.Lock()
        self._read_lock = threading.Lock()
        self._sock = self._connect()
        self._poll = select.poll()
        self._poll.register(self._sock, select.POLLIN)

    def request(self, *, kind, encode, body=b"", timeout):
        """Send one message and wait for its reply.

        :param encode: called with the message's id, returns its bytes.
        :param timeout: seconds to wait.
        :raises PeerError: there is no reply.
        """
        deadline = time.monotonic() + timeout
        message_id = next(self._message_ids)
        waiter = _Waiter()
        self._pending[message_id] = waiter
        try:
            self._send(
                framing.encode_frame(kind=kind, message=encode(message_id), body=body)
            )
            self._wait(waiter, message_id, deadline)
        finally:
            self._pending.pop(message_id, None)
        if waiter.error:
            raise waiter.error
        return waiter.reply

    def is_stale(self):
        """Return whether the connection was lost, or closed by the peer while idle."""
        if self.is_lost:
            return True
        if self._pending or not self._read_lock.acquire(blocking=False):
            return False
        try:
            stale = sockets.is_closed(self._sock)
        finally:
            self._read_lock.release()
        if stale:
            self._mark_lost()
        return stale

    def close(self):
        """Close the connection; requests in flight fail with ``peer-lost``."""
        self._mark_lost()

    def _connect(self):
        try:
            sock = socket.create_connection(
                self.address, timeout=CONNECT_TIMEOUT_SECONDS
            )
        except OSError:
            raise PeerError(reason="unreachable", sent=False) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(WRITE_TIMEOUT_SECONDS)
        return sock

    def _send(self, data):
        with self._write_lock:
            if self.is_lost:
                raise PeerError(reason="unreachable", sent=False)
            try:
                self._sock.sendall(data)
            except OSError:
                self._mark_lost()
                raise PeerError(reason="peer-lost", sent=True) from None

    def _wait(self, waiter, message_id, deadline):
        while not waiter.is_done:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                self._cancel(message_id)
                raise PeerError(reason="timeout", sent=True)
            if self._read_lock.acquire(blocking=False):
                try:
                    self._read_until(waiter, deadline)
                finally:
                    self._read_lock.release()
                    self._wake_follower()
            else:
                waiter.event.wait(min(remaining, FOLLOWER_CHECK_SECONDS))
                waiter.event.clear()

    def _read_until(self, waiter, deadline):
        while not waiter.is_done:
            remaining = deadline - time.monotonic()
            if remaining <= 0 or not self._poll.poll(remaining * 1000):
                return
            try:
                data = self._sock.recv(READ_BYTES)
                self._reader.feed(data)
                self._deliver_replies()
            except (OSError, framing.FrameError, codec.MessageError):
                data = b""
            if not data:
                self._mark_lost()
                return

    def _deliver_replies(self):
        while frame := self._reader.read_frame():
            decode = _DECODERS.get(frame.kind)
            if not decode:
                raise framing.FrameError(
                    f"frame kind {frame.kind} is not ANSWER or SYNCED"
                )
            message = decode(frame.message)
            waiter = self._pending.pop(message.id, None)
            # A reply to a request that has timed out is dropped.
            if waiter:
                waiter.reply = Reply(message=message, body=frame.body)
                waiter.event.set()

    def _wake_follower(self):
        for waiter in list(self._pending.values()):
            if not waiter.is_done:
                waiter.event.set()
                return

    def _cancel(self, message_id):
        message = codec.encode_cancel(codec.CancelMessage(id=message_id))
        try:
            self._send(framing.encode_frame(kind=framing.Kind.CANCEL, message=message))
        except PeerError:
            return

    def _mark_lost(self):
        self.is_lost = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        for waiter in list(self._pending.values()):
            if not waiter.is_done:
                waiter.error = PeerError(reason="peer-lost", sent=True)
                waiter.event.set()


class PeerPool:
    """Keeps one connection open to each peer.

    :param is_reachable: called with an address; a false result makes requests to
        the peer fail as ``unreachable``. Tests use it to cut links.
    """

    def __init__(self, *, is_reachable=None):
        self._is_reachable = is_reachable or (lambda address: True)
        self._connections = {}
        self._lock = threading.Lock()

    def request(self, *, address, kind, encode, body=b"", timeout):
        """Send one message to the peer at ``address`` and wait for its reply.

        See :meth:`PeerConnection.request`.
        """
        if not self._is_reachable(address):
            raise PeerError(reason="unreachable", sent=False)
        connection = self._get_connection(address)
        return connection.request(kind=kind, encode=encode, body=body, timeout=timeout)

    def retain_only(self, addresses):
        """Close connections to peers outside ``addresses``."""
        with self._lock:
            removed = [
                self._connections.pop(address)
                for address in list(self._connections)
                if address not in addresses
            ]
        for connection in removed:
            connection.close()

    def close(self):
        """Close all connections."""
        self.retain_only(())

    def _get_connection(self, address):
        connection = self._connections.get(address)
        if connection and not connection.is_stale():
            return connection
        with self._lock:
            connection = self._connections.get(address)
            if connection and not connection.is_lost:
                return connection
            host, _, port = address.rpartition(":")
            connection = PeerConnection(address=(host, int(port)))
            self._connections[address] = connection
            return connection

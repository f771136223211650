"""Buffered TCP connections and listeners on an event loop."""

import errno
import logging
import socket

from jackdawlanding.mesh import eventloop, sendbuffer

logger = logging.getLogger("jackdaw.streams")

BACKLOG = 2048
ACCEPTS_PER_EVENT = 128
# The pause after a connection can't be accepted: it stays in the queue, and the loop
# would spin.
ACCEPT_PAUSE_SECONDS = 0.1
# Errors of a process or machine that has no room for another connection.
_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
READS_AFTER_ERROR = 64
# How long a closing connection discards what its peer still sends: closing a socket
# with unread bytes resets the connection, and the peer may lose the last response.
LINGER_SECONDS = 1.0
# The kernel closes a connection whose peer acknowledges no data for this long: a silent
# link never reports an error.
USER_TIMEOUT_MILLIS = 2500


class Stream:
    """One connection, with callbacks for received bytes and a buffer for unsent ones.

    The user sets ``on_data(data)``, ``on_closed(was_reset)``, ``on_open()`` and
    ``on_drained()``, which is called when the last buffered byte is sent. ``on_closed``
    is called at most once, and never after :meth:`close`.

    :param loop: the :class:`eventloop.EventLoop`.
    :param sock: a connected or connecting socket, ``None`` for a connection that fails.
    :param is_connecting: whether the socket is still connecting.

    Set ``reads_after_error`` where data that the peer sent before it stopped reading
    matters, such as an early answer.
    """

    __slots__ = (
        "_closes_when_flushed",
        "_is_connecting",
        "_loop",
        "_unsent",
        "_is_paused",
        "_lingers",
        "is_closed",
        "on_closed",
        "on_data",
        "on_drained",
        "on_open",
        "reads_after_error",
        "sock",
    )

    def __init__(self, *, loop, sock, is_connecting=False):
        self._loop = loop
        self.sock = sock
        self._unsent = sendbuffer.SendBuffer()
        self._is_connecting = is_connecting
        self._closes_when_flushed = False
        self._is_paused = False
        self._lingers = False
        self.reads_after_error = False
        self.is_closed = False
        self.on_open = None
        self.on_data = None
        self.on_drained = None
        self.on_closed = None
        self._watch()

    @property
    def is_open(self):
        """Whether the connection is established and not closed."""
        return not self.is_closed and not self._is_connecting

    @property
    def is_paused(self):
        """Whether nothing is read until :meth:`resume`."""
        return self._is_paused

    @property
    def unsent(self):
        """The number of bytes that are not sent yet."""
        return self._unsent.size

    def write(self, data):
        """Send bytes, or buffer them until the socket is writable."""
        if self.is_closed:
            return
        if not self._unsent.size and not self._is_connecting:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._loop.call_soon(lambda: self.close_and_notify(was_reset=True))
                return
            if sent == len(data):
                return
            data = memoryview(data)[sent:]
        self._unsent.append(data)
        self._loop.unsent_bytes += len(data)
        self._watch()

    def write_all(self, parts):
        """Send the parts of one message; see :meth:`write`."""
        for part in parts:
            self.write(part)

    def pause(self):
        """Stop reading until :meth:`resume`."""
        if not self._is_paused and not self.is_closed:
            self._is_paused = True
            self._watch()

    def resume(self):
        """Start reading again."""
        if self._is_paused and not self.is_closed:
            self._is_paused = False
            self._watch()

    def close(self):
        """Close at once, without a callback, and drop unsent bytes."""
        if not self.is_closed:
            self.is_closed = True
            if self.sock is not None:
                self._loop.unwatch(self.sock.fileno())
                self.sock.close()
            self._loop.unsent_bytes -= self._unsent.size
            self._unsent.clear()
            # The callbacks refer to what was received, and their owner to the stream.
            self.on_open = self.on_data = self.on_closed = self.on_drained = None

    def close_after_flush(self, *, lingers=False):
        """Close once all written bytes are sent; ``on_data`` isn't called any more.

        :param lingers: whether to discard received bytes for a while before that.
        """
        self._lingers = lingers
        self._closes_when_flushed = True
        self.on_data = _discard
        if not self._unsent.size:
            self._close_flushed()

    def on_events(self, mask):
        """Handle readiness of the socket; called by the loop."""
        if self._is_connecting:
            self._finish_connect()
        elif mask & eventloop.WRITE:
            self._flush()
        if not self.is_closed and mask & ~eventloop.WRITE and not self._is_connecting:
            self._read()

    def _watch(self):
        if self.sock is None:
            return
        mask = 0 if self._is_paused else eventloop.READ
        if self._unsent.size or self._is_connecting:
            mask |= eventloop.WRITE
        self._loop.watch(self.sock.fileno(), self, mask)

    def _finish_connect(self):
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.close_and_notify(was_reset=True)
            return
        self._is_connecting = False
        if self.on_open is not None:
            self.on_open()
        if not self.is_closed:
            self._flush()

    def _flush(self):
        if not self._unsent.size:
            if not self.is_closed:
                self._watch()
            return
        try:
            self._send_unsent()
        except BlockingIOError:
            return
        except OSError:
            if self.reads_after_error:
                self._read_rest()
            self.close_and_notify(was_reset=True)
            return
        if not self._unsent.size:
            self._finish_flush()

    def _send_unsent(self):
        """Send as much as the socket takes."""
        is_whole = True
        while is_whole and self._unsent.size:
            first = self._unsent.get_first()
            sent = self.sock.send(first)
            is_whole = sent == len(first)
            self._unsent.remove(sent)
            self._loop.unsent_bytes -= sent

    def _finish_flush(self):
        on_drained = self.on_drained
        if self._closes_when_flushed:
            self._close_flushed()
        else:
            self._watch()
        if on_drained is not None:
            on_drained()

    def _close_flushed(self):
        if not self._lingers or self.is_closed:
            self.close()
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close_and_notify(was_reset=True)
            return
        self._is_paused = False
        self._watch()
        self._loop.call_later(
            LINGER_SECONDS, lambda: self.close_and_notify(was_reset=False)
        )

    def _read_rest(self):
        """Read what has arrived, but only as much as fits some buffers."""
        for _ in range(READS_AFTER_ERROR):
            if self.is_closed or not self._read_once():
                return

    def _read_once(self):
        """Pass on received bytes; return whether there were any."""
        try:
            count = self.sock.recv_into(self._loop.buffer)
        except OSError:
            return False
        if count:
            self.on_data(self._loop.buffer[:count])
        return bool(count)

    def _read(self):
        try:
            count = self.sock.recv_into(self._loop.buffer)
        except BlockingIOError:
            return
        except OSError:
            self.close_and_notify(was_reset=True)
            return
        if count:
            self.on_data(self._loop.buffer[:count])
        else:
            self.close_and_notify(was_reset=False)

    def close_and_notify(self, *, was_reset):
        """Close the connection and call ``on_closed``, once."""
        if self.is_closed:
            return
        on_closed = self.on_closed
        self.close()
        if on_closed is not None:
            on_closed(was_reset)


def _discard(data):
    """Ignore bytes that arrive on a closing connection."""


def connect(*, loop, address, user_timeout_millis=USER_TIMEOUT_MILLIS):
    """Start to connect to a pair of host and port; return the stream.

    A failure is reported by ``on_closed``, which the caller of this function can still
    set.
    """
    sock = None
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        _set_options(sock, user_timeout_millis)
        code = sock.connect_ex(tuple(address))
    except OSError as error:
        # There may be no descriptor left.
        code = error.errno
        if sock is not None:
            sock.close()
            sock = None
    stream = Stream(loop=loop, sock=sock, is_connecting=True)
    if code not in (0, errno.EINPROGRESS):
        logger.info("streams: could not connect to %s:%d: error %s.", *address, code)
    if sock is None:
        loop.call_soon(lambda: stream.close_and_notify(was_reset=True))
    return stream


def _set_options(sock, user_timeout_millis):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if user_timeout_millis:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_millis
        )


class Listener:
    """Accepts connections; each new stream goes to ``accept(stream, host)``."""

    def __init__(self, *, loop, address, accept, user_timeout_millis=0):
        self._loop = loop
        self._accept = accept
        self._user_timeout_millis = user_timeout_millis
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(tuple(address))
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self.is_closed = False
        loop.watch(self._sock.fileno(), self)

    @property
    def port(self):
        """The port that it listens on."""
        return self._sock.getsockname()[1]

    def on_events(self, mask):
        """Accept pending connections; called by the loop."""
        for _ in range(ACCEPTS_PER_EVENT):
            try:
                sock, peer = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                logger.warning("streams: a connection could not be accepted: %s", error)
                if error.errno in _EXHAUSTED:
                    self._pause()
                return
            sock.setblocking(False)
            _set_options(sock, self._user_timeout_millis)
            self._accept(Stream(loop=self._loop, sock=sock), peer[0])

    def _pause(self):
        self._loop.unwatch(self._sock.fileno())
        self._loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume)

    def _resume(self):
        if not self.is_closed:
            self._loop.watch(self._sock.fileno(), self)

    def close(self):
        """Stop listening."""
        if not self.is_closed:
            self.is_closed = True
            self._loop.unwatch(self._sock.fileno())
            self._sock.close()

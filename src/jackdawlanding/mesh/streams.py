"""Buffered TCP connections on an event loop."""

import errno
import logging
import select
import socket

from jackdawlanding.mesh import eventloop

logger = logging.getLogger("jackdaw.streams")

BACKLOG = 2048
ACCEPTS_PER_TURN = 128
# A peer that acknowledges nothing for so long is gone; a silent link looks so.
USER_TIMEOUT_MILLIS = 2500


class Stream:
    """One connection; bytes come by callback, what is written is buffered.

    ``on_data(data)``, ``on_closed(was_reset)`` and ``on_open()`` are set by the
    owner. ``on_closed`` is called once, and never after :meth:`close`.

    :param loop: the :class:`eventloop.EventLoop`.
    :param sock: a connected socket, or one that is connecting.
    :param is_connecting: whether the connection is still being made.
    """

    __slots__ = (
        "_closes_after_flush",
        "_is_connecting",
        "_loop",
        "_out",
        "_paused",
        "is_closed",
        "on_closed",
        "on_data",
        "on_open",
        "sock",
    )

    def __init__(self, *, loop, sock, is_connecting=False):
        self._loop = loop
        self.sock = sock
        self._out = bytearray()
        self._is_connecting = is_connecting
        self._closes_after_flush = False
        self._paused = False
        self.is_closed = False
        self.on_open = None
        self.on_data = None
        self.on_closed = None
        self._watch()

    @property
    def is_open(self):
        """Whether the connection is made and not closed."""
        return not self.is_closed and not self._is_connecting

    @property
    def unsent(self):
        """How many bytes wait to be sent."""
        return len(self._out)

    def write(self, data):
        """Send bytes, now or when there is room."""
        if self.is_closed:
            return
        if not self._out and not self._is_connecting:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._loop.call_soon(lambda: self._close_and_notify(was_reset=True))
                return
            if sent == len(data):
                return
            data = data[sent:]
        self._out += data
        self._watch()

    def pause(self):
        """Read no more until :meth:`resume`."""
        if not self._paused and not self.is_closed:
            self._paused = True
            self._watch()

    def resume(self):
        """Read again."""
        if self._paused and not self.is_closed:
            self._paused = False
            self._watch()

    def close(self):
        """Close at once, without a callback; unsent bytes are dropped."""
        if not self.is_closed:
            self.is_closed = True
            self._loop.unwatch(self.sock.fileno())
            self.sock.close()

    def close_after_flush(self):
        """Close once all that was written is sent."""
        if not self._out:
            self.close()
        else:
            self._closes_after_flush = True

    def on_events(self, mask):
        """Serve readiness; called by the loop."""
        if self._is_connecting:
            self._finish_connect()
        elif mask & eventloop.WRITE:
            self._flush()
        if not self.is_closed and mask & ~eventloop.WRITE and not self._is_connecting:
            self._read()

    def _watch(self):
        mask = 0 if self._paused else eventloop.READ
        if self._out or self._is_connecting:
            mask |= eventloop.WRITE
        self._loop.watch(self.sock.fileno(), self, mask)

    def _finish_connect(self):
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._close_and_notify(was_reset=True)
            return
        self._is_connecting = False
        if self.on_open is not None:
            self.on_open()
        if not self.is_closed:
            self._flush()

    def _flush(self):
        if self._out:
            try:
                sent = self.sock.send(self._out)
            except BlockingIOError:
                return
            except OSError:
                self._close_and_notify(was_reset=True)
                return
            del self._out[:sent]
        if not self._out:
            if self._closes_after_flush:
                self.close()
            else:
                self._watch()

    def _read(self):
        try:
            count = self.sock.recv_into(self._loop.buffer)
        except BlockingIOError:
            return
        except OSError:
            self._close_and_notify(was_reset=True)
            return
        if count:
            self.on_data(self._loop.buffer[:count])
        else:
            self._close_and_notify(was_reset=False)

    def _close_and_notify(self, *, was_reset):
        if self.is_closed:
            return
        self.close()
        if self.on_closed is not None:
            self.on_closed(was_reset)


def connect(*, loop, address, user_timeout_millis=USER_TIMEOUT_MILLIS):
    """Begin a connection to a pair of host and port; return its stream.

    A failure is told by ``on_closed``, after the callbacks could be set.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    _tune(sock, user_timeout_millis)
    code = sock.connect_ex(tuple(address))
    stream = Stream(loop=loop, sock=sock, is_connecting=True)
    if code not in (0, errno.EINPROGRESS):
        logger.info("streams: no connection to %s:%d (%s).", *address, code)
    return stream


def _tune(sock, user_timeout_millis):
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
        self._silent_millis = user_timeout_millis
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(tuple(address))
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self.is_closed = False
        loop.watch(self._sock.fileno(), self)

    @property
    def port(self):
        """The port in use."""
        return self._sock.getsockname()[1]

    def on_events(self, mask):
        """Accept what waits; called by the loop."""
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock, peer = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                logger.warning("streams: a connection was not accepted (%s).", error)
                return
            sock.setblocking(False)
            _tune(sock, self._silent_millis)
            self._accept(Stream(loop=self._loop, sock=sock), peer[0])

    def close(self):
        """Stop listening."""
        if not self.is_closed:
            self.is_closed = True
            self._loop.unwatch(self._sock.fileno())
            self._sock.close()


def has_unread(sock):
    """Return whether an idle connection has bytes, an end or an error waiting."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))

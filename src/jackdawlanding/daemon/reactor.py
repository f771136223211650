"""Worker threads that wait for readable sockets and serve them.

All workers wait on one epoll set with one-shot events. The worker that wakes for a
socket also reads, serves and responds, so that no call is passed between threads.
The socket is not watched while a worker serves it.
"""

import concurrent.futures
import enum
import logging
import select
import socket
import threading
import time

logger = logging.getLogger("jackdaw.reactor")

POLL_TIMEOUT_SECONDS = 0.5
SWEEP_INTERVAL_SECONDS = 0.25
BACKLOG = 512


class SocketAction(enum.Enum):
    """What the reactor does with a socket after its handler has run.

    ``DETACH`` leaves the socket unwatched until :meth:`Reactor.rearm`.
    """

    WATCH = "watch"
    CLOSE = "close"
    DETACH = "leave"


class Reactor:
    """Serves sockets on a fixed number of threads.

    A handler has ``sock``, ``on_readable()`` (returns a :class:`SocketAction`),
    ``is_overdue(now)``, ``on_overdue()`` and ``close()``.

    :param threads: the number of workers; each serves one call at a time.
    :param name: prefix of the threads' names.
    """

    def __init__(self, *, threads, name="worker"):
        self._epoll = select.epoll()
        self._handlers = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._busy_count = 0
        self._busy_lock = threading.Lock()
        self._thread_count = threads
        self._pool = concurrent.futures.ThreadPoolExecutor(
            max_workers=threads, thread_name_prefix=name
        )
        self._background_pool = concurrent.futures.ThreadPoolExecutor(
            max_workers=threads, thread_name_prefix=f"{name}-extra"
        )

    @property
    def connections(self):
        """The number of sockets that are watched or being served."""
        return len(self._handlers)

    @property
    def busy_count(self):
        """The number of sockets being served, until what is sent to them is written."""
        return self._busy_count

    def start(self):
        """Start the workers."""
        for _ in range(self._thread_count):
            self._pool.submit(self._run_worker)

    def stop(self):
        """Stop the workers and close every socket."""
        self._stopping.set()
        self._pool.shutdown(wait=False)
        self._background_pool.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            handlers = list(self._handlers.values())
            self._handlers.clear()
        for handler in handlers:
            handler.close()

    def spawn(self, function, *arguments):
        """Run a function that serves a socket on a background thread."""
        self._change_busy_count(1)
        future = self._background_pool.submit(function, *arguments)
        future.add_done_callback(lambda _: self._change_busy_count(-1))
        return future

    def add(self, handler):
        """Watch a handler's socket."""
        descriptor = handler.sock.fileno()
        with self._lock:
            self._handlers[descriptor] = handler
        self._epoll.register(descriptor, select.EPOLLIN | select.EPOLLONESHOT)

    def rearm(self, handler):
        """Watch a served socket again."""
        try:
            self._epoll.modify(
                handler.sock.fileno(), select.EPOLLIN | select.EPOLLONESHOT
            )
        except (OSError, ValueError):
            self.remove(handler)

    def remove(self, handler):
        """Remove a handler and close its socket."""
        descriptor = handler.sock.fileno()
        with self._lock:
            if self._handlers.get(descriptor) is handler:
                del self._handlers[descriptor]
        handler.close()

    def sweep(self, now):
        """Close sockets whose partial request is overdue at ``now``."""
        with self._lock:
            overdue = [
                handler
                for handler in self._handlers.values()
                if handler.is_overdue(now)
            ]
        for handler in overdue:
            handler.on_overdue()
            self.remove(handler)

    def _run_worker(self):
        while not self._stopping.is_set():
            for descriptor, _ in self._epoll.poll(POLL_TIMEOUT_SECONDS, 1):
                handler = self._handlers.get(descriptor)
                if handler:
                    self._serve(handler)

    def _change_busy_count(self, amount):
        with self._busy_lock:
            self._busy_count += amount

    def _serve(self, handler):
        self._change_busy_count(1)
        try:
            action = handler.on_readable()
        except OSError:
            action = SocketAction.CLOSE
        except Exception:
            logger.exception("reactor: a handler failed.")
            action = SocketAction.CLOSE
        finally:
            self._change_busy_count(-1)
        if action is SocketAction.WATCH:
            self.rearm(handler)
        elif action is SocketAction.CLOSE:
            self.remove(handler)


class Listener:
    """Accepts connections and adds them to a reactor.

    :param reactor: the :class:`Reactor` that serves them.
    :param address: the pair of host and port to listen on.
    :param make_handler: called with the new socket, the peer's address and a function
        to call when the connection closes; returns the handler.
    :param maximum_connections: connections above this number are closed at once.
    """

    def __init__(self, *, reactor, address, make_handler, maximum_connections):
        self._reactor = reactor
        self._make_handler = make_handler
        self._maximum_connections = maximum_connections
        self._open_count = 0
        self._lock = threading.Lock()
        self.sock = socket.create_server(
            tuple(address), backlog=BACKLOG, reuse_port=False
        )
        self.sock.setblocking(False)

    @property
    def port(self):
        """The port that it listens on."""
        return self.sock.getsockname()[1]

    def start(self):
        """Start to accept connections."""
        self._reactor.add(self)

    def on_readable(self):
        """Accept all pending connections."""
        while True:
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                return SocketAction.WATCH
            except OSError:
                return SocketAction.CLOSE
            self._add_connection(sock, peer)

    def is_overdue(self, now):
        """Return ``False``: a listener is never overdue."""
        return False

    def on_overdue(self):
        """Do nothing; a listener is never overdue."""

    def close(self):
        """Stop listening."""
        self.sock.close()

    def _add_connection(self, sock, peer):
        with self._lock:
            if self._open_count >= self._maximum_connections:
                sock.close()
                return
            self._open_count += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reactor.add(self._make_handler(sock, peer, self._on_closed))

    def _on_closed(self):
        with self._lock:
            self._open_count -= 1


class Sweeper:
    """Closes overdue sockets of a reactor; ``run`` is for a supervisor."""

    def __init__(self, *, reactor):
        self._reactor = reactor

    def run(self, stopped):
        """Sweep until ``stopped`` is set."""
        while not stopped.wait(SWEEP_INTERVAL_SECONDS):
            self._reactor.sweep(time.monotonic())

"""Worker threads that wait for readable sockets and serve them themselves.

All workers wait on one epoll set with one-shot events: the thread that wakes
for a socket also reads, serves and answers, so that no call is handed from one
thread to another. While a worker serves, the socket is not watched.
"""

import concurrent.futures
import enum
import logging
import select
import socket
import threading
import time

logger = logging.getLogger("jackdaw.reactor")

POLL_SECONDS = 0.5
SWEEP_SECONDS = 0.25
BACKLOG = 512


class SocketAction(enum.Enum):
    """What the reactor does with a socket after its handler ran."""

    WATCH = "watch"
    CLOSE = "close"
    DETACH = "leave"


class Reactor:
    """Serves sockets on a bounded pool of threads.

    A handler has ``sock``, ``on_readable()`` (returns a :class:`SocketAction`),
    ``is_overdue(now)``, ``on_overdue()`` and ``close()``.

    :param threads: how many workers; each carries one call at a time.
    :param name: prefix of the threads' names.
    """

    def __init__(self, *, threads, name="worker"):
        self._epoll = select.epoll()
        self._handlers = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads = threads
        self._pool = concurrent.futures.ThreadPoolExecutor(
            max_workers=threads, thread_name_prefix=name
        )
        self._extra = concurrent.futures.ThreadPoolExecutor(
            max_workers=threads, thread_name_prefix=f"{name}-extra"
        )

    @property
    def connections(self):
        """How many sockets are watched or served."""
        return len(self._handlers)

    def start(self):
        """Start the workers."""
        for _ in range(self._threads):
            self._pool.submit(self._work)

    def stop(self):
        """Stop the workers and close every socket."""
        self._stopped.set()
        self._pool.shutdown(wait=False)
        self._extra.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            handlers = list(self._handlers.values())
            self._handlers.clear()
        for handler in handlers:
            handler.close()

    def spawn(self, function, *arguments):
        """Run a function on a thread that is not one of the waiting workers."""
        return self._extra.submit(function, *arguments)

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
        """Forget a handler and close its socket."""
        descriptor = handler.sock.fileno()
        with self._lock:
            if self._handlers.get(descriptor) is handler:
                del self._handlers[descriptor]
        handler.close()

    def sweep(self, now):
        """Close sockets whose partial request is overdue."""
        with self._lock:
            overdue = [one for one in self._handlers.values() if one.is_overdue(now)]
        for handler in overdue:
            handler.on_overdue()
            self.remove(handler)

    def _work(self):
        while not self._stopped.is_set():
            for descriptor, _ in self._epoll.poll(POLL_SECONDS, 1):
                handler = self._handlers.get(descriptor)
                if handler:
                    self._serve(handler)

    def _serve(self, handler):
        try:
            following = handler.on_readable()
        except OSError:
            following = SocketAction.CLOSE
        except Exception:
            logger.exception("reactor: a handler failed.")
            following = SocketAction.CLOSE
        if following is SocketAction.WATCH:
            self.rearm(handler)
        elif following is SocketAction.CLOSE:
            self.remove(handler)


class Listener:
    """Accepts connections and gives each to the reactor.

    :param reactor: the :class:`Reactor` that serves them.
    :param address: where to listen.
    :param make_handler: called with the new socket and the peer's address.
    :param maximum_connections: more are closed at once.
    """

    def __init__(self, *, reactor, address, make_handler, maximum_connections):
        self._reactor = reactor
        self._make_handler = make_handler
        self._maximum = maximum_connections
        self._open = 0
        self._lock = threading.Lock()
        self.sock = socket.create_server(
            tuple(address), backlog=BACKLOG, reuse_port=False
        )
        self.sock.setblocking(False)

    @property
    def port(self):
        """The port in use."""
        return self.sock.getsockname()[1]

    def start(self):
        """Begin to accept."""
        self._reactor.add(self)

    def on_readable(self):
        """Accept all waiting connections."""
        while True:
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                return SocketAction.WATCH
            except OSError:
                return SocketAction.CLOSE
            self._take(sock, peer)

    def is_overdue(self, now):
        """Return whether to close; a listener never is."""
        return False

    def on_overdue(self):
        """Do nothing; a listener is never overdue."""

    def close(self):
        """Stop listening."""
        self.sock.close()

    def _take(self, sock, peer):
        with self._lock:
            if self._open >= self._maximum:
                sock.close()
                return
            self._open += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reactor.add(self._make_handler(sock, peer, self._on_closed))

    def _on_closed(self):
        with self._lock:
            self._open -= 1


class Sweeper:
    """Closes overdue sockets of a reactor, in a loop for a supervisor."""

    def __init__(self, *, reactor):
        self._reactor = reactor

    def run(self, stopped):
        """Sweep until ``stopped`` is set."""
        while not stopped.wait(SWEEP_SECONDS):
            self._reactor.sweep(time.monotonic())

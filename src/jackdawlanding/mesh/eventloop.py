"""An event loop on one thread: sockets that are ready, and timers."""

import heapq
import itertools
import logging
import select
import time

logger = logging.getLogger("jackdaw.loop")

READ = select.EPOLLIN
WRITE = select.EPOLLOUT
# Longest wait without a timer, so that a stop request is noticed.
IDLE_WAIT_SECONDS = 1.0
EVENTS_PER_TURN = 256
READ_BYTES = 65536


class Timer:
    """A call that is due at a time; ``cancel()`` drops it."""

    __slots__ = ("callback", "due")

    def __init__(self, *, due, callback):
        self.due = due
        self.callback = callback

    def cancel(self):
        """Drop the call; cancelling twice changes nothing."""
        self.callback = None


class EventLoop:
    """Waits for sockets and timers and calls their handlers.

    A handler has ``on_events(mask)``. ``buffer`` is where streams read to. An
    exception in a handler is logged and reaches nobody else.
    """

    def __init__(self):
        self._epoll = select.epoll()
        self._handlers = {}
        self._timers = []
        self._numbers = itertools.count()
        self._soon = []
        self._running = True
        # Shared by all streams, which read one after the other.
        self.buffer = bytearray(READ_BYTES)

    def watch(self, descriptor, handler, mask=READ):
        """Call ``handler.on_events`` when the descriptor is ready."""
        if descriptor in self._handlers:
            self._epoll.modify(descriptor, mask)
        else:
            self._epoll.register(descriptor, mask)
        self._handlers[descriptor] = handler

    def unwatch(self, descriptor):
        """Stop watching a descriptor; it must still be open."""
        if self._handlers.pop(descriptor, None) is not None:
            self._epoll.unregister(descriptor)

    def call_later(self, seconds, callback):
        """Call ``callback()`` after ``seconds``; return its :class:`Timer`."""
        timer = Timer(due=time.monotonic() + seconds, callback=callback)
        heapq.heappush(self._timers, (timer.due, next(self._numbers), timer))
        return timer

    def call_soon(self, callback):
        """Call ``callback()`` in the next turn."""
        self._soon.append(callback)

    def coalesce(self, callback):
        """Return a function that calls ``callback()`` once in the next turn.

        However often it is called before that; its arguments are dropped.
        """
        due = []

        def run():
            due.clear()
            callback()

        def request(*_):
            if not due:
                due.append(True)
                self.call_soon(run)

        return request

    def call_every(self, seconds, callback):
        """Call ``callback()`` again and again, ``seconds`` apart."""

        def run():
            self._call(callback)
            self.call_later(seconds, run)

        self.call_later(seconds, run)

    def stop(self):
        """Return from :meth:`run` after the present turn."""
        self._running = False

    def close(self):
        """Close the sockets of all handlers that have one, and the loop."""
        for handler in list(self._handlers.values()):
            sock = getattr(handler, "sock", None)
            if sock is not None:
                sock.close()
        self._handlers.clear()
        self._epoll.close()

    def run(self):
        """Serve until stopped."""
        while self._running:
            self.turn()

    def turn(self):
        """Wait once, then call what is ready and what is due."""
        for descriptor, mask in self._epoll.poll(self._find_wait(), EVENTS_PER_TURN):
            handler = self._handlers.get(descriptor)
            if handler is not None:
                self._call(handler.on_events, mask)
        self._run_due()
        soon, self._soon = self._soon, []
        for callback in soon:
            self._call(callback)

    def _find_wait(self):
        if self._soon:
            return 0
        if not self._timers:
            return IDLE_WAIT_SECONDS
        left = self._timers[0][0] - time.monotonic()
        return min(IDLE_WAIT_SECONDS, max(0.0, left))

    def _run_due(self):
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                self._call(callback)

    def _call(self, callback, *arguments):
        try:
            callback(*arguments)
        except Exception:
            logger.exception("loop: a handler failed.")

"""A single-threaded event loop for sockets and timers."""

import heapq
import itertools
import logging
import select
import time

logger = logging.getLogger("jackdaw.loop")

READ = select.EPOLLIN
WRITE = select.EPOLLOUT
# Bounds the wait when no timer is due, to notice a request to stop.
MAXIMUM_WAIT_SECONDS = 1.0
EVENTS_PER_ITERATION = 256
READ_BYTES = 65536


class Timer:
    """A callback that is due at a time of the monotonic clock."""

    __slots__ = ("callback", "due")

    def __init__(self, *, due, callback):
        self.due = due
        self.callback = callback

    def cancel(self):
        """Cancel the callback; cancelling again has no effect."""
        self.callback = None


class EventLoop:
    """Waits for sockets and timers and calls their handlers.

    A handler has a method ``on_events(mask)``. Streams read into ``buffer``. An
    exception in a handler or callback is logged and does not stop the loop.
    """

    def __init__(self):
        self._epoll = select.epoll()
        self._handlers = {}
        self._timers = []
        self._sequence = itertools.count()
        self._ready = []
        self._running = True
        # What all streams have buffered, but not sent.
        self.unsent_bytes = 0
        # Shared by all streams, which read one at a time.
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
        heapq.heappush(self._timers, (timer.due, next(self._sequence), timer))
        return timer

    def call_soon(self, callback):
        """Call ``callback()`` at the end of the current or next iteration."""
        self._ready.append(callback)

    def coalesce(self, callback):
        """Return a function that schedules ``callback()`` with :meth:`call_soon`.

        Calls of the function until ``callback()`` runs are merged into one, and
        their arguments are ignored.
        """
        scheduled = []

        def run():
            scheduled.clear()
            callback()

        def request(*_):
            if not scheduled:
                scheduled.append(True)
                self.call_soon(run)

        return request

    def call_every(self, seconds, callback):
        """Call ``callback()`` repeatedly, ``seconds`` apart."""

        def run():
            self._call(callback)
            self.call_later(seconds, run)

        self.call_later(seconds, run)

    def stop(self):
        """Make :meth:`run` return after the current iteration."""
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
        """Run iterations until :meth:`stop` is called."""
        while self._running:
            self.run_once()

    def run_once(self):
        """Run one iteration: wait, then call ready handlers and due callbacks."""
        for descriptor, mask in self._epoll.poll(
            self._compute_timeout(), EVENTS_PER_ITERATION
        ):
            handler = self._handlers.get(descriptor)
            if handler is not None:
                self._call(handler.on_events, mask)
        self._run_due_timers()
        ready, self._ready = self._ready, []
        for callback in ready:
            self._call(callback)

    def _compute_timeout(self):
        if self._ready:
            return 0
        if not self._timers:
            return MAXIMUM_WAIT_SECONDS
        remaining = self._timers[0][0] - time.monotonic()
        return min(MAXIMUM_WAIT_SECONDS, max(0.0, remaining))

    def _run_due_timers(self):
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

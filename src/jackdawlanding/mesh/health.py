"""Whether the local backend server accepts connections, and what crashed it.

A connection that ends during a request may be a crash or one lost answer. Whether the
backend server still accepts a connection tells them apart.
"""

import time

from jackdawlanding.mesh import backends, streams

# Connections that close within this time of each other belong to one crash.
CRASH_SECONDS = 0.15
CRASH_CHECK_SECONDS = 0.02
PROBE_SECONDS = 0.25


class BackendHealth:
    """Detects crashes of a backend server and its return.

    ``is_up`` is whether it accepts connections, as far as is known.

    :param loop: the event loop.
    :param address: its address, a pair of host and port.
    :param on_crash: called with the calls that were in flight at a crash.
    :param on_down: called when it no longer accepts connections.
    :param log: a ``logs.Log``.
    """

    def __init__(self, *, loop, address, on_crash, on_down, log):
        self._loop = loop
        self._address = address
        self._on_crash = on_crash
        self._on_down = on_down
        self._log = log
        self.is_up = True
        self._lost_calls = []
        self._is_checking_crash = False

    def record_lost_call(self, call):
        """Record a call whose connection closed; check soon for a crash."""
        self._lost_calls.append((time.monotonic(), call))
        if not self._is_checking_crash:
            self._is_checking_crash = True
            self._loop.call_later(CRASH_CHECK_SECONDS, self._check_crash)

    def mark_down(self):
        """Record that it accepts no connections; probe it until it does."""
        if not self.is_up:
            return
        self.is_up = False
        self._log.note("host", "The backend server is lost.", dependency="backend")
        self._on_down()
        self._schedule_probe()

    def _check_crash(self):
        self._probe(self._discard_lost_calls, self._record_crash)

    def _discard_lost_calls(self):
        self._is_checking_crash = False
        self._lost_calls.clear()

    def _record_crash(self):
        self._is_checking_crash = False
        now = time.monotonic()
        lost_calls, self._lost_calls = self._lost_calls, []
        earliest = now - CRASH_SECONDS - CRASH_CHECK_SECONDS
        self._on_crash([call for at, call in lost_calls if at >= earliest])
        self.mark_down()

    def _schedule_probe(self):
        self._loop.call_later(
            PROBE_SECONDS, lambda: self._probe(self._mark_up, self._schedule_probe)
        )

    def _mark_up(self):
        self.is_up = True
        self._log.note("host", "The backend server is back.", dependency="backend")

    def _probe(self, on_open, on_failed):
        """Open and close a connection to check that the backend server accepts it."""
        stream = streams.connect(loop=self._loop, address=self._address)
        timer = self._loop.call_later(
            backends.CONNECT_SECONDS, lambda: stream.close_and_notify(was_reset=True)
        )

        def handle_open():
            timer.cancel()
            stream.close()
            on_open()

        def handle_closed(was_reset):
            timer.cancel()
            on_failed()

        stream.on_open = handle_open
        stream.on_closed = handle_closed

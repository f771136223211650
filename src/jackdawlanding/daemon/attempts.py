"""Repeats that join the attempt that runs."""

import concurrent.futures
import threading

from jackdawlanding.daemon import messages
from jackdawlanding.decisions import outcomes


class RunningAttempts:
    """Attempts that run here, by caller and key, for repeats to join."""

    def __init__(self):
        self._running = {}
        self._lock = threading.Lock()

    def join_or_begin(self, key):
        """Return the running attempt's future, or ``None`` if this one begins."""
        with self._lock:
            running = self._running.get(key)
            if running is None:
                self._running[key] = concurrent.futures.Future()
            return running

    def finish(self, key, answer):
        """Give the answer to all that joined."""
        with self._lock:
            future = self._running.pop(key)
        future.set_result(answer)


def wait_for_answer(call, running):
    """Return a running attempt's answer, or a refusal at the call's deadline."""
    try:
        return running.result(timeout=max(0.0, call.remaining))
    except concurrent.futures.TimeoutError:
        return messages.refuse("attempt-running", outcome=outcomes.Outcome.UNKNOWN)

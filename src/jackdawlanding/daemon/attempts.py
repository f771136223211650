"""Attempts in progress, which duplicates of a request join."""

import concurrent.futures
import threading

from jackdawlanding.daemon import messages
from jackdawlanding.decisions import outcomes


class RunningAttempts:
    """Attempts in progress at the local daemon, by caller, request and key."""

    def __init__(self):
        self._running = {}
        self._lock = threading.Lock()

    def join_or_begin(self, key):
        """Return the future of the attempt in progress, if there is one.

        Otherwise record that an attempt begins and return ``None``.
        """
        with self._lock:
            running = self._running.get(key)
            if running is None:
                self._running[key] = concurrent.futures.Future()
            return running

    def finish(self, key, answer):
        """Remove an attempt and give its answer to all duplicates that joined it.

        :raises KeyError: no attempt with the key is in progress.
        """
        with self._lock:
            future = self._running.pop(key)
        future.set_result(answer)


def wait_for_answer(call, running):
    """Return the answer of an attempt, or a refusal at the call's deadline."""
    try:
        return running.result(timeout=max(0.0, call.remaining))
    except concurrent.futures.TimeoutError:
        return messages.refuse("attempt-running", outcome=outcomes.Outcome.UNKNOWN)

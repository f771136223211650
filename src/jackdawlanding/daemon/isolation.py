"""Lets a suspect run alone at the local backend server."""

import contextlib
import threading
import time


class Isolation:
    """A lock that many calls share or one suspect holds exclusively."""

    def __init__(self):
        self._condition = threading.Condition()
        self._shared_count = 0
        self._exclusive = False

    @contextlib.contextmanager
    def run(self, *, exclusive, deadline):
        """Wait for the lock, yield whether it was granted, and release it on exit.

        :param exclusive: whether no other call may run at the same time.
        :param deadline: seconds on the monotonic clock until which to wait.
        """
        is_granted = self._acquire(exclusive, deadline)
        try:
            yield is_granted
        finally:
            if is_granted:
                self._release(exclusive)

    def _acquire(self, exclusive, deadline):
        with self._condition:
            if not self._wait(lambda: not self._exclusive, deadline):
                return False
            if not exclusive:
                self._shared_count += 1
                return True
            # Set before the running calls have ended, so that no new one starts.
            self._exclusive = True
            if self._wait(lambda: self._shared_count == 0, deadline):
                return True
            self._exclusive = False
            self._condition.notify_all()
            return False

    def _release(self, exclusive):
        with self._condition:
            if exclusive:
                self._exclusive = False
                self._condition.notify_all()
            else:
                self._shared_count -= 1
                if self._exclusive and self._shared_count == 0:
                    self._condition.notify_all()

    def _wait(self, predicate, deadline):
        if predicate():
            return True
        return self._condition.wait_for(
            predicate, timeout=max(0.0, deadline - time.monotonic())
        )

"""Lets a suspect run alone at the backend server."""

import contextlib
import threading
import time


class Isolation:
    """Many calls may run together, or one suspect alone."""

    def __init__(self):
        self._condition = threading.Condition()
        self._shared = 0
        self._exclusive = False

    @contextlib.contextmanager
    def run(self, *, exclusive, deadline):
        """Enter and leave; yields whether the call may run.

        :param deadline: seconds on the monotonic clock to wait until.
        """
        entered = self._enter(exclusive, deadline)
        try:
            yield entered
        finally:
            if entered:
                self._leave(exclusive)

    def _enter(self, exclusive, deadline):
        with self._condition:
            if not self._wait(lambda: not self._exclusive, deadline):
                return False
            if not exclusive:
                self._shared += 1
                return True
            # Claimed first, so that no new call comes between.
            self._exclusive = True
            if self._wait(lambda: self._shared == 0, deadline):
                return True
            self._exclusive = False
            self._condition.notify_all()
            return False

    def _leave(self, exclusive):
        with self._condition:
            if exclusive:
                self._exclusive = False
                self._condition.notify_all()
            else:
                self._shared -= 1
                if self._exclusive and self._shared == 0:
                    self._condition.notify_all()

    def _wait(self, predicate, deadline):
        if predicate():
            return True
        return self._condition.wait_for(
            predicate, timeout=max(0.0, deadline - time.monotonic())
        )

"""Lets a suspect run alone at the backend server."""

import contextlib
import threading
import time


class Isolation:
    """Many calls may run together, or one suspect alone."""

    def __init__(self):
        self._condition = threading.Condition()
        self._shared = 0
        self._alone = False

    @contextlib.contextmanager
    def run(self, *, alone, deadline):
        """Enter and leave; yields whether the call may run.

        :param deadline: seconds on the monotonic clock to wait until.
        """
        entered = self._enter(alone, deadline)
        try:
            yield entered
        finally:
            if entered:
                self._leave(alone)

    def _enter(self, alone, deadline):
        with self._condition:
            if not self._wait(lambda: not self._alone, deadline):
                return False
            if not alone:
                self._shared += 1
                return True
            # Claimed first, so that no new call comes between.
            self._alone = True
            if self._wait(lambda: self._shared == 0, deadline):
                return True
            self._alone = False
            self._condition.notify_all()
            return False

    def _leave(self, alone):
        with self._condition:
            if alone:
                self._alone = False
                self._condition.notify_all()
            else:
                self._shared -= 1
                if self._alone and self._shared == 0:
                    self._condition.notify_all()

    def _wait(self, predicate, deadline):
        if predicate():
            return True
        return self._condition.wait_for(
            predicate, timeout=max(0.0, deadline - time.monotonic())
        )

"""A supervisor tree of threads: a part that fails is started again."""

import concurrent.futures
import logging
import threading
import time
import typing

logger = logging.getLogger("jackdaw.supervisor")

MAXIMUM_RESTARTS = 5
RESTART_WINDOW_SECONDS = 30.0
RESTART_PAUSE_SECONDS = 0.1


class Child(typing.NamedTuple):
    """A supervised part: ``run(stopped)`` returns once ``stopped`` is set."""

    name: str
    run: typing.Callable


class Supervisor:
    """Runs parts on threads and restarts those that fail, within a rate.

    A supervisor is itself a part's ``run``, so that supervisors form a tree:
    when restarts come too fast it fails in turn, and its parent decides.

    :param name: prefix of the threads' names.
    :param children: the :class:`Child` s to run.
    """

    def __init__(self, *, name, children, on_restart=None):
        self.name = name
        self._parts = list(children)
        self._on_restart = on_restart or (lambda part, error: None)
        self._restarts = []

    def run(self, stopped):
        """Run all parts until ``stopped`` is set.

        :raises Exception: the error of a part that could not be kept running.
        """
        inner = threading.Event()
        with concurrent.futures.ThreadPoolExecutor(
            max_workers=len(self._parts) + 1, thread_name_prefix=self.name
        ) as pool:
            watcher = pool.submit(_pass_on, stopped, inner)
            running = {pool.submit(part.run, inner): part for part in self._parts}
            try:
                self._watch(pool, running, inner)
            finally:
                inner.set()
            watcher.result()

    def _watch(self, pool, running, inner):
        while running and not inner.is_set():
            done, _ = concurrent.futures.wait(
                running, timeout=0.2, return_when=concurrent.futures.FIRST_COMPLETED
            )
            for future in done:
                part = running.pop(future)
                error = future.exception()
                if inner.is_set():
                    return
                self._note_restart(part, error)
                time.sleep(RESTART_PAUSE_SECONDS)
                running[pool.submit(part.run, inner)] = part

    def _note_restart(self, part, error):
        now = time.monotonic()
        self._restarts = [
            at for at in self._restarts if now - at < RESTART_WINDOW_SECONDS
        ]
        if len(self._restarts) >= MAXIMUM_RESTARTS:
            logger.error("supervisor: %s fails too often; giving up.", part.name)
            raise error or RuntimeError(f"part {part.name!r} ended by itself")
        self._restarts.append(now)
        logger.warning("supervisor: %s failed: %r; restarting.", part.name, error)
        self._on_restart(part, error)


def _pass_on(stopped, inner):
    while not stopped.wait(0.2):
        if inner.is_set():
            return
    inner.set()

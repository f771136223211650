"""A supervisor tree of threads, in which a child that fails is restarted."""

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
    """A supervised task.

    ``run(stopped)`` returns once the event ``stopped`` is set.
    """

    name: str
    run: typing.Callable


class Supervisor:
    """Runs children on threads and restarts those that fail, up to a rate.

    :meth:`run` may be the ``run`` of a child, so that supervisors form a tree. A
    supervisor whose children fail too often fails itself, and its parent decides.

    :param name: prefix of the threads' names.
    :param children: the :class:`Child` s to run.
    :param on_restart: called with the child and its error before each restart.
    """

    def __init__(self, *, name, children, on_restart=None):
        self.name = name
        self._children = list(children)
        self._on_restart = on_restart or (lambda child, error: None)
        self._restarts = []

    def run(self, stopped):
        """Run all children until ``stopped`` is set.

        :raises Exception: the error of a child that failed too often.
        :raises RuntimeError: a child returned too often before ``stopped`` was set.
        """
        children_stopped = threading.Event()
        with concurrent.futures.ThreadPoolExecutor(
            max_workers=len(self._children) + 1, thread_name_prefix=self.name
        ) as pool:
            forwarder = pool.submit(_forward_stop, stopped, children_stopped)
            running = {
                pool.submit(child.run, children_stopped): child
                for child in self._children
            }
            try:
                self._watch(pool, running, children_stopped)
            finally:
                children_stopped.set()
            forwarder.result()

    def _watch(self, pool, running, children_stopped):
        while running and not children_stopped.is_set():
            done, _ = concurrent.futures.wait(
                running, timeout=0.2, return_when=concurrent.futures.FIRST_COMPLETED
            )
            for future in done:
                child = running.pop(future)
                error = future.exception()
                if children_stopped.is_set():
                    return
                self._record_restart(child, error)
                time.sleep(RESTART_PAUSE_SECONDS)
                running[pool.submit(child.run, children_stopped)] = child

    def _record_restart(self, child, error):
        now = time.monotonic()
        self._restarts = [
            restarted_at
            for restarted_at in self._restarts
            if now - restarted_at < RESTART_WINDOW_SECONDS
        ]
        if len(self._restarts) >= MAXIMUM_RESTARTS:
            logger.error("supervisor: %s failed too often; giving up.", child.name)
            raise error or RuntimeError(
                f"child {child.name!r} returned before it was stopped"
            )
        self._restarts.append(now)
        logger.warning("supervisor: %s failed: %r; restarting.", child.name, error)
        self._on_restart(child, error)


def _forward_stop(stopped, children_stopped):
    """Set ``children_stopped`` once ``stopped`` is set."""
    while not stopped.wait(0.2):
        if children_stopped.is_set():
            return
    children_stopped.set()

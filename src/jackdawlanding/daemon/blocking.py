"""Blocking access to the admission controller, for worker threads."""

import threading
import time

from jackdawlanding.decisions import admission

TICK_INTERVAL_SECONDS = 0.02


class _Waiter:
    """Holds the verdict on a queued call once its event is set."""

    __slots__ = ("event", "verdict")

    def __init__(self):
        self.event = threading.Event()
        self.verdict = None


class BlockingAdmission:
    """Blocks a call's thread until the controller admits or sheds the call.

    :param controller: an :class:`admission.AdmissionController`.
    """

    def __init__(self, *, controller):
        self.controller = controller
        self._lock = threading.Lock()

    def wait_for_admission(self, pending_call):
        """Submit a call and wait until it is admitted or refused.

        Returns ``None`` if it is admitted, otherwise the reason of the refusal.
        """
        with self._lock:
            result = self.controller.submit(
                now=time.monotonic(), pending_call=pending_call
            )
            is_queued = result.verdict is admission.Verdict.QUEUED
            if is_queued:
                # No other thread can admit the call before the lock is released.
                pending_call.token = _Waiter()
        self._notify(result)
        verdict = result.verdict
        if is_queued:
            pending_call.token.event.wait()
            verdict = pending_call.token.verdict
        return None if verdict is admission.Verdict.ADMITTED else verdict.value

    def release(self, pending_call, *, completion, nested_seconds):
        """Record that an admitted call has ended, and wake the calls admitted next.

        The arguments are those of ``AdmissionController.release``.
        """
        with self._lock:
            result = self.controller.release(
                now=time.monotonic(),
                pending_call=pending_call,
                completion=completion,
                nested_seconds=nested_seconds,
            )
        self._notify(result)

    def is_full(self):
        """Return whether a new call would have to wait."""
        controller = self.controller
        return controller.queued > 0 or controller.in_flight >= controller.limit.limit

    def get_threshold(self):
        """Return the most urgent rank shed recently, or ``admission.ADMITS_ALL``."""
        return self.controller.get_threshold(now=time.monotonic())

    def run(self, stopped):
        """Drop queued calls that are too late, until ``stopped`` is set."""
        while not stopped.wait(TICK_INTERVAL_SECONDS):
            if self.controller.queued:
                with self._lock:
                    result = self.controller.tick(now=time.monotonic())
                self._notify(result)

    def _notify(self, result):
        for pending_calls, verdict in (
            (result.admitted, admission.Verdict.ADMITTED),
            (result.shed, admission.Verdict.OVER_LIMIT),
            (result.late, admission.Verdict.TOO_LATE),
        ):
            for pending_call in pending_calls:
                pending_call.token.verdict = verdict
                pending_call.token.event.set()

"""Threads' access to the admission gate."""

import threading
import time

from jackdawlanding.decisions import admission

TICK_SECONDS = 0.02


class _Ticket:
    __slots__ = ("event", "verdict")

    def __init__(self):
        self.event = threading.Event()
        self.verdict = None


class Admission:
    """Blocks a call's thread until the gate admits or sheds the call.

    :param gate: an :class:`admission.Gate`.
    """

    def __init__(self, *, gate):
        self.gate = gate
        self._lock = threading.Lock()

    def enter(self, entry):
        """Offer an entry and wait; return ``None`` or why it was refused."""
        with self._lock:
            change = self.gate.offer(now=time.monotonic(), entry=entry)
            is_queued = change.verdict is admission.Verdict.QUEUED
            if is_queued:
                # Nobody can admit the entry before the lock is free again.
                entry.token = _Ticket()
        self._notify(change)
        verdict = change.verdict
        if is_queued:
            entry.token.event.wait()
            verdict = entry.token.verdict
        return None if verdict is admission.Verdict.ADMITTED else verdict.value

    def leave(self, entry, *, end, inner_seconds):
        """Record that an admitted call has ended; see ``Gate.release``."""
        with self._lock:
            change = self.gate.release(
                now=time.monotonic(), entry=entry, end=end, inner_seconds=inner_seconds
            )
        self._notify(change)

    def is_full(self):
        """Return whether a new call would have to wait."""
        gate = self.gate
        return gate.queued > 0 or gate.in_flight >= gate.limit.limit

    def threshold(self):
        """Return the lowest rank admitted now."""
        return self.gate.threshold(now=time.monotonic())

    def run(self, stopped):
        """Drop late entries until ``stopped`` is set; for a supervisor."""
        while not stopped.wait(TICK_SECONDS):
            if self.gate.queued:
                with self._lock:
                    change = self.gate.tick(now=time.monotonic())
                self._notify(change)

    def _notify(self, change):
        for entries, verdict in (
            (change.admitted, admission.Verdict.ADMITTED),
            (change.shed, admission.Verdict.OVER_LIMIT),
            (change.late, admission.Verdict.TOO_LATE),
        ):
            for entry in entries:
                entry.token.verdict = verdict
                entry.token.event.set()

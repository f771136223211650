"""Refuses the calls that a service would shed, before they are made.

Each caller's daemon counts, window by window, how many of its calls a service
took and how many it shed. A window with many sheds bounds the next one by
what was taken; windows with few raise the bound until nothing is held back.
"""

import threading

WINDOW_SECONDS = 0.5
SHED_SHARE = 0.1
EXCESS = 1.05
FIRST_GROWTH = 0.1
MINIMUM_CALLS = 2.0
BURST_CALLS = 2.0


class _Window:
    """One window's counts, and how many calls it may make (``None``: all)."""

    __slots__ = (
        "accepted",
        "bound",
        "clean",
        "credit",
        "credited_at",
        "held_back",
        "shed",
        "since",
    )

    def __init__(self, now):
        self.since = now
        self.bound = None
        self.clean = 0
        self.credit = BURST_CALLS
        self.credited_at = now
        self.clear()

    def clear(self):
        self.accepted = 0
        self.shed = 0
        self.held_back = 0

    def take_credit(self, now):
        """Take a call's worth of credit, which grows evenly over the window."""
        grown = (now - self.credited_at) * self.bound / WINDOW_SECONDS
        self.credit = min(BURST_CALLS, self.credit + grown)
        self.credited_at = now
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


class Throttle:
    """Bounds on the calls to each service and rank."""

    def __init__(self):
        self._windows = {}
        self._lock = threading.Lock()

    def admits(self, *, now, service, rank):
        """Decide whether to make a call."""
        with self._lock:
            window = self._turn(now, service, rank)
            if window.bound is None or window.take_credit(now):
                return True
            window.held_back += 1
            return False

    def record(self, *, now, service, rank, shed):
        """Count an answer: whether the service shed the call or took it."""
        with self._lock:
            window = self._turn(now, service, rank)
            if shed:
                window.shed += 1
            else:
                window.accepted += 1

    def _turn(self, now, service, rank):
        """Return the current window; a new one gets its bound from the last."""
        window = self._windows.setdefault((service, rank), _Window(now))
        elapsed = now - window.since
        if elapsed < WINDOW_SECONDS:
            return window
        if elapsed >= 2 * WINDOW_SECONDS and not window.held_back:
            # A gap of several windows held nothing back.
            window.bound = None
        else:
            _bound(window)
        window.since = now
        window.clear()
        return window


def _bound(window):
    """Set the next window's bound from this one's counts."""
    answered = window.accepted + window.shed
    if window.shed > SHED_SHARE * answered:
        window.bound = max(MINIMUM_CALLS, window.accepted * EXCESS)
        window.clean = 0
    elif window.bound is not None and not window.held_back:
        window.bound = None
    elif window.bound is not None:
        # Each clean window in a row doubles the growth.
        window.bound *= 1 + FIRST_GROWTH * 2**window.clean
        window.clean += 1

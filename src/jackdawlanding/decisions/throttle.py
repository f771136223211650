"""Refuses calls that the called service would shed, before they are made.

The daemon of each caller counts in windows how many of its calls a service accepted
and how many it shed. After a window with many shed calls, the next one may make
about as many calls as were accepted. Windows with few shed calls raise this bound
until no call is held back.
"""

import threading

WINDOW_SECONDS = 0.5
# A window with a larger share of shed calls sets the bound of the next one.
SHED_SHARE = 0.1
# Bound of the next window, as a multiple of the accepted calls.
EXCESS = 1.05
FIRST_GROWTH = 0.1
MINIMUM_CALLS = 2.0
BURST_CALLS = 2.0


class _Window:
    """The counts of one window, and how many calls it may make (``None``: all)."""

    __slots__ = (
        "accepted",
        "bound",
        "clean_windows",
        "credit",
        "credited_at",
        "held_back",
        "shed",
        "started_at",
    )

    def __init__(self, now):
        self.started_at = now
        self.bound = None
        self.clean_windows = 0
        self.credit = BURST_CALLS
        self.credited_at = now
        self.clear()

    def clear(self):
        self.accepted = 0
        self.shed = 0
        self.held_back = 0

    def take_credit(self, now):
        """Take the credit for one call, which grows evenly over the window.

        :returns: whether there was enough.
        """
        earned = (now - self.credited_at) * self.bound / WINDOW_SECONDS
        self.credit = min(BURST_CALLS, self.credit + earned)
        self.credited_at = now
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


class Throttle:
    """Bounds the calls to each service and rank."""

    def __init__(self):
        self._windows = {}
        self._lock = threading.Lock()

    def admits(self, *, now, service, rank):
        """Return whether to make a call; one that must not be made is counted."""
        with self._lock:
            window = self._get_window(now, service, rank)
            if window.bound is None or window.take_credit(now):
                return True
            window.held_back += 1
            return False

    def record(self, *, now, service, rank, shed):
        """Record an answer.

        :param shed: whether the service shed the call.
        """
        with self._lock:
            window = self._get_window(now, service, rank)
            if shed:
                window.shed += 1
            else:
                window.accepted += 1

    def _get_window(self, now, service, rank):
        """Return the current window; a new one gets its bound from the last one."""
        window = self._windows.setdefault((service, rank), _Window(now))
        elapsed = now - window.started_at
        if elapsed < WINDOW_SECONDS:
            return window
        if elapsed >= 2 * WINDOW_SECONDS and not window.held_back:
            # Several windows passed in which no call was held back.
            window.bound = None
        else:
            _update_bound(window)
        window.started_at = now
        window.clear()
        return window


def _update_bound(window):
    """Set the bound of the next window from the counts of this one."""
    answered = window.accepted + window.shed
    if window.shed > SHED_SHARE * answered:
        window.bound = max(MINIMUM_CALLS, window.accepted * EXCESS)
        window.clean_windows = 0
    elif window.bound is not None and not window.held_back:
        window.bound = None
    elif window.bound is not None:
        # The growth doubles with each window in a row that has few shed calls.
        window.bound *= 1 + FIRST_GROWTH * 2**window.clean_windows
        window.clean_windows += 1

"""Calls that a daemon holds, and the context that their inner calls inherit."""

import secrets
import threading
import time
import typing

from jackdawlanding.daemon import messages
from jackdawlanding.decisions import allowances, works


class Call(typing.NamedTuple):
    """A call on its way to a service.

    :param rank: rank of the whole tree, set at its entry.
    :param deadline: seconds on this daemon's monotonic clock.
    :param allowance: the retries that the tree may still cause.
    """

    service: str
    method: str
    target: str
    headers: tuple
    body: bytes
    work: works.Work
    rank: int
    protected: bool
    caller: str
    key: str
    deadline: float
    allowance: allowances.TreeAllowance

    @property
    def remaining(self):
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()


class _ActiveCall:
    __slots__ = ("call", "nested_seconds", "services")

    def __init__(self, call):
        self.call = call
        self.services = set()
        self.nested_seconds = 0.0


class ActiveCalls:
    """Calls that run at the backend server, by the token given to it.

    The backend server copies the token onto its own calls, as it does with
    trace headers. A token that names no held call is not believed.

    :param on_completed: called with ``work`` (a name) and ``services`` when a
        call ends whole.
    """

    def __init__(self, *, on_completed):
        self._active = {}
        self._on_completed = on_completed
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._active)

    def add(self, call):
        """Hold a call; return its token."""
        token = secrets.token_hex(8)
        with self._lock:
            self._active[token] = _ActiveCall(call)
        return token

    def find_parent(self, token, *, service):
        """Return the held call of a token that now calls ``service``, or ``None``."""
        active = self._active.get(token)
        if active is None:
            return None
        active.services.add(service)
        return active.call

    def add_nested_seconds(self, token, *, seconds):
        """Add the time that a call's own call took."""
        with self._lock:
            active = self._active.get(token)
            if active:
                active.nested_seconds += seconds

    def remove(self, token, *, is_whole):
        """Forget a call that has ended; return its inner seconds."""
        with self._lock:
            active = self._active.pop(token)
        if is_whole:
            self._on_completed(work=active.call.work.name, services=active.services)
        return active.nested_seconds


def make_backend_headers(call, token):
    """Return the headers to send to the backend server with a call."""
    remaining_millis = max(0, int(call.remaining * 1000))
    return (
        *messages.strip_headers(call.headers),
        (messages.CALL_HEADER, token.encode()),
        (messages.DEADLINE_HEADER, b"%d" % remaining_millis),
        (messages.RANK_HEADER, b"%d" % call.rank),
        (messages.ALLOWANCE_HEADER, b"%d" % call.allowance.remaining),
        (messages.CALLER_HEADER, call.caller.encode("latin-1", "replace")),
    )

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
    def left(self):
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()


class _Held:
    __slots__ = ("call", "nested_seconds", "services")

    def __init__(self, call):
        self.call = call
        self.services = set()
        self.nested_seconds = 0.0


class HeldCalls:
    """Calls that run at the backend server, by the token given to it.

    The backend server copies the token onto its own calls, as it does with
    trace headers. A token that names no held call is not believed.

    :param note_ended: called with ``work`` (a name) and ``services`` when a
        call ends whole.
    """

    def __init__(self, *, note_ended):
        self._held = {}
        self._note_ended = note_ended
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._held)

    def hold(self, call):
        """Hold a call; return its token."""
        token = secrets.token_hex(8)
        with self._lock:
            self._held[token] = _Held(call)
        return token

    def find(self, token, *, service):
        """Return the held call of a token that now calls ``service``, or ``None``."""
        held = self._held.get(token)
        if held is None:
            return None
        held.services.add(service)
        return held.call

    def add_inner(self, token, *, seconds):
        """Add the time that a call's own call took."""
        with self._lock:
            held = self._held.get(token)
            if held:
                held.nested_seconds += seconds

    def drop(self, token, *, is_whole):
        """Forget a call that has ended; return its inner seconds."""
        with self._lock:
            held = self._held.pop(token)
        if is_whole:
            self._note_ended(work=held.call.work.name, services=held.services)
        return held.nested_seconds


def make_backend_headers(call, token):
    """Return the headers to send to the backend server with a call."""
    left_millis = max(0, int(call.left * 1000))
    return (
        *messages.clean(call.headers),
        (messages.CALL_HEADER, token.encode()),
        (messages.DEADLINE_HEADER, b"%d" % left_millis),
        (messages.RANK_HEADER, b"%d" % call.rank),
        (messages.ALLOWANCE_HEADER, b"%d" % call.allowance.remaining),
        (messages.CALLER_HEADER, call.caller.encode("latin-1", "replace")),
    )

"""Calls in progress, and the context that their nested calls inherit."""

import secrets
import threading
import time
import typing

from jackdawlanding.daemon import messages
from jackdawlanding.decisions import allowances, works


class Call(typing.NamedTuple):
    """A call to a service.

    :param work: the declared work that the call is matched to.
    :param rank: rank of the whole call tree, set where the tree starts.
    :param deadline: seconds on this daemon's monotonic clock.
    :param allowance: retries that the call tree may still cause.
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
        """Seconds until the deadline; negative once it has passed."""
        return self.deadline - time.monotonic()


class _ActiveCall:
    """An active call, the services that it called and the seconds they took."""

    __slots__ = ("call", "nested_seconds", "services")

    def __init__(self, call):
        self.call = call
        self.services = set()
        self.nested_seconds = 0.0


class ActiveCalls:
    """Calls that run at the local backend server, by token.

    Each call is sent to the backend server with a token, which the backend
    server copies onto the calls that it makes, as it does with trace headers.
    A token that matches no active call is ignored.

    :param on_success: called with ``work`` (a name) and ``services`` when a
        call has ended successfully.
    """

    def __init__(self, *, on_success):
        self._active = {}
        self._on_success = on_success
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._active)

    def add(self, call):
        """Add a call; return its token."""
        token = secrets.token_hex(8)
        with self._lock:
            self._active[token] = _ActiveCall(call)
        return token

    def find_parent(self, token, *, service):
        """Return the active call of a token and record that it calls ``service``.

        Returns ``None`` if the token matches no active call.
        """
        active = self._active.get(token)
        if active is None:
            return None
        active.services.add(service)
        return active.call

    def add_nested_seconds(self, token, *, seconds):
        """Add the seconds that a nested call took to its parent call."""
        with self._lock:
            active = self._active.get(token)
            if active:
                active.nested_seconds += seconds

    def remove(self, token, *, is_successful):
        """Remove a call that has ended; return the seconds of its nested calls.

        :raises KeyError: the token matches no active call.
        """
        with self._lock:
            active = self._active.pop(token)
        if is_successful:
            self._on_success(work=active.call.work.name, services=active.services)
        return active.nested_seconds


def make_backend_headers(call, token):
    """Return the headers to send to the local backend server with a call."""
    remaining_millis = max(0, int(call.remaining * 1000))
    return (
        *messages.strip_headers(call.headers),
        (messages.CALL_HEADER, token.encode()),
        (messages.DEADLINE_HEADER, b"%d" % remaining_millis),
        (messages.RANK_HEADER, b"%d" % call.rank),
        (messages.ALLOWANCE_HEADER, b"%d" % call.allowance.remaining),
        (messages.CALLER_HEADER, call.caller.encode("latin-1", "replace")),
    )

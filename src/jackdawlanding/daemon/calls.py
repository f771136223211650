"""Calls that a daemon holds, and the context that their inner calls inherit."""

import secrets
import threading
import time
import typing

from jackdawlanding.daemon import messages
from jackdawlanding.decisions import allowance as allowances, work as works


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


class HeldCalls:
    """Calls that run at the backend server, by the token given to it.

    The backend server copies the token onto its own calls, as it does with
    trace headers. A token that names no held call is not believed.
    """

    def __init__(self):
        self._calls = {}
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._calls)

    def hold(self, call):
        """Hold a call; return its token."""
        token = secrets.token_hex(8)
        with self._lock:
            self._calls[token] = call
        return token

    def find(self, token):
        """Return the held call of a token, or ``None``."""
        return self._calls.get(token)

    def drop(self, token):
        """Forget a call that has ended."""
        with self._lock:
            self._calls.pop(token, None)


def make_backend_headers(call, token):
    """Return the headers to send to the backend server with a call."""
    left_millis = max(0, int(call.left * 1000))
    return (
        *messages.clean(call.headers),
        (messages.CALL_HEADER, token.encode()),
        (messages.DEADLINE_HEADER, b"%d" % left_millis),
        (messages.RANK_HEADER, b"%d" % call.rank),
        (messages.ALLOWANCE_HEADER, b"%d" % call.allowance.left),
        (messages.CALLER_HEADER, call.caller.encode("latin-1", "replace")),
    )

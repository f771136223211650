"""The messages that daemons exchange.

They are sent as arrays: the order of fields and of ``KINDS`` is the wire format. A
last field that is ``None`` is left out.
"""

import math
import typing

from jackdawlanding.decisions import outcomes


class Hello(typing.NamedTuple):
    """Identifies the daemon that opened a link; the first message on it.

    ``number`` orders the links that one process opens to others: a later one has a
    higher number. A daemon of an earlier version sends a text, which orders nothing.
    """

    number: int
    incarnation: str
    failure_domain: str


class Call(typing.NamedTuple):
    """Asks the receiver to run a request on its backend server.

    ``remaining`` is the seconds until the deadline, ``objective`` those until the
    latency target. ``headers`` is a flat sequence of names and values.
    ``is_nested`` tells that a backend server made the request, and
    ``retry_probability`` how likely it is that the request was sent before (0 to 1).
    ``notice`` is the :class:`notices.DatedNotice` that the sender knows of the backend
    server, ``None`` without one.
    """

    number: int
    instance: str
    service: str
    route: str
    method: str
    target: str
    headers: list
    body: bytes
    has_body: bool
    remaining: float
    objective: float
    rank: int
    is_safe: bool
    is_nested: bool
    caller: str
    request_id: str
    retry_probability: float
    notice: tuple | None = None


# The types of a call's fields but for the last one, in their order.
_CALL_TYPES = tuple(
    kind for name, kind in Call.__annotations__.items() if name != "notice"
)


def is_sound(call):
    """Return whether the fields of a :class:`Call` have their types and ranges.

    It may come from a daemon of another version. What it names may be unknown here.
    """
    return (
        tuple(map(type, call[:-1])) == _CALL_TYPES
        and math.isfinite(call.remaining)
        and math.isfinite(call.objective)
        and 0.0 <= call.retry_probability <= 1.0
    )


class Load(typing.NamedTuple):
    """Tells the load of a backend server.

    ``limit`` bounds the running requests, and as many start every ``seconds``.
    ``running`` is ``limit`` or more while none may start.
    """

    running: int
    queued: int
    limit: int
    seconds: float


_LOAD_TYPES = [int, int, int, float]


def make_load(values):
    """Return the :class:`Load` of a reply, :data:`NO_LOAD` if it is malformed."""
    is_list = isinstance(values, (list, tuple))
    if is_list and [type(value) for value in values] == _LOAD_TYPES:
        return Load(*values)
    return NO_LOAD


class Reply(typing.NamedTuple):
    """Ends a call.

    ``outcome`` is the value of an ``outcomes.Outcome``; ``arrived`` tells how often
    the request reached the backend server, whether it ran or not: more than once if
    requests before the last one expected another instance. ``notice`` is the
    :class:`notices.DatedNotice` of the backend server, ``None`` without one.

    ``reason`` says why there is no answer. With an answer it is the instance that gave
    it, if the call named another one at its address; daemons of earlier versions
    ignore it there.
    """

    number: int
    outcome: int
    arrived: bool
    reason: str
    status: int
    headers: list
    body: bytes
    retry_after: float
    load: Load
    notice: tuple | None = None


class Cancel(typing.NamedTuple):
    """Cancels a call whose caller disconnected or gave up."""

    number: int


class Resume(typing.NamedTuple):
    """Asks on a new link for the missing replies to calls of a lost link."""

    numbers: list


class Welcome(typing.NamedTuple):
    """Answers a :class:`Hello` and identifies the daemon that accepted the link."""

    incarnation: str
    failure_domain: str


class Ack(typing.NamedTuple):
    """Acknowledges replies to calls that must not run twice."""

    numbers: list


class Ping(typing.NamedTuple):
    """Asks for a :class:`Pong`, to detect a silent link."""

    number: int


class Pong(typing.NamedTuple):
    """Answers a :class:`Ping`."""

    number: int


class Digest(typing.NamedTuple):
    """Summarizes the sender's state.

    The receiver answers with a :class:`StateUpdate` if it has newer state.
    ``revision`` is the store's revision up to which the sender misses nothing, and
    ``age`` the seconds since the store confirmed it. ``version`` is the
    configuration's. ``suspects`` is a checksum of the sender's suspects, 0 if there
    are none.
    """

    revision: int
    age: float
    version: int
    suspects: int


class StateUpdate(typing.NamedTuple):
    """Carries the records after ``since`` up to ``revision``, and other changes.

    ``tree`` is the number of the tree that the update is broadcast along, -1 for
    none. With ``is_snapshot`` the records are complete: an instance that they do not
    name is removed. ``age`` is the seconds since the store confirmed ``revision``.
    ``records`` holds ``(instance, revision, backend)`` with ``None`` for a removed
    backend server, ``configuration`` the operator's document or ``b""``, and
    ``suspects`` ``(fingerprint, origin, crashes, remaining)`` with the seconds until
    a suspect expires.
    """

    tree: int
    is_snapshot: bool
    since: int
    revision: int
    age: float
    records: list
    configuration: bytes
    suspects: list


class Leaving(typing.NamedTuple):
    """Tells that the sender is shutting down and refuses new calls."""

    host: str


# The reason of a reply about a call that never arrived and never will.
NEVER_RECEIVED = "never-received"
# The same from a daemon of an earlier version, where the call may still arrive.
NOT_RECEIVED = "not-received"
NO_LOAD = Load(running=0, queued=0, limit=0, seconds=0.0)

KINDS = (
    Hello,
    Welcome,
    Call,
    Reply,
    Cancel,
    Resume,
    Ack,
    Ping,
    Pong,
    Digest,
    StateUpdate,
    Leaving,
)


def make_failure(number, reason, *, outcome):
    """Return a reply that ends a call without a response.

    :param reason: a short identifier, which is logged and compared.
    :param outcome: an ``outcomes.Outcome``.
    """
    return Reply(
        number=number,
        outcome=outcome,
        arrived=outcome is not outcomes.Outcome.NOT_RUN,
        reason=reason,
        status=0,
        headers=[],
        body=b"",
        retry_after=0.0,
        load=NO_LOAD,
    )

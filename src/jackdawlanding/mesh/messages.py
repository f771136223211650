"""Messages between daemons."""

import typing

from jackdawlanding.decisions import outcomes


class Hello(typing.NamedTuple):
    """The first message of a link: who opened it."""

    host: str
    incarnation: str
    failure_domain: str


class Call(typing.NamedTuple):
    """A request for the backend server beside the receiver.

    Times are seconds that are left. ``headers`` is a flat sequence of names
    and values. ``is_nested`` tells that a backend server made the request, and
    ``retry_probability`` how likely it is that the request was sent before (0 to 1).
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


class Load(typing.NamedTuple):
    """A host's load: requests that run and wait, their limit, seconds each takes."""

    running: int
    queued: int
    limit: int
    seconds: float


class Reply(typing.NamedTuple):
    """The end of a call.

    ``outcome`` is the value of an ``outcomes.Outcome``; ``arrived`` tells that
    the request reached the backend server, whether it ran or not.
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


class Cancel(typing.NamedTuple):
    """The caller of a call has gone or given up."""

    number: int


class Resume(typing.NamedTuple):
    """On a new link: calls of a lost one whose replies are still wanted."""

    numbers: list


class Welcome(typing.NamedTuple):
    """Answers a :class:`Hello`."""

    incarnation: str
    failure_domain: str


class Ack(typing.NamedTuple):
    """Replies that came, of calls that must not run twice."""

    numbers: list


class Ping(typing.NamedTuple):
    """Asks for a :class:`Pong`, so that a silent link is noticed."""

    number: int


class Pong(typing.NamedTuple):
    """Answers a :class:`Ping`."""

    number: int


class Digest(typing.NamedTuple):
    """What the sender knows; the receiver answers with news, if it has any.

    ``revision`` is the store's revision that the sender is complete up to and
    ``age`` how many seconds ago the store vouched for it. ``suspects`` is a
    checksum of those that it knows of, 0 without any.
    """

    revision: int
    age: float
    version: int
    suspects: int


class News(typing.NamedTuple):
    """Records after ``since`` up to ``revision``, and what else is newer.

    ``tree`` numbers the tree that the news goes down, -1 for none. With
    ``is_whole`` the records are all that there are.
    ``records`` holds ``(instance, revision, backend)``, ``configuration`` the
    operator's document or ``b""``, ``suspects``
    ``(fingerprint, origin, deaths, remaining)``.
    """

    tree: int
    is_whole: bool
    since: int
    revision: int
    age: float
    records: list
    configuration: bytes
    suspects: list


class Leaving(typing.NamedTuple):
    """The sender stops soon and takes no new calls."""

    host: str


# The reason of a reply to a call that never came.
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
    News,
    Leaving,
)


def make_failure(number, reason, *, outcome):
    """Return the reply of a call that got none."""
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

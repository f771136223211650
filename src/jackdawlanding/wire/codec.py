"""Typed messages between daemons and their Cap'n Proto encoding.

HTTP headers are sent as a single ``Data`` field: building a Cap'n Proto list of
headers takes longer than encoding the rest of the message.
"""

import pathlib
import typing

import capnp

capnp.remove_import_hook()
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))

MICROS_PER_SECOND = 1_000_000
MAXIMUM_MICROS = (1 << 63) - 1


class MessageError(Exception):
    """A peer's message can't be decoded; its connection must be closed."""


class CallMessage(typing.NamedTuple):
    """A service call that one daemon sends to another.

    ``remaining`` is the time until the call's deadline, in seconds, and
    ``allowance`` the number of retries that may be made below this call.
    ``role`` is 0 for a call to serve, and 1 or 2 for a once-only call that the
    receiver handles as its witness or its owner. ``rank`` 0 is the most urgent, 7
    the least.
    """

    id: int
    service: str
    method: str
    target: str
    headers: bytes = b""
    remaining: float = 0.0
    allowance: int = 0
    caller: str = ""
    key: str = ""
    role: int = 0
    owner: str = ""
    witness: str = ""
    rank: int = 7
    protected: bool = False


class AnswerMessage(typing.NamedTuple):
    """The answer to a call, with the load of the daemon that sends it.

    ``outcome`` is the number of an ``outcomes.Outcome``. Only calls of a rank
    below ``threshold`` are admitted; 255 admits all. ``confirmed`` says that the
    owner or the witness of a once-only key gave the outcome.
    """

    id: int
    status: int
    headers: bytes = b""
    outcome: int = 0
    reason: str = ""
    allowance_left: int = 0
    threshold: int = 255
    in_flight: int = 0
    limit: int = 0
    draining: bool = False
    confirmed: bool = False


class CancelMessage(typing.NamedTuple):
    """Cancels a call whose sender no longer waits for the answer."""

    id: int


class Digest(typing.NamedTuple):
    """The version of a service's publication that is active at a daemon."""

    service: str
    version: int


class Suspect(typing.NamedTuple):
    """A request that was in flight when a backend server crashed.

    ``crashes`` counts the crashes, and ``remaining`` is the time until the
    request is forgotten, in seconds.
    """

    fingerprint: bytes
    crashes: int
    remaining: float


class Uncertainty(typing.NamedTuple):
    """Once-only keys whose history was lost with the members in ``gone``.

    A key is uncertain if its owner and witness in one of ``views`` are both in
    ``gone``; with no views, every key is uncertain. ``remaining`` is the time
    for which they stay uncertain, in seconds. ``since`` is wall-clock seconds:
    keys that carry a later time are not uncertain.
    """

    views: tuple
    gone: tuple
    remaining: float
    since: float


class SyncMessage(typing.NamedTuple):
    """The state that daemons exchange besides calls; see ``peer.capnp``.

    ``pending`` holds the views adopted since the last established one, and
    ``has_kept_up`` says that no other members can have acted without the sender.
    """

    id: int
    instance: str
    incarnation: str
    service: str
    leaving: bool = False
    view_hash: bytes = b""
    wants_keys: bool = False
    publications: tuple = ()
    suspects: tuple = ()
    pending: tuple = ()
    uncertain: tuple = ()
    wants_publication: str = ""
    agrees: bool = False
    wants_instances: bool = False
    list_hash: bytes = b""
    has_kept_up: bool = False


def to_micros(seconds):
    """Return seconds as whole microseconds, limited to what the field can hold."""
    return max(0, min(MAXIMUM_MICROS, int(seconds * MICROS_PER_SECOND)))


def encode_call(call):
    """Return a :class:`CallMessage` as bytes."""
    # Assigning the fields takes a tenth of the time of passing them to new_message.
    message = SCHEMA.Call.new_message()
    message.id = call.id
    message.service = call.service
    message.method = call.method
    message.target = call.target
    message.headers = call.headers
    message.deadlineMicros = to_micros(call.remaining)
    message.allowance = call.allowance
    message.caller = call.caller
    message.key = call.key
    message.role = int(call.role)
    message.owner = call.owner
    message.witness = call.witness
    message.rank = call.rank
    message.protected = call.protected
    return message.to_bytes()


def encode_answer(answer):
    """Return an :class:`AnswerMessage` as bytes."""
    message = SCHEMA.Answer.new_message()
    message.id = answer.id
    message.status = answer.status
    message.headers = answer.headers
    message.outcome = int(answer.outcome)
    message.reason = answer.reason
    message.allowanceLeft = answer.allowance_left
    message.threshold = answer.threshold
    message.inFlight = min(answer.in_flight, 65535)
    message.limit = min(answer.limit, 65535)
    message.draining = answer.draining
    message.vouched = answer.confirmed
    return message.to_bytes()


def encode_cancel(cancel):
    """Return a :class:`CancelMessage` as bytes."""
    return SCHEMA.Cancel.new_message(id=cancel.id).to_bytes()


def encode_sync(sync):
    """Return a :class:`SyncMessage` as bytes."""
    message = SCHEMA.Sync.new_message(
        id=sync.id,
        instance=sync.instance,
        incarnation=sync.incarnation,
        service=sync.service,
        leaving=sync.leaving,
        viewHash=sync.view_hash,
        wantsKeys=sync.wants_keys,
        wantsPublication=sync.wants_publication,
        agrees=sync.agrees,
        wantsInstances=sync.wants_instances,
        listHash=sync.list_hash,
        hasKeptUp=sync.has_kept_up,
    )
    # An empty list takes up bytes in the message, unlike a list that is not set.
    if sync.publications:
        message.publications = [item._asdict() for item in sync.publications]
    if sync.suspects:
        message.suspects = [
            {
                "fingerprint": item.fingerprint,
                "deaths": item.crashes,
                "leftMicros": to_micros(item.remaining),
            }
            for item in sync.suspects
        ]
    if sync.pending:
        message.pending = [{"members": list(view)} for view in sync.pending]
    if sync.uncertain:
        message.uncertain = [
            {
                "views": [{"members": list(view)} for view in item.views],
                "gone": list(item.gone),
                "leftMicros": to_micros(item.remaining),
                "sinceMillis": int(item.since * 1000),
            }
            for item in sync.uncertain
        ]
    return message.to_bytes()


def decode(schema, convert, data):
    """Decode bytes and return a typed message.

    :param schema: the Cap'n Proto struct of the message.
    :param convert: returns the typed message for a reader of that struct.
    :raises MessageError: the bytes can't be decoded.
    """
    try:
        with schema.from_bytes(data) as reader:
            return convert(reader)
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        raise MessageError(f"a message can't be decoded: {error}") from error


def decode_call(data):
    """Return the :class:`CallMessage` that bytes hold; see :func:`decode`."""
    return decode(SCHEMA.Call, _convert_call, data)


def decode_answer(data):
    """Return the :class:`AnswerMessage` that bytes hold; see :func:`decode`."""
    return decode(SCHEMA.Answer, _convert_answer, data)


def decode_cancel(data):
    """Return the :class:`CancelMessage` that bytes hold; see :func:`decode`."""
    return decode(SCHEMA.Cancel, lambda reader: CancelMessage(id=reader.id), data)


def decode_sync(data):
    """Return the :class:`SyncMessage` that bytes hold; see :func:`decode`."""
    return decode(SCHEMA.Sync, _convert_sync, data)


def _convert_call(reader):
    return CallMessage(
        id=reader.id,
        service=reader.service,
        method=reader.method,
        target=reader.target,
        headers=bytes(reader.headers),
        remaining=reader.deadlineMicros / MICROS_PER_SECOND,
        allowance=reader.allowance,
        caller=reader.caller,
        key=reader.key,
        role=reader.role,
        owner=reader.owner,
        witness=reader.witness,
        rank=reader.rank,
        protected=reader.protected,
    )


def _convert_answer(reader):
    return AnswerMessage(
        id=reader.id,
        status=reader.status,
        headers=bytes(reader.headers),
        outcome=reader.outcome,
        reason=reader.reason,
        allowance_left=reader.allowanceLeft,
        threshold=reader.threshold,
        in_flight=reader.inFlight,
        limit=reader.limit,
        draining=reader.draining,
        confirmed=reader.vouched,
    )


def _convert_sync(reader):
    return SyncMessage(
        id=reader.id,
        instance=reader.instance,
        incarnation=reader.incarnation,
        service=reader.service,
        leaving=reader.leaving,
        view_hash=bytes(reader.viewHash),
        wants_keys=reader.wantsKeys,
        publications=tuple(
            Digest(service=item.service, version=item.version)
            for item in reader.publications
        ),
        suspects=tuple(
            Suspect(
                fingerprint=bytes(item.fingerprint),
                crashes=item.deaths,
                remaining=item.leftMicros / MICROS_PER_SECOND,
            )
            for item in reader.suspects
        ),
        pending=tuple(tuple(view.members) for view in reader.pending),
        uncertain=tuple(_convert_uncertainty(item) for item in reader.uncertain),
        wants_publication=reader.wantsPublication,
        agrees=reader.agrees,
        wants_instances=reader.wantsInstances,
        list_hash=bytes(reader.listHash),
        has_kept_up=reader.hasKeptUp,
    )


def _convert_uncertainty(item):
    return Uncertainty(
        views=tuple(tuple(view.members) for view in item.views),
        gone=tuple(item.gone),
        remaining=item.leftMicros / MICROS_PER_SECOND,
        since=item.sinceMillis / 1000,
    )

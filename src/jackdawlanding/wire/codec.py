"""Typed messages between daemons and their Cap'n Proto encoding.

Headers travel as one run of bytes: building a packed list of headers costs
more than the rest of the message.
"""

import pathlib
import typing

import capnp

capnp.remove_import_hook()
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))

MICROS = 1_000_000
MAXIMUM_MICROS = (1 << 63) - 1


class MessageError(Exception):
    """A peer's message does not decode; the connection must be closed."""


class CallMessage(typing.NamedTuple):
    """A call passed to another daemon. ``remaining`` is seconds left."""

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
    """The answer to a call, with the load of the daemon that gave it."""

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
    """The far side no longer waits for a call."""

    id: int


class Digest(typing.NamedTuple):
    """The version of a service's publication that a daemon holds."""

    service: str
    version: int


class Suspect(typing.NamedTuple):
    """A request seen in flight when a backend server died."""

    fingerprint: bytes
    crashes: int
    remaining: float


class Uncertainty(typing.NamedTuple):
    """Keys whose history died with ``gone``; ``remaining`` is seconds.

    A key is meant when its pair in one of ``views`` lies within ``gone``.
    ``since`` is wall-clock seconds.
    """

    views: tuple
    gone: tuple
    remaining: float
    since: float


class SyncMessage(typing.NamedTuple):
    """What daemons tell each other besides calls."""

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
    """Convert seconds to whole microseconds, clamped to the field."""
    return max(0, min(MAXIMUM_MICROS, int(seconds * MICROS)))


def encode_call(call):
    """Encode a :class:`CallMessage`."""
    # Assigning fields costs a tenth of passing them to new_message.
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
    """Encode an :class:`AnswerMessage`."""
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
    """Encode a :class:`CancelMessage`."""
    return SCHEMA.Cancel.new_message(id=cancel.id).to_bytes()


def encode_sync(sync):
    """Encode a :class:`SyncMessage`."""
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
    # Empty lists still cost bytes; leave them out.
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
    """Decode ``data`` by ``schema`` and convert it to a typed message.

    :raises MessageError: the bytes do not decode.
    """
    try:
        with schema.from_bytes(data) as reader:
            return convert(reader)
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        raise MessageError(f"a message does not decode: {error}") from error


def decode_call(data):
    """Decode a :class:`CallMessage`."""
    return decode(SCHEMA.Call, _convert_call, data)


def decode_answer(data):
    """Decode an :class:`AnswerMessage`."""
    return decode(SCHEMA.Answer, _convert_answer, data)


def decode_cancel(data):
    """Decode a :class:`CancelMessage`."""
    return decode(SCHEMA.Cancel, lambda reader: CancelMessage(id=reader.id), data)


def decode_sync(data):
    """Decode a :class:`SyncMessage`."""
    return decode(SCHEMA.Sync, _convert_sync, data)


def _convert_call(reader):
    return CallMessage(
        id=reader.id,
        service=reader.service,
        method=reader.method,
        target=reader.target,
        headers=bytes(reader.headers),
        remaining=reader.deadlineMicros / MICROS,
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
                remaining=item.leftMicros / MICROS,
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
        remaining=item.leftMicros / MICROS,
        since=item.sinceMillis / 1000,
    )

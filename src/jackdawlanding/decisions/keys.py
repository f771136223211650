"""Ledger of the idempotency keys of a daemon's once-only work.

A key is kept for the repeat horizon after its last attempt. No key is dropped
earlier: a full ledger refuses new keys.
"""

import enum
import struct
import typing
import uuid

# A packed record: the key's digest, the state and the age.
RECORD = struct.Struct("!16sBI")
AGE_UNIT_SECONDS = 0.001
MAXIMUM_AGE = (1 << 32) - 1


class State(enum.IntEnum):
    """The state of the latest attempt with a key."""

    RUNNING = 0
    UNKNOWN = 1
    DONE = 2


class KeyRecord(typing.NamedTuple):
    """The state of a key, and when it was last updated, in seconds."""

    state: State
    at: float


class KeyLedger:
    """Keys by digest, with the state of their latest attempt.

    :param horizon: seconds for which callers may send a key again.
    :param capacity: most keys stored.
    """

    def __init__(self, *, horizon, capacity=100_000):
        self.horizon = horizon
        self.capacity = capacity
        # Oldest first: each update of a key moves it to the end.
        self._records = {}

    def __len__(self):
        return len(self._records)

    def get(self, *, now, key):
        """Return the :class:`KeyRecord` of a key's digest, or ``None``."""
        self._expire(now)
        packed = self._records.get(key)
        return _unpack(packed) if packed is not None else None

    def has_room(self, *, now):
        """Return whether one more key can be stored."""
        self._expire(now)
        return len(self._records) < self.capacity

    def begin(self, *, now, key):
        """Record that an attempt begins with a key that isn't stored.

        :raises ValueError: the key is stored already.
        """
        if self.get(now=now, key=key) is not None:
            raise ValueError("the key is stored already; call get() before begin()")
        self._put(key, State.RUNNING, now)

    def finish(self, *, now, key, ran):
        """Record the end of an attempt of this daemon.

        :param ran: whether the attempt ran; ``None`` where it isn't known.
        """
        packed = self._records.get(key)
        if packed is None:
            return
        state = _unpack(packed).state
        if ran is False:
            # Another state was merged from a peer and is that of another attempt.
            if state is State.RUNNING:
                del self._records[key]
            return
        if state is not State.DONE:
            self._put(key, State.DONE if ran else State.UNKNOWN, now)

    def export(self, *, now):
        """Return all keys as packed records: digest, state, age.

        Each record has the layout ``RECORD``; ages are in ``AGE_UNIT_SECONDS``.
        """
        self._expire(now)
        exported = bytearray()
        for key, packed in self._records.items():
            record = _unpack(packed)
            age = min(MAXIMUM_AGE, int((now - record.at) / AGE_UNIT_SECONDS))
            exported += RECORD.pack(key, record.state, max(0, age))
        return bytes(exported)

    def merge(self, *, now, records):
        """Merge the records that a peer exported; return how many keys were new.

        :raises ValueError: the records are cut short or hold unknown states.
        """
        if len(records) % RECORD.size:
            raise ValueError("key records are cut short")
        count = 0
        for key, state, age in RECORD.iter_unpack(records):
            count += self._merge_record(now, key, State(state), age * AGE_UNIT_SECONDS)
        return count

    def _merge_record(self, now, key, state, age):
        at = now - age
        if age >= self.horizon:
            return 0
        # Only the daemon that runs an attempt learns how it ends.
        state = State.UNKNOWN if state is State.RUNNING else state
        packed = self._records.get(key)
        if packed is None:
            self._records[key] = _pack(state, at)
            return 1
        known = _unpack(packed)
        self._records[key] = _pack(max(state, known.state), max(at, known.at))
        return 0

    def _put(self, key, state, now):
        self._records.pop(key, None)
        self._records[key] = _pack(state, now)

    def _expire(self, now):
        while self._records:
            key = next(iter(self._records))
            record = _unpack(self._records[key])
            if now - record.at <= self.horizon:
                return
            if record.state is State.RUNNING:
                self._put(key, State.RUNNING, now)
                return
            del self._records[key]


def _pack(state, at):
    return (int(at / AGE_UNIT_SECONDS) << 2) | state


def _unpack(packed):
    return KeyRecord(state=State(packed & 3), at=(packed >> 2) * AGE_UNIT_SECONDS)


def parse_uuid_time(text):
    """Return the wall-clock seconds in a UUIDv7, or ``None`` for any other text.

    Source: RFC 9562, section 5.7.
    """
    try:
        key = uuid.UUID(text)
    except ValueError:
        return None
    if key.version != 7:
        return None
    return (key.int >> 80) / 1000

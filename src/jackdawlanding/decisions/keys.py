"""Idempotency keys that a daemon remembers of its own work.

A key is held for the repeat horizon after its last attempt. Nothing is
forgotten early: when there is no room, new keys are refused.
"""

import enum
import struct
import typing
import uuid

RECORD = struct.Struct("!16sBI")
AGE_UNIT_SECONDS = 0.001
MAXIMUM_AGE = (1 << 32) - 1


class State(enum.IntEnum):
    """What is known of the latest attempt with a key."""

    RUNNING = 0
    UNKNOWN = 1
    DONE = 2


class Held(typing.NamedTuple):
    """A remembered key: its state and when it was last touched, in seconds."""

    state: State
    at: float


class KeyLedger:
    """Keys by digest, with the state of their latest attempt.

    :param horizon: seconds for which callers may send a key again.
    :param capacity: most keys held.
    """

    def __init__(self, *, horizon, capacity=100_000):
        self.horizon = horizon
        self.capacity = capacity
        # Insertion order is age order: every touch inserts anew.
        self._held = {}

    def __len__(self):
        return len(self._held)

    def get(self, *, now, key):
        """Return the :class:`Held` of a key's digest, or ``None``."""
        self._expire(now)
        packed = self._held.get(key)
        return _unpack(packed) if packed is not None else None

    def has_room(self, *, now):
        """Return whether one more key can be held."""
        self._expire(now)
        return len(self._held) < self.capacity

    def begin(self, *, now, key):
        """Record that an attempt begins; the key must not be held.

        :raises ValueError: the key is held already.
        """
        if self.get(now=now, key=key) is not None:
            raise ValueError("the key is held already; get it first")
        self._put(key, State.RUNNING, now)

    def finish(self, *, now, key, ran):
        """Record the end of this daemon's own attempt.

        :param ran: ``True``, ``False`` or ``None`` where it isn't known.
        """
        packed = self._held.get(key)
        if packed is None:
            return
        state = _unpack(packed).state
        if ran is False:
            # A record that a peer brought meanwhile tells of another attempt.
            if state is State.RUNNING:
                del self._held[key]
            return
        if state is not State.DONE:
            self._put(key, State.DONE if ran else State.UNKNOWN, now)

    def export(self, *, now):
        """Return all keys held as packed records: digest, state, age."""
        self._expire(now)
        records = bytearray()
        for key, packed in self._held.items():
            held = _unpack(packed)
            age = min(MAXIMUM_AGE, int((now - held.at) / AGE_UNIT_SECONDS))
            records += RECORD.pack(key, held.state, max(0, age))
        return bytes(records)

    def merge(self, *, now, records):
        """Take in records that a peer exported; return how many were new.

        :raises ValueError: the records are cut short or hold unknown states.
        """
        if len(records) % RECORD.size:
            raise ValueError("key records are cut short")
        count = 0
        for key, state, age in RECORD.iter_unpack(records):
            count += self._merge_one(now, key, State(state), age * AGE_UNIT_SECONDS)
        return count

    def _merge_one(self, now, key, state, age):
        at = now - age
        if age >= self.horizon:
            return 0
        # Only the daemon that runs an attempt learns how it ends.
        state = State.UNKNOWN if state is State.RUNNING else state
        packed = self._held.get(key)
        if packed is None:
            self._held[key] = _pack(state, at)
            return 1
        known = _unpack(packed)
        self._held[key] = _pack(max(state, known.state), max(at, known.at))
        return 0

    def _put(self, key, state, now):
        self._held.pop(key, None)
        self._held[key] = _pack(state, now)

    def _expire(self, now):
        while self._held:
            key = next(iter(self._held))
            held = _unpack(self._held[key])
            if now - held.at <= self.horizon:
                return
            if held.state is State.RUNNING:
                self._put(key, State.RUNNING, now)
                return
            del self._held[key]


def _pack(state, at):
    return (int(at / AGE_UNIT_SECONDS) << 2) | state


def _unpack(packed):
    return Held(state=State(packed & 3), at=(packed >> 2) * AGE_UNIT_SECONDS)


def parse_uuid_time(text):
    """Return the wall-clock seconds that a UUIDv7 carries, or ``None``.

    Source: RFC 9562, section 5.7.
    """
    try:
        key = uuid.UUID(text)
    except ValueError:
        return None
    if key.version != 7:
        return None
    return (key.int >> 80) / 1000

"""Who makes room for others among the connections of callers."""

import resource
import time
import unittest
from unittest import mock

from jackdawlanding.mesh import callerroom, memory

LARGE = memory.LARGE_BYTES + 1


class FakeLoop:
    unsent_bytes = 0

    def coalesce(self, callback):
        return callback


class FakeStream:
    unsent = 0


class FakeConnection:
    """A connection that received, or read, its last bytes ``quiet`` seconds ago."""

    def __init__(
        self, room, connections, *, held=0, unread=0, quiet=0.0, serving=False
    ):
        self.held_bytes = held
        self.is_receiving = held > 0
        self.is_closable = lambda now: not serving
        self.received_at = self.read_at = time.monotonic() - quiet
        self.stream = FakeStream()
        self.stream.unsent = unread
        self._room, self._connections = room, connections
        room.held_bytes += held
        connections.add(self)

    def refuse_partial(self):
        self._room.held_bytes -= self.held_bytes
        self.held_bytes, self.is_receiving = 0, False

    def close(self):
        self._connections.discard(self)


class CallerRoomTest(unittest.TestCase):
    def setUp(self):
        self.connections = set()
        self.loop = FakeLoop()
        self.room = callerroom.CallerRoom(loop=self.loop, connections=self.connections)

    def add(self, **fields):
        return FakeConnection(self.room, self.connections, **fields)

    def fill(self, **fields):
        """Add two that hold all room, so that one alone is not in its right."""
        half = memory.MAXIMUM_REQUEST_BYTES // 2
        return [self.add(held=half, **fields) for _ in range(2)]

    def test_one_that_stalls_makes_room(self):
        busy, _ = self.fill()
        stalled = self.add(held=LARGE, quiet=callerroom.STALL_SECONDS + 0.1)
        newcomer = self.add(held=LARGE)
        self.assertFalse(self.room.make_room(newcomer))
        self.assertFalse(stalled.is_receiving)
        self.assertTrue(busy.is_receiving)
        busy.received_at -= callerroom.STALL_SECONDS + 0.1
        self.assertTrue(self.room.make_room(newcomer))
        self.assertFalse(busy.is_receiving)
        self.assertTrue(newcomer.is_receiving)

    def test_a_large_newcomer_costs_no_one_that_goes_on(self):
        self.fill()
        newcomer = self.add(held=LARGE)
        self.assertFalse(self.room.make_room(newcomer))
        self.assertTrue(all(other.is_receiving for other in self.connections))

    def test_a_small_newcomer_costs_the_largest_one(self):
        self.fill()
        newcomer = self.add(held=100)
        self.assertTrue(self.room.make_room(newcomer))
        self.assertEqual(sum(other.is_receiving for other in self.connections), 2)

    def test_one_of_any_size_is_received_beside_small_ones(self):
        self.add(held=2 * memory.MAXIMUM_REQUEST_BYTES)
        newcomer = self.add(held=memory.FREE_REQUEST_BYTES)
        self.assertTrue(self.room.make_room(newcomer))
        other = self.add(held=LARGE)
        self.assertFalse(self.room.make_room(other))

    def test_who_reads_nothing_is_cut_off_first(self):
        unread = memory.MAXIMUM_UNREAD_BYTES // 4
        reading = [self.add(unread=unread * (1 + place)) for place in range(2)]
        stalled = self.add(unread=unread, quiet=callerroom.STALL_SECONDS + 0.1)
        other = self.add()
        self.loop.unsent_bytes = 5 * unread
        self.room.limit_unread()
        self.assertEqual(self.connections, {*reading, stalled, other})
        more = self.add(unread=unread // 2)
        self.room.limit_unread()
        self.assertEqual(self.connections, {*reading, more, other})
        most = self.add(unread=2 * unread)
        self.room.limit_unread()
        self.assertEqual(len(self.connections - {reading[1], most}), 3)
        self.assertEqual(len(self.connections), 4)

    def test_bodies_that_are_passed_on_cut_nobody_off(self):
        self.add(unread=memory.MAXIMUM_UNREAD_BYTES, quiet=9.0)
        self.loop.unsent_bytes = 3 * memory.MAXIMUM_UNREAD_BYTES
        self.room.limit_unread()
        self.assertEqual(len(self.connections), 1)

    def test_who_sent_nothing_for_longest_is_closed(self):
        with mock.patch.object(resource, "getrlimit", return_value=(40, 40)):
            self.room.sweep()
        serving = self.add(quiet=90.0, serving=True)
        idle = [self.add(quiet=float(seconds)) for seconds in range(30)]
        self.room.limit_connections()
        # 30 may be open, and 28 remain.
        self.assertEqual(self.connections, {serving, *idle[:27]})


if __name__ == "__main__":
    unittest.main()

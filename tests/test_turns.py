"""Turns at reading large messages pass on, whatever becomes of who has one."""

import unittest

from jackdawlanding.mesh import turns


class FakeStream:
    def __init__(self):
        self.is_paused = False

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False


class Reader:
    def __init__(self, *, since):
        self.stream = FakeStream()
        self.turn = turns.Turn()
        self.turn.record(now=since, is_large=True)


class TurnsTest(unittest.TestCase):
    def setUp(self):
        self.readers = [Reader(since=since) for since in (3.0, 1.0, 2.0)]

    def share(self, now, *, count=1):
        """Return the places of those that may read."""
        turns.share(self.readers, count=count, now=now)
        return [
            place
            for place, reader in enumerate(self.readers)
            if not reader.stream.is_paused
        ]

    def test_the_first_ones_read(self):
        for reader in self.readers:
            reader.turn.record(now=3.0, is_large=True)
        self.assertEqual(self.share(3.0), [1])
        self.assertEqual(self.share(3.0, count=2), [1, 2])
        self.assertEqual(self.share(3.0, count=0), [])

    def test_one_that_gets_nothing_comes_last(self):
        """All others waited for it."""
        for reader in self.readers:
            reader.turn.record(now=3.0, is_large=True)
        self.assertEqual(self.share(3.0), [1])
        self.assertEqual(self.share(3.05), [1])
        self.assertEqual(self.share(3.2), [2])
        self.readers[2].turn.record(now=3.25, is_large=True)
        self.assertEqual(self.share(3.3), [2])
        self.assertEqual(self.share(3.4), [0])
        self.assertEqual(self.share(3.6), [1])

    def test_a_turn_ends_with_its_message(self):
        turn = self.readers[0].turn
        turn.record(now=4.0, is_large=False)
        self.assertIsNone(turn.since)
        turn.record(now=5.0, is_large=True)
        self.assertEqual(turn.since, 5.0)
        turn.end()
        self.assertIsNone(turn.since)


if __name__ == "__main__":
    unittest.main()

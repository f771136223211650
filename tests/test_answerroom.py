"""Requests are refused only where the answer most likely finds no room."""

import unittest

from jackdawlanding.decisions import answerroom

SMALL = answerroom.SMALL_BYTES


class AnswerRoomTest(unittest.TestCase):
    def setUp(self):
        self.room = answerroom.AnswerRoom(maximum=10 * SMALL)

    def expect(self, kind, size):
        """Let answers of a kind have had a size for a while."""
        for _ in range(60):
            self.room.record(kind, size)

    def test_what_is_not_known_to_be_large_has_room(self):
        self.expect("look", SMALL)
        self.assertTrue(self.room.has_room(kind="look", held=20 * SMALL))
        self.assertTrue(self.room.has_room(kind="new", held=20 * SMALL))
        self.assertEqual(self.room.reserve("look"), 0)

    def test_large_answers_that_are_awaited_and_not_read_yet_take_the_room(self):
        self.expect("list", 4 * SMALL)
        reserved = [self.room.reserve("list") for _ in range(2)]
        self.assertFalse(self.room.has_room(kind="list", held=0))
        self.room.release(reserved.pop())
        self.assertTrue(self.room.has_room(kind="list", held=2 * SMALL))
        self.assertFalse(self.room.has_room(kind="list", held=3 * SMALL))

    def test_an_answer_larger_than_the_room_is_awaited_alone(self):
        self.expect("list", 20 * SMALL)
        self.assertTrue(self.room.has_room(kind="list", held=0))
        self.room.reserve("list")
        self.assertFalse(self.room.has_room(kind="list", held=0))

    def test_answers_that_get_smaller_are_admitted_again(self):
        self.expect("list", 20 * SMALL)
        self.expect("list", 100)
        self.assertTrue(self.room.has_room(kind="list", held=20 * SMALL))

    def test_one_large_answer_among_small_ones_refuses_few(self):
        self.expect("list", 100)
        self.room.record("list", 10 * SMALL)
        self.room.reserve("list")
        self.assertTrue(self.room.has_room(kind="list", held=3 * SMALL))

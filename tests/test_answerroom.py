"""Requests are refused only where the answer most likely finds no room."""

import unittest

from jackdawlanding.decisions import answerroom

SMALL = answerroom.SMALL_BYTES


class AnswerRoomTest(unittest.TestCase):
    def setUp(self):
        self.room = answerroom.AnswerRoom(maximum=10 * SMALL)

    def test_what_is_not_known_to_be_large_has_room(self):
        self.room.record("look", SMALL)
        self.assertTrue(self.room.has_room(kind="look", held=20 * SMALL))
        self.assertTrue(self.room.has_room(kind="new", held=20 * SMALL))
        self.assertEqual(self.room.reserve("look"), 0)

    def test_large_answers_that_are_awaited_and_not_read_yet_take_the_room(self):
        self.room.record("list", 4 * SMALL)
        reserved = [self.room.reserve("list") for _ in range(2)]
        self.assertFalse(self.room.has_room(kind="list", held=0))
        self.room.release(reserved.pop())
        self.assertTrue(self.room.has_room(kind="list", held=2 * SMALL))
        self.assertFalse(self.room.has_room(kind="list", held=3 * SMALL))

    def test_an_answer_larger_than_the_room_is_awaited_alone(self):
        self.room.record("list", 20 * SMALL)
        self.assertTrue(self.room.has_room(kind="list", held=0))
        self.room.reserve("list")
        self.assertFalse(self.room.has_room(kind="list", held=0))

    def test_answers_that_get_smaller_are_admitted_again(self):
        self.room.record("list", 20 * SMALL)
        for _ in range(50):
            self.room.record("list", 100)
        self.assertTrue(self.room.has_room(kind="list", held=20 * SMALL))

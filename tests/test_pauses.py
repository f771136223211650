"""A process detects that it was paused before it acts."""

import unittest

from jackdawlanding.decisions import pauses


class PauseGuardTest(unittest.TestCase):
    def setUp(self):
        self.guard = pauses.PauseGuard(now=10.0, pause_seconds=2.0)

    def test_regular_ticks_are_not_a_pause(self):
        self.assertEqual(self.guard.tick(now=10.5), 0.0)
        self.assertFalse(self.guard.is_paused(now=11.0))

    def test_a_pause_is_detected_before_the_next_tick(self):
        """Another thread may wake before the one that ticks."""
        self.assertTrue(self.guard.is_paused(now=13.0))

    def test_a_tick_returns_the_gap_once(self):
        self.assertEqual(self.guard.tick(now=15.0), 5.0)
        self.assertEqual(self.guard.tick(now=15.5), 0.0)

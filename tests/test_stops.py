"""Whether work that begins during a planned stop may begin."""

import unittest

from jackdawlanding.decisions import stops


class StopsTest(unittest.TestCase):
    def test_work_that_may_last_longer_than_its_mean_must_end_in_time(self):
        for mean_seconds, expected in ((0.6, True), (0.7, False), (1.2, False)):
            self.assertEqual(
                stops.ends_in_time(now=10.0, mean_seconds=mean_seconds, ends_at=11.0),
                expected,
            )

    def test_all_work_may_begin_while_no_stop_is_planned(self):
        self.assertTrue(
            stops.ends_in_time(now=10.0, mean_seconds=60.0, ends_at=float("inf"))
        )


if __name__ == "__main__":
    unittest.main()

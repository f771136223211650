"""A short, seeded run of the soak; the long one is started by hand."""

import unittest

from tests import soak

SEEDS = (1, 2, 3)


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_overlapping_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = soak.Soak(seed=seed)
                self.assertEqual(run.run(), [], run.folder)
                successes = sum(record.status == 200 for record in run.records)
                self.assertGreater(successes, 300)


if __name__ == "__main__":
    unittest.main()

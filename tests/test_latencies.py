"""Latency histograms by rank."""

import unittest

from jackdawlanding import latencies


class LatenciesTest(unittest.TestCase):
    def test_quantiles_are_by_rank_and_within_a_hundredth_of_the_values(self):
        recorded = latencies.Latencies()
        for millis in range(1, 101):
            recorded.record(0, millis / 1000)
        recorded.record(2, 1.5)
        quantiles = {
            (item.rank, item.percent): item.seconds
            for item in recorded.list_quantiles()
        }
        self.assertAlmostEqual(quantiles[0, 50.0], 0.05, delta=0.001)
        self.assertAlmostEqual(quantiles[0, 99.0], 0.099, delta=0.001)
        self.assertAlmostEqual(quantiles[2, 50.0], 1.5, delta=0.015)
        self.assertEqual(recorded.list_counts(), [(0, 100), (2, 1)])

    def test_without_requests_there_are_no_quantiles(self):
        self.assertEqual(latencies.Latencies().list_quantiles(), [])


if __name__ == "__main__":
    unittest.main()

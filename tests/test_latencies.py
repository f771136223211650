import unittest

from jackdawlanding import latencies


class LatenciesTest(unittest.TestCase):
    def test_quantiles_are_by_rank_and_within_a_hundredth(self):
        one = latencies.Latencies()
        for millis in range(1, 101):
            one.record(0, millis / 1000)
        one.record(2, 1.5)
        found = {(q.rank, q.percent): q.seconds for q in one.list_quantiles()}
        self.assertAlmostEqual(found[0, 50.0], 0.05, delta=0.001)
        self.assertAlmostEqual(found[0, 99.0], 0.099, delta=0.001)
        self.assertAlmostEqual(found[2, 50.0], 1.5, delta=0.015)
        self.assertEqual(one.list_counts(), [(0, 100), (2, 1)])

    def test_without_requests_there_is_nothing(self):
        self.assertEqual(latencies.Latencies().list_quantiles(), [])


if __name__ == "__main__":
    unittest.main()

"""Exact shares, trees of news, and who reads the store."""

import random
import unittest

from jackdawlanding.decisions import readers, routes, splits, trees


def make_route(**weights):
    shares = tuple(routes.Share(service=s, weight=w) for s, w in weights.items())
    return routes.Route(
        name="r",
        host="h",
        prefix="/",
        is_safe=True,
        timeout=1.0,
        objective=1.0,
        rank=0,
        attempts=2,
        shares=shares,
    )


class SplitterTest(unittest.TestCase):
    def test_shares_hold_over_any_run(self):
        for seed in range(10):
            splitter = splits.Splitter(generator=random.Random(seed))
            route = make_route(a=90, b=9, c=1)
            chosen = [splitter.choose(route) for _ in range(1000)]
            for start in range(0, 900, 100):
                window = chosen[start : start + 100]
                self.assertAlmostEqual(window.count("a"), 90, delta=2)
                self.assertAlmostEqual(window.count("b"), 9, delta=2)

    def test_new_weights_start_anew(self):
        splitter = splits.Splitter(generator=random.Random(1))
        for _ in range(50):
            splitter.choose(make_route(a=1, b=1))
        chosen = [splitter.choose(make_route(a=1, c=3)) for _ in range(100)]
        self.assertAlmostEqual(chosen.count("c"), 75, delta=1)


class TreesTest(unittest.TestCase):
    def reach(self, tree, root, lost=()):
        reached, waiting = {root}, [root]
        while waiting:
            for child in tree.list_children(waiting.pop()):
                if child not in reached and child not in lost:
                    reached.add(child)
                    waiting.append(child)
        return reached

    def test_each_tree_reaches_all_from_its_reader(self):
        hosts = [f"10.0.{n // 250}.{n % 250}" for n in range(700)]
        order = readers.order(hosts)
        for number, tree in enumerate(trees.build_trees(hosts)):
            self.assertEqual(self.reach(tree, order[number]), set(hosts))

    def test_one_lost_daemon_cuts_nobody_off_from_both(self):
        hosts = [f"10.0.0.{n}" for n in range(60)]
        order = readers.order(hosts)
        for lost in order[readers.READER_COUNT :]:
            reached = set()
            for number, tree in enumerate(trees.build_trees(hosts)):
                reached |= self.reach(tree, order[number], {lost})
            self.assertEqual(reached, set(hosts) - {lost})

    def test_small_and_unknown(self):
        self.assertEqual(trees.build_trees([])[0].list_children("x"), ())
        self.assertEqual(trees.build_trees(["x"])[1].list_children("x"), ())


class ReadersTest(unittest.TestCase):
    def test_readers_read_always_and_others_when_these_fall_silent(self):
        self.assertEqual(readers.compute_read_delay(position=1, age=0.0), 0.0)
        self.assertGreater(readers.compute_read_delay(position=2, age=0.5), 0.0)
        self.assertEqual(readers.compute_read_delay(position=2, age=1.4), 0.0)
        self.assertGreater(
            readers.compute_read_delay(position=9, age=1.0),
            readers.compute_read_delay(position=3, age=1.0),
        )

    def test_a_host_that_is_not_listed_comes_last(self):
        self.assertEqual(readers.compute_position(host="x", hosts=["a", "b"]), 2)


if __name__ == "__main__":
    unittest.main()

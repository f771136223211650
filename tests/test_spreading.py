"""Exact shares of a route, broadcast trees, and the readers of the store."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from jackdawlanding.decisions import readers, routes, splits, trees


def make_route(**weights):
    shares = tuple(
        routes.Share(service=service, weight=weight)
        for service, weight in weights.items()
    )
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
    def test_shares_hold_over_any_run_of_requests(self):
        for seed in range(10):
            splitter = splits.Splitter(generator=random.Random(seed))
            route = make_route(a=90, b=9, c=1)
            chosen = [splitter.choose(route) for _ in range(1000)]
            for start in range(0, 900, 100):
                window = chosen[start : start + 100]
                self.assertAlmostEqual(window.count("a"), 90, delta=2)
                self.assertAlmostEqual(window.count("b"), 9, delta=2)

    def test_a_change_of_services_restarts_the_split(self):
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

    def test_each_tree_reaches_all_hosts_from_its_reader(self):
        hosts = [f"10.0.{n // 250}.{n % 250}" for n in range(700)]
        order = readers.ReaderOrder(hosts)
        for number, tree in enumerate(trees.make_trees(order)):
            self.assertEqual(self.reach(tree, order.get(number)), set(hosts))

    def test_one_lost_daemon_cuts_off_no_host_from_both_trees(self):
        hosts = [f"10.0.0.{n}" for n in range(60)]
        order = readers.ReaderOrder(hosts)
        for position in range(readers.READER_COUNT, len(hosts)):
            lost = order.get(position)
            reached = set()
            for number, tree in enumerate(trees.make_trees(order)):
                reached |= self.reach(tree, order.get(number), {lost})
            self.assertEqual(reached, set(hosts) - {lost})

    def test_unknown_hosts_and_small_trees_have_no_children(self):
        for hosts in ([], ["x"]):
            for tree in trees.make_trees(readers.ReaderOrder(hosts)):
                self.assertEqual(tree.list_children("x"), ())


class ReadersTest(unittest.TestCase):
    def test_readers_read_at_once_and_others_only_without_confirmation(self):
        self.assertEqual(readers.compute_read_delay(position=1, age=0.0), 0.0)
        self.assertGreater(readers.compute_read_delay(position=2, age=0.5), 0.0)
        self.assertEqual(readers.compute_read_delay(position=2, age=1.4), 0.0)
        self.assertGreater(
            readers.compute_read_delay(position=9, age=1.0),
            readers.compute_read_delay(position=3, age=1.0),
        )

    def test_an_unknown_host_comes_last(self):
        self.assertEqual(readers.ReaderOrder(["a", "b"]).compute_position("x"), 2)

    @hypothesis.settings(max_examples=60, derandomize=True)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 30), max_size=60), strategies.data()
    )
    def test_a_changed_order_is_that_of_a_new_one(self, changes, data):
        """All daemons must agree on it, by whatever changes they came to it."""
        order, hosts = readers.ReaderOrder(), set()
        for number in changes:
            host = f"10.0.0.{number}"
            if host in hosts:
                hosts.remove(host)
                order.remove(host)
            else:
                hosts.add(host)
                order.add(host)
        fresh = readers.ReaderOrder(sorted(hosts))
        positions = range(len(hosts))
        self.assertEqual(
            [order.get(position) for position in positions],
            [fresh.get(position) for position in positions],
        )
        for position in positions:
            self.assertEqual(order.compute_position(order.get(position)), position)


if __name__ == "__main__":
    unittest.main()

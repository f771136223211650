"""Calls go to near and idle instances first; ejection never removes them all."""

import collections
import random
import unittest

from jackdawlanding.decisions import routing


def make_endpoint(name, region="r1", domain="a"):
    return routing.Endpoint(
        instance=name, address=name, region=region, failure_domain=domain
    )


class RouterTest(unittest.TestCase):
    def make_router(self, *endpoints):
        router = routing.Router(
            region="r1", failure_domain="a", generator=random.Random(7)
        )
        router.set_endpoints(now=0.0, endpoints=endpoints)
        return router

    def choose_many(self, router, *, now=1.0, count=400, **options):
        chosen = collections.Counter()
        for _ in range(count):
            endpoint = router.choose(now=now, rank=3, **options)
            chosen[endpoint.instance if endpoint else None] += 1
        return chosen

    def record_answer(
        self, router, name, *, now=1.0, in_flight=0, latency=0.01, **options
    ):
        fields = {"limit": 10, "threshold": routing.ADMITS_ALL, "draining": False}
        router.record_answer(
            now=now,
            instance=name,
            latency=latency,
            in_flight=in_flight,
            **{**fields, **options},
        )

    def test_near_instances_are_chosen_first(self):
        router = self.make_router(
            make_endpoint("near"),
            make_endpoint("region", domain="b"),
            make_endpoint("far", region="r2"),
        )
        self.assertEqual(set(self.choose_many(router, cross_region=True)), {"near"})

    def test_the_whole_region_is_used_when_the_near_instances_are_busy(self):
        router = self.make_router(
            make_endpoint("near"), make_endpoint("region", domain="b")
        )
        self.record_answer(router, "near", in_flight=10)
        self.assertIn("region", self.choose_many(router))

    def test_another_region_is_used_only_if_allowed(self):
        router = self.make_router(
            make_endpoint("near"), make_endpoint("far", region="r2")
        )
        self.record_answer(router, "near", draining=True)
        self.assertEqual(set(self.choose_many(router)), {None})
        self.assertEqual(set(self.choose_many(router, cross_region=True)), {"far"})

    def test_the_less_loaded_instance_gets_more_calls(self):
        router = self.make_router(make_endpoint("busy"), make_endpoint("idle"))
        self.record_answer(router, "busy", in_flight=9)
        chosen = self.choose_many(router)
        self.assertGreater(chosen["idle"], 2 * chosen["busy"])

    def test_an_instance_that_sheds_a_rank_is_only_probed(self):
        router = self.make_router(make_endpoint("one"), make_endpoint("two"))
        self.record_answer(router, "one", threshold=3)
        self.assertGreater(self.choose_many(router)["two"], 390)

    def test_ejection_never_empties_a_service(self):
        names = ["a", "b", "c", "d", "e", "f"]
        router = self.make_router(*(make_endpoint(name) for name in names))
        for name in names:
            for _ in range(routing.EJECTION_FAILURES):
                router.record_failure(now=1.0, instance=name)
        self.assertGreaterEqual(len(self.choose_many(router)), 4)

    def test_a_new_instance_starts_with_a_small_share(self):
        router = self.make_router(make_endpoint("old"))
        both = [make_endpoint("old"), make_endpoint("new")]
        router.set_endpoints(now=10.0, endpoints=both)
        early = self.choose_many(router, now=10.1)
        late = self.choose_many(router, now=20.0)
        self.assertLess(early["new"], 0.4 * late["new"])

import random
import unittest

from jackdawlanding.decisions import directory, selection
from jackdawlanding.mesh import messages

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def make_backend(instance, failure_domain, *, is_draining=False):
    return directory.Backend(
        instance=instance,
        service="desk",
        host=f"10.0.0.{instance[2:]}",
        port=80,
        failure_domain=failure_domain,
        slots=4,
        is_draining=is_draining,
    )


def make_load(running, queued=0, seconds=0.1):
    return messages.Load(running=running, queued=queued, limit=4, seconds=seconds)


class SelectorTest(unittest.TestCase):
    def setUp(self):
        self.backends = [
            make_backend("i-1", "a1"),
            make_backend("i-2", "a2"),
            make_backend("i-3", "b1"),
        ]
        self.one = selection.Selector(
            region="a",
            failure_domain="a1",
            regions=REGIONS,
            generator=random.Random(1),
        )

    def choose(self, *, remaining=1.0, exclude=(), now=1.0):
        chosen = self.one.choose(
            now=now,
            backends=self.backends,
            kind="k",
            remaining=remaining,
            exclude=exclude,
        )
        return chosen and chosen.instance

    def learn(self, instance, seconds):
        for _ in range(30):
            self.one.record_success(
                now=1.0, instance=instance, kind="k", seconds=seconds
            )

    def test_the_nearest_is_taken_while_it_is_good_enough(self):
        self.learn("i-1", 0.3)
        self.assertEqual(self.choose(), "i-1")

    def test_the_region_s_best_is_taken_when_the_nearest_is_slow(self):
        self.learn("i-1", 0.5)
        self.learn("i-2", 0.2)
        self.assertEqual(self.choose(), "i-2")

    def test_another_region_is_taken_only_when_the_own_is_too_slow(self):
        self.learn("i-1", 0.7)
        self.learn("i-2", 0.72)
        self.learn("i-3", 0.1)
        self.assertEqual(self.choose(), "i-1")
        self.learn("i-1", 0.9)
        self.learn("i-2", 0.9)
        self.assertEqual(self.choose(), "i-3")

    def choose_chained(self):
        return self.one.choose(
            now=1.0, backends=self.backends, kind="k", remaining=1.0, is_nested=True
        ).instance

    def test_a_chained_call_stays_near_while_it_need_not_wait(self):
        self.learn("i-1", 0.03)
        self.learn("i-2", 0.01)
        self.assertEqual(self.choose_chained(), "i-1")

    def test_a_chained_call_does_not_wait_where_others_are_faster(self):
        self.one.record_end(now=1.0, instance="i-1", load=make_load(4, 1))
        self.assertEqual(self.choose_chained(), "i-2")

    def test_a_queue_counts(self):
        self.one.record_end(now=1.0, instance="i-1", load=make_load(4, 20))
        self.assertEqual(self.choose(), "i-2")

    def test_failures_count(self):
        for _ in range(10):
            self.one.record_failure(now=1.0, instance="i-1")
        self.assertEqual(self.choose(), "i-2")
        later = 1.0 + selection.FAILURE_FORGET_SECONDS + 0.1
        self.assertEqual(self.choose(now=later), "i-1")

    def test_an_avoided_instance_is_the_last_resort(self):
        self.one.avoid(now=1.0, instance="i-1")
        self.assertEqual(self.choose(), "i-2")
        self.assertEqual(self.choose(exclude=("i-2", "i-3")), "i-1")

    def test_draining_and_tried_ones_are_never_chosen(self):
        self.backends[0] = make_backend("i-1", "a1", is_draining=True)
        self.assertEqual(self.choose(exclude=("i-2", "i-3")), None)


if __name__ == "__main__":
    unittest.main()

"""The nearest instance is chosen that is likely to answer in time."""

import random
import unittest

import hypothesis
from hypothesis import strategies

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
        self.selector = selection.Selector(
            region="a",
            failure_domain="a1",
            regions=REGIONS,
            generator=random.Random(1),
        )

    def choose(self, *, remaining=1.0, exclude=(), now=1.0):
        chosen = self.selector.choose(
            now=now,
            backends=self.backends,
            kind="k",
            remaining=remaining,
            exclude=exclude,
        )
        return chosen and chosen.instance

    def record_durations(self, instance, seconds):
        for _ in range(30):
            self.selector.record_success(
                now=1.0, instance=instance, kind="k", seconds=seconds
            )

    def test_a_kind_that_is_unknown_at_an_instance_lasts_as_long_as_the_others(self):
        load = make_load(1, 0, 0.4)
        self.selector.record_end(now=1.0, instance="i-1", load=load)
        self.selector.record_duration(now=1.0, instance="i-1", kind="look", seconds=2.0)
        for kind, seconds in (("look", 2.0), ("pay", 0.4)):
            duration = self.selector.get_duration(instance="i-1", kind=kind)
            self.assertEqual(duration, seconds)

    def test_the_nearest_instance_is_chosen_while_it_is_fast_enough(self):
        self.record_durations("i-1", 0.3)
        self.assertEqual(self.choose(), "i-1")

    def test_the_best_of_the_region_is_chosen_when_the_nearest_is_slow(self):
        self.record_durations("i-1", 0.5)
        self.record_durations("i-2", 0.2)
        self.assertEqual(self.choose(), "i-2")

    def test_another_region_is_chosen_only_when_the_local_one_is_too_slow(self):
        self.record_durations("i-1", 0.7)
        self.record_durations("i-2", 0.72)
        self.record_durations("i-3", 0.1)
        self.assertEqual(self.choose(), "i-1")
        self.record_durations("i-1", 0.9)
        self.record_durations("i-2", 0.9)
        self.assertEqual(self.choose(), "i-3")

    def choose_nested(self):
        return self.selector.choose(
            now=1.0, backends=self.backends, kind="k", remaining=1.0, is_nested=True
        ).instance

    def test_a_nested_call_stays_near_while_it_need_not_wait(self):
        self.record_durations("i-1", 0.03)
        self.record_durations("i-2", 0.01)
        self.assertEqual(self.choose_nested(), "i-1")

    def test_a_nested_call_goes_elsewhere_rather_than_wait(self):
        self.selector.record_end(now=1.0, instance="i-1", load=make_load(4, 1))
        self.assertEqual(self.choose_nested(), "i-2")

    def test_queued_requests_make_an_instance_less_preferred(self):
        self.selector.record_end(now=1.0, instance="i-1", load=make_load(4, 20))
        self.assertEqual(self.choose(), "i-2")

    def test_an_instance_that_starts_few_requests_is_less_preferred_for_a_while(self):
        load = make_load(0, seconds=8.0)
        self.selector.record_end(now=1.0, instance="i-1", load=load)
        for seconds, expected in ((0.9, "i-1"), (1.1, "i-2"), (4.0, "i-2")):
            with self.subTest(seconds=seconds):
                self.assertEqual(self.choose(now=1.0 + seconds), expected)
        later = 1.0 + 6 * selection.RATE_SECONDS
        self.assertEqual(self.choose(now=later), "i-1")

    def test_failures_make_an_instance_less_preferred(self):
        for _ in range(10):
            self.selector.record_failure(now=1.0, instance="i-1")
        self.assertEqual(self.choose(), "i-2")
        later = 1.0 + selection.FAILURE_FORGET_SECONDS + 0.1
        self.assertEqual(self.choose(now=later), "i-1")

    def test_an_avoided_instance_is_the_last_resort(self):
        self.selector.avoid(now=1.0, instance="i-1")
        self.assertEqual(self.choose(), "i-2")
        self.assertEqual(self.choose(exclude=("i-2", "i-3")), "i-1")

    def test_draining_and_tried_instances_are_never_chosen(self):
        self.backends[0] = make_backend("i-1", "a1", is_draining=True)
        self.assertEqual(self.choose(exclude=("i-2", "i-3")), None)


LOADS = strategies.tuples(
    strategies.integers(0, 30),  # running
    strategies.integers(0, 10),  # queued
    strategies.sampled_from([0.01, 0.1, 0.4]),  # mean seconds
    strategies.sampled_from([None, 0.02, 0.2, 0.9]),  # duration of an answer
    strategies.booleans(),  # whether it failed
    strategies.booleans(),  # whether it is avoided
    strategies.booleans(),  # whether it is draining
)


class AllInstancesTest(unittest.TestCase):
    """A choice that looks at near instances first is the best of all instances."""

    @hypothesis.settings(max_examples=300, derandomize=True)
    @hypothesis.given(
        loads=strategies.lists(LOADS, min_size=1, max_size=9),
        remaining=strategies.sampled_from([0.05, 0.3, 2.0]),
        is_nested=strategies.booleans(),
        excluded=strategies.integers(0, 9),
    )
    def test_no_other_instance_is_better(self, loads, remaining, is_nested, excluded):
        selector = selection.Selector(
            region="a", failure_domain="a1", regions=REGIONS, generator=random.Random(1)
        )
        backends = []
        domains = sorted(REGIONS)
        for number, load in enumerate(loads):
            running, queued, seconds, duration, failed, avoided, draining = load
            backend = make_backend(
                f"i-{number}", domains[number % 3], is_draining=draining
            )
            backends.append(backend)
            name = backend.instance
            selector.record_sent(name)
            if duration is not None:
                selector.record_success(
                    now=0.0, instance=name, kind="r", seconds=duration
                )
            if failed:
                selector.record_failure(now=0.0, instance=name)
            if avoided:
                selector.avoid(now=0.0, instance=name)
            selector.record_end(
                now=0.0, instance=name, load=make_load(running, queued, seconds)
            )
        backends = tuple(backends)
        exclude = {f"i-{excluded}"}

        def make_key(backend):
            return selector._make_sort_key(
                0.1,
                backend,
                "r",
                None if is_nested else remaining,
                selector.get_tier(backend.failure_domain),
            )[:3]

        chosen = selector.choose(
            now=0.1,
            backends=backends,
            kind="r",
            remaining=remaining,
            is_nested=is_nested,
            exclude=exclude,
        )
        keys = [
            make_key(backend)
            for backend in backends
            if not backend.is_draining and backend.instance not in exclude
        ]
        if chosen is None:
            self.assertEqual(keys, [])
        else:
            self.assertEqual(make_key(chosen), min(keys))


if __name__ == "__main__":
    unittest.main()

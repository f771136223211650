import random
import types
import unittest

from jackdawlanding.mesh import metrics, retries


def make_settings(*, slack=2):
    return types.SimpleNamespace(retry_ratio=0.2, retry_window=10.0, retry_slack=slack)


def make_exchange(*, is_safe=True, arrivals=1, attempts=2, parent=None, at=0.0):
    return types.SimpleNamespace(
        service="bank",
        started=at,
        parent=parent,
        retry_probability=0.0,
        arrivals=arrivals,
        route=types.SimpleNamespace(name="r", is_safe=is_safe, attempts=attempts),
    )


class ResendsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = metrics.Metrics()
        self.resends = retries.RetryPolicy(
            settings=make_settings(slack=4),
            metrics=self.metrics,
            generator=random.Random(1),
        )

    def test_only_safe_requests_that_may_have_run_are_repeated(self):
        self.assertTrue(self.resends.is_allowed(make_exchange()))
        self.assertFalse(self.resends.is_allowed(make_exchange(is_safe=False)))

    def test_the_route_bounds_attempts(self):
        self.assertFalse(self.resends.spend(make_exchange(arrivals=2, attempts=2)))
        self.assertEqual(self.metrics.get("entry_budget_spent"), 0)

    def test_the_budget_of_a_service_runs_out(self):
        spent = sum(self.resends.spend(make_exchange()) for _ in range(20))
        self.assertLess(spent, 5)
        self.assertEqual(self.metrics.get("entry_budget_spent"), 20 - spent)

    def test_calls_of_a_repeat_are_repeats_and_paid_for(self):
        before = self.resends.get_tokens("bank")
        parent = types.SimpleNamespace(
            call=types.SimpleNamespace(retry_probability=1.0)
        )
        exchange = make_exchange(parent=parent)
        self.resends.begin(exchange)
        self.assertEqual(exchange.retry_probability, 1.0)
        self.assertLess(self.resends.get_tokens("bank"), before)

    def test_more_daemons_leave_less_to_each(self):
        self.resends.begin(make_exchange())
        self.resends.set_daemons(100)
        for number in range(20):
            self.resends.begin(make_exchange(at=number * 60.0))
        self.assertLess(self.resends.get_tokens("bank"), 1.0)

    def test_kinds_whose_repeats_fail_are_left(self):
        exchange = make_exchange()
        for _ in range(50):
            self.resends.record_end(exchange, is_success=False)
        allowed = sum(self.resends.is_allowed(exchange) for _ in range(200))
        self.assertLess(allowed, 50)


if __name__ == "__main__":
    unittest.main()

"""Which requests may be retried, and the budget that limits retries."""

import random
import types
import unittest

from jackdawlanding.mesh import metrics, retries


def make_settings(*, slack=2):
    return types.SimpleNamespace(retry_ratio=0.2, retry_window=10.0, retry_slack=slack)


def make_exchange(*, is_safe=True, arrivals=1, attempts=2, parent=None, at=0.0):
    return types.SimpleNamespace(
        service="bank",
        started_at=at,
        parent=parent,
        retry_probability=0.0,
        arrivals=arrivals,
        route=types.SimpleNamespace(name="r", is_safe=is_safe, attempts=attempts),
    )


class RetryPolicyTest(unittest.TestCase):
    def setUp(self):
        self.metrics = metrics.Metrics()
        self.policy = retries.RetryPolicy(
            settings=make_settings(slack=4),
            metrics=self.metrics,
            generator=random.Random(1),
        )

    def test_a_request_that_may_have_run_is_retried_only_if_safe(self):
        self.assertTrue(self.policy.may_retry(make_exchange()))
        self.assertFalse(self.policy.may_retry(make_exchange(is_safe=False)))

    def test_the_route_limits_attempts(self):
        self.assertFalse(self.policy.spend(make_exchange(arrivals=2, attempts=2)))
        self.assertEqual(self.metrics.get("entry_budget_spent"), 0)

    def test_the_budget_of_a_service_limits_retries(self):
        spent = sum(self.policy.spend(make_exchange()) for _ in range(20))
        self.assertLess(spent, 5)
        self.assertEqual(self.metrics.get("entry_budget_spent"), 20 - spent)

    def test_nested_calls_of_a_retry_are_charged_as_retries(self):
        before = self.policy.get_tokens("bank")
        parent = types.SimpleNamespace(
            call=types.SimpleNamespace(retry_probability=1.0)
        )
        exchange = make_exchange(parent=parent)
        self.policy.record_first_try(exchange)
        self.assertEqual(exchange.retry_probability, 1.0)
        self.assertLess(self.policy.get_tokens("bank"), before)

    def test_the_slack_is_shared_among_daemons(self):
        self.policy.record_first_try(make_exchange())
        self.policy.set_daemon_count(100)
        for number in range(20):
            self.policy.record_first_try(make_exchange(at=number * 60.0))
        self.assertLess(self.policy.get_tokens("bank"), 1.0)

    def test_a_route_whose_retries_fail_is_rarely_retried(self):
        exchange = make_exchange()
        for _ in range(50):
            self.policy.record_result(exchange, is_success=False)
        allowed = sum(self.policy.may_retry(exchange) for _ in range(200))
        self.assertLess(allowed, 50)


if __name__ == "__main__":
    unittest.main()

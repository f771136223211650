"""Whether a request that reached a backend server may be retried at another one."""

from jackdawlanding.decisions import budgets


class RetryPolicy:
    """Bounds retries by route, by their success rate and by a budget for each service.

    :param settings: a ``MeshSettings``.
    :param metrics: a ``metrics.Metrics``.
    :param generator: a ``random.Random``.
    """

    def __init__(self, *, settings, metrics, generator):
        self._settings = settings
        self._metrics = metrics
        self._random = generator
        self._effectiveness = budgets.RetryEffectiveness(generator=generator)
        self._budgets = {}
        self._daemon_count = 1

    def record_first_try(self, exchange):
        """Record a first try; charge the budget if a retried request made it."""
        budget = self._get_budget(exchange.service)
        budget.record_first_try(now=exchange.started_at)
        if exchange.parent is not None:
            # The nested calls of a retried request count as retries too.
            exchange.retry_probability = exchange.parent.call.retry_probability
            budget.charge(exchange.retry_probability)

    def may_retry(self, exchange):
        """Return whether a request that may have run may be retried on its route."""
        route = exchange.route
        return route.is_safe and self._effectiveness.should_retry(route.name)

    def spend(self, exchange):
        """Spend budget on one more attempt; return whether the budgets allow it."""
        if exchange.arrivals >= exchange.route.attempts:
            return False
        if self._get_budget(exchange.service).spend():
            return True
        self._metrics.count("entry_budget_spent")
        return False

    def charge(self, exchange, amount):
        """Charge the budget for arrivals beyond the first at one backend server."""
        self._get_budget(exchange.service).charge(amount)

    def record_result(self, exchange, *, is_success):
        """Record whether a retry succeeded."""
        self._effectiveness.record(exchange.route.name, is_success=is_success)

    def get_tokens(self, service):
        """Return the retry tokens that are left for a service."""
        return self._get_budget(service).tokens

    def set_daemon_count(self, count):
        """Share the slack among ``count`` daemons, this one included."""
        self._daemon_count = count
        for budget in self._budgets.values():
            budget.daemon_count = count

    def _get_budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.WindowBudget(
                ratio=self._settings.retry_ratio,
                window=self._settings.retry_window,
                slack=self._settings.retry_slack,
                daemon_count=self._daemon_count,
                generator=self._random,
            )
        return budget

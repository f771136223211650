"""Whether a request that reached a backend server may be sent to another one."""

from jackdawlanding.decisions import budgets


class RetryPolicy:
    """Bounds repeats by the route, by their use, and by the budget of a service.

    :param settings: a ``MeshSettings``.
    :param metrics: a ``metrics.Metrics``.
    :param generator: a ``random.Random``.
    """

    def __init__(self, *, settings, metrics, generator):
        self._settings = settings
        self._metrics = metrics
        self._random = generator
        self._worth = budgets.RetryEffectiveness(generator=generator)
        self._budgets = {}
        self._daemons = 1

    def begin(self, exchange):
        """Count a first try, and what a repeat further up causes here."""
        budget = self._get_budget(exchange.service)
        budget.record_first_try(now=exchange.started)
        if exchange.parent is not None:
            # The calls of a run that is itself a repeat are repeats too.
            exchange.retry_probability = exchange.parent.call.retry_probability
            budget.charge(exchange.retry_probability)

    def is_allowed(self, exchange):
        """Return whether the route lets a request that may have run be repeated."""
        route = exchange.route
        return route.is_safe and self._worth.should_retry(route.name)

    def spend(self, exchange):
        """Pay for one more arrival; return whether the budgets allow it."""
        if exchange.arrivals >= exchange.route.attempts:
            return False
        if self._get_budget(exchange.service).spend():
            return True
        self._metrics.count("entry_budget_spent")
        return False

    def record_end(self, exchange, *, is_success):
        """Learn from the answer to a repeat."""
        self._worth.record(exchange.route.name, is_success=is_success)

    def get_tokens(self, service):
        """Return the repeat tokens that are left for a service."""
        return self._get_budget(service).tokens

    def set_daemons(self, count):
        """Share the slack with so many daemons, this one included."""
        self._daemons = count
        for budget in self._budgets.values():
            budget.daemon_count = count

    def _get_budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.WindowBudget(
                ratio=self._settings.retry_ratio,
                window=self._settings.retry_window,
                slack=self._settings.retry_slack,
                daemon_count=self._daemons,
                generator=self._random,
            )
        return budget

"""Exact shares of a route's requests among its services."""


class Splitter:
    """Spreads the requests of each route by smooth weighted round robin.

    The shares hold over any run of requests, not only on average.

    :param generator: a ``random.Random``; each daemon starts at another place.
    """

    def __init__(self, *, generator):
        self._random = generator
        self._credits = {}

    def choose(self, route):
        """Return the service of the route's next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credits = self._credits.get(route.name)
        if credits is None or credits.keys() != {one.service for one in route.shares}:
            credits = self._start(route)
        total = sum(one.weight for one in route.shares)
        for one in route.shares:
            credits[one.service] += one.weight / total
        service = max(credits, key=credits.get)
        credits[service] -= 1.0
        return service

    def _start(self, route):
        credits = {one.service: self._random.random() for one in route.shares}
        self._credits[route.name] = credits
        return credits

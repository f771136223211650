"""Splits the requests of a route among its services in exact shares."""


class Splitter:
    """Chooses services by smooth weighted round robin, separately for each route.

    The shares hold over any run of requests, not only on average.

    :param generator: a ``random.Random``, by which each daemon starts at another
        point of the cycle.
    """

    def __init__(self, *, generator):
        self._random = generator
        self._credits = {}

    def choose(self, route):
        """Return the name of the service for the route's next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credits = self._credits.get(route.name)
        if credits is None or credits.keys() != {
            share.service for share in route.shares
        }:
            credits = self._start(route)
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            credits[share.service] += share.weight / total
        service = max(credits, key=credits.get)
        credits[service] -= 1.0
        return service

    def _start(self, route):
        credits = {share.service: self._random.random() for share in route.shares}
        self._credits[route.name] = credits
        return credits

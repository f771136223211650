"""Routes and their configuration: which service answers a request, and how."""

import typing


class Share(typing.NamedTuple):
    """A part of a route's requests: its service and its weight, above 0."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """How the requests of one host below one prefix are served.

    ``timeout`` and ``objective`` are seconds. ``attempts`` bounds the backend
    servers that one request may reach. Rank 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    is_safe: bool
    timeout: float
    objective: float
    rank: int
    attempts: int
    shares: tuple[Share, ...]


class Limits(typing.NamedTuple):
    """Bounds on what callers send: bytes, and seconds to arrive or stay idle."""

    head_bytes: int = 16384
    body_bytes: int = 64 << 20
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


class Configuration(typing.NamedTuple):
    """One version of all routes, services (by name) and limits.

    ``services`` maps a name to the most connections that it accepts.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict
    limits: Limits = Limits()


class RouteTable:
    """Finds the route of a request: the longest prefix of its host.

    :param configuration: a :class:`Configuration`.
    """

    def __init__(self, *, configuration):
        self.configuration = configuration
        self._routes = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda one: len(one.prefix), reverse=True)

    def find(self, *, host, target):
        """Return the route of ``host`` (a Host header) and ``target``, or ``None``."""
        path = target.partition("?")[0]
        for route in self._routes.get(normalize_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def normalize_host(text):
    """Return a Host header's name, without its port, in lower case."""
    return text.strip().partition(":")[0].lower()

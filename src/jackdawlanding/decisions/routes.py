"""Routes: which service answers a request, and within which bounds."""

import typing


class Share(typing.NamedTuple):
    """A service that answers part of a route's requests; its weight is above 0."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """How requests to one host, with paths that start with one prefix, are served.

    ``is_safe`` says that a request may be retried although it may have run.
    ``timeout`` and ``objective``, a target for the latency, are in seconds.
    ``attempts`` is the most backend servers that one request may reach. Rank 0 is
    the most urgent.
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
    """Bounds on the requests and connections of callers.

    Sizes are in bytes. ``head_seconds`` is how long a request's head may take to
    arrive, ``idle_seconds`` how long a connection may stay idle.
    """

    head_bytes: int = 16384
    body_bytes: int = 64 << 20
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


class Service(typing.NamedTuple):
    """What the operator says of a service.

    ``connections`` is the most connections that each backend server accepts, and
    ``health_path`` the target of its health checks, ``""`` if there is none.
    """

    connections: int = 0
    health_path: str = ""


class Configuration(typing.NamedTuple):
    """One version of all routes, services and limits.

    ``services`` maps the name of a service to its :class:`Service`.
    ``warnings`` says in which ways the operator's document was not understood.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict
    limits: Limits = Limits()
    warnings: tuple[str, ...] = ()

    def list_services(self):
        """Return the names of all services, those that only a route names included."""
        return frozenset(self.services).union(
            share.service for route in self.routes for share in route.shares
        )


class RouteTable:
    """Finds a request's route: the one of its host with the longest matching prefix.

    :param configuration: a :class:`Configuration`.
    """

    def __init__(self, *, configuration):
        self.configuration = configuration
        self._routes = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, *, host, target):
        """Return the :class:`Route` of a request, or ``None``.

        :param host: the value of its Host header.
        :param target: its request target; the query is ignored.
        """
        path = target.partition("?")[0]
        for route in self._routes.get(normalize_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def normalize_host(text):
    """Return the name in a Host header: without the port, in lower case."""
    return text.strip().partition(":")[0].lower()

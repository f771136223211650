"""Where a request goes: its route, its service, and the time that it has."""

from jackdawlanding.decisions import splits
from jackdawlanding.mesh import responses
from jackdawlanding.platform import headers
from jackdawlanding.wire import http

# What is known is too old to tell a caller that a route does not exist: a
# configuration must be in force within seconds.
STALE_SECONDS = 3.0


class RouteResolver:
    """Finds routes in the configuration in force.

    :param fleet_state: a ``gossip.FleetState``.
    :param generator: a ``random.Random``, for splits.
    """

    def __init__(self, *, fleet_state, generator):
        self._fleet_state = fleet_state
        self._splitter = splits.Splitter(generator=generator)

    def resolve(self, exchange):
        """Fill in where a request goes; return a response where it can't."""
        fleet_state = self._fleet_state
        if not fleet_state.is_ready:
            return responses.make_refusal("the daemon knows no configuration yet")
        request = exchange.request
        route = fleet_state.route_table.find(
            host=request.get_header_text(b"host"), target=request.target
        )
        if route is None:
            if fleet_state.get_age(exchange.started) > STALE_SECONDS:
                return responses.make_refusal("the configuration may be out of date")
            return http.make_text_response(404, "no route matches")
        exchange.route = route
        exchange.service = self._splitter.choose(route)
        left = _parse_millis(request.get_header(headers.DEADLINE.lower()))
        limit = min(route.timeout, left) if left is not None else route.timeout
        exchange.deadline = exchange.started + limit
        exchange.objective = exchange.started + min(route.objective, limit)
        return None


def _parse_millis(value):
    try:
        return max(0.0, float(value) / 1000.0)
    except ValueError:
        return None

"""Resolution of a request to its route, service and deadline."""

from jackdawlanding.decisions import splits
from jackdawlanding.mesh import responses
from jackdawlanding.platform import headers
from jackdawlanding.wire import http

# A fleet state that is older than this may lack a new route, so that a request without
# a route gets a 503 in place of a 404: a new configuration takes effect within seconds.
STALE_SECONDS = 3.0


class RouteResolver:
    """Resolves requests by the active configuration.

    :param fleet_state: a ``gossip.FleetState``.
    :param generator: a ``random.Random``, for traffic splits.
    """

    def __init__(self, *, fleet_state, generator):
        self._fleet_state = fleet_state
        self._splitter = splits.Splitter(generator=generator)

    def is_safe(self, request):
        """Return whether a request has a route and may run more than once."""
        route = self._find_route(request)
        return route is not None and route.is_safe

    def resolve(self, exchange):
        """Set an exchange's route, service, deadline and objective.

        Return ``None``, or the response to a request that can't be resolved.
        """
        fleet_state = self._fleet_state
        if not fleet_state.is_ready:
            return responses.make_refusal("the daemon knows no configuration yet")
        request = exchange.request
        route = self._find_route(request)
        if route is None:
            if fleet_state.get_age(exchange.started_at) > STALE_SECONDS:
                return responses.make_refusal("the configuration may be out of date")
            return http.make_text_response(404, "no route matches")
        exchange.route = route
        exchange.service = self._splitter.choose(route)
        requested = _parse_milliseconds(request.get_header(headers.DEADLINE.lower()))
        limit = (
            min(route.timeout, requested) if requested is not None else route.timeout
        )
        exchange.deadline = exchange.started_at + limit
        exchange.objective = exchange.started_at + min(route.objective, limit)
        return None

    def _find_route(self, request):
        if not self._fleet_state.is_ready:
            return None
        return self._fleet_state.route_table.find(
            host=request.get_header_text(b"host"), target=request.target
        )


def _parse_milliseconds(value):
    """Return a header's milliseconds as seconds, ``None`` if it is not a number."""
    try:
        return max(0.0, float(value) / 1000.0)
    except ValueError:
        return None

"""A request gets its service and its deadline from its route."""

import json
import random
import time
import types
import unittest

from jackdawlanding.decisions import routes
from jackdawlanding.mesh import resolver
from jackdawlanding.platform import documents
from jackdawlanding.wire import http
from tests import configurations


def make_fleet_state(*, is_ready=True, age=0.5):
    document = configurations.make(
        1,
        configurations.make_route("look", service="desk", timeout=800),
        services=("desk",),
    )
    configuration = documents.decode_configuration(json.dumps(document).encode())
    return types.SimpleNamespace(
        is_ready=is_ready,
        route_table=routes.RouteTable(configuration=configuration),
        get_age=lambda now: age,
    )


def make_exchange(target="/look/1", *, deadline=b"2000"):
    request = http.Request(
        method="GET",
        target=target,
        headers=((b"Host", b"look.example"), (b"X-Deadline-Ms", deadline)),
        body=b"",
        has_body=False,
        keep_alive=True,
    )
    return types.SimpleNamespace(request=request, started_at=time.monotonic())


class RouteResolverTest(unittest.TestCase):
    def resolve(self, exchange, **fields):
        route_resolver = resolver.RouteResolver(
            fleet_state=make_fleet_state(**fields), generator=random.Random(1)
        )
        return route_resolver.resolve(exchange)

    def test_a_route_sets_service_and_deadline(self):
        exchange = make_exchange()
        self.assertIsNone(self.resolve(exchange))
        self.assertEqual(exchange.service, "desk")
        self.assertAlmostEqual(exchange.deadline - exchange.started_at, 0.8)

    def test_a_shorter_deadline_of_the_caller_is_used(self):
        exchange = make_exchange(deadline=b"300")
        self.resolve(exchange)
        self.assertAlmostEqual(exchange.deadline - exchange.started_at, 0.3)
        self.assertAlmostEqual(exchange.objective - exchange.started_at, 0.3)

    def test_a_deadline_that_is_no_number_is_ignored(self):
        for deadline in (b"soon", b""):
            exchange = make_exchange(deadline=deadline)
            self.resolve(exchange)
            self.assertAlmostEqual(exchange.deadline - exchange.started_at, 0.8)

    def test_a_missing_route_is_a_404_unless_the_state_is_stale(self):
        """A stale configuration may lack a route that exists by now."""
        self.assertEqual(self.resolve(make_exchange("/other/1")).status, 404)
        stale = resolver.STALE_SECONDS + 1
        self.assertEqual(self.resolve(make_exchange("/other/1"), age=stale).status, 503)

    def test_without_a_configuration_the_refusal_has_retry_after(self):
        response = self.resolve(make_exchange(), is_ready=False)
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.get_header(b"retry-after")), 0)


if __name__ == "__main__":
    unittest.main()

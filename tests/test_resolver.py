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
    return types.SimpleNamespace(request=request, started=time.monotonic())


class DestinationsTest(unittest.TestCase):
    def resolve(self, exchange, **fields):
        one = resolver.RouteResolver(
            fleet_state=make_fleet_state(**fields), generator=random.Random(1)
        )
        return one.resolve(exchange)

    def test_a_route_gives_service_and_time(self):
        exchange = make_exchange()
        self.assertIsNone(self.resolve(exchange))
        self.assertEqual(exchange.service, "desk")
        self.assertAlmostEqual(exchange.deadline - exchange.started, 0.8)

    def test_the_caller_s_time_goes_before_the_route_s(self):
        exchange = make_exchange(deadline=b"300")
        self.resolve(exchange)
        self.assertAlmostEqual(exchange.deadline - exchange.started, 0.3)
        self.assertAlmostEqual(exchange.objective - exchange.started, 0.3)

    def test_a_time_that_is_no_number_counts_as_none(self):
        for deadline in (b"soon", b""):
            exchange = make_exchange(deadline=deadline)
            self.resolve(exchange)
            self.assertAlmostEqual(exchange.deadline - exchange.started, 0.8)

    def test_a_missing_route_is_told_only_by_what_is_fresh(self):
        self.assertEqual(self.resolve(make_exchange("/other/1")).status, 404)
        stale = resolver.STALE_SECONDS + 1
        self.assertEqual(self.resolve(make_exchange("/other/1"), age=stale).status, 503)

    def test_nothing_known_is_a_refusal_with_a_time_to_return(self):
        response = self.resolve(make_exchange(), is_ready=False)
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.get_header(b"retry-after")), 0)


if __name__ == "__main__":
    unittest.main()

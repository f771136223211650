"""A request takes the route of its host with the longest matching prefix."""

import unittest

from jackdawlanding.decisions import routes


def make_table(*pairs):
    made_routes = tuple(
        routes.Route(
            name=f"{host}{prefix}",
            host=host,
            prefix=prefix,
            is_safe=True,
            timeout=1.0,
            objective=1.0,
            rank=0,
            attempts=1,
            shares=(routes.Share(service="desk", weight=1.0),),
        )
        for host, prefix in pairs
    )
    configuration = routes.Configuration(version=1, routes=made_routes, services={})
    return routes.RouteTable(configuration=configuration)


class RouteTableTest(unittest.TestCase):
    def setUp(self):
        self.table = make_table(
            ("a.example", "/"),
            ("a.example", "/x/"),
            ("a.example", "/x/y/"),
            ("b", "/x/"),
        )

    def find(self, host, target):
        route = self.table.find(host=host, target=target)
        return route and route.name

    def test_the_longest_prefix_wins(self):
        self.assertEqual(self.find("a.example", "/x/y/1"), "a.example/x/y/")
        self.assertEqual(self.find("a.example", "/x/z"), "a.example/x/")
        self.assertEqual(self.find("a.example", "/xy"), "a.example/")

    def test_hosts_are_compared_without_case_and_port(self):
        self.assertEqual(self.find("A.Example:80", "/x/1"), "a.example/x/")
        self.assertEqual(self.find("b", "/x/1"), "b/x/")
        self.assertIsNone(self.find("b", "/y/1"))
        self.assertIsNone(self.find("c", "/x/1"))

    def test_the_query_is_ignored(self):
        self.assertIsNone(self.find("b", "/y?z=/x/"))
        self.assertEqual(self.find("b", "/x/?q=1"), "b/x/")


if __name__ == "__main__":
    unittest.main()

"""Entries of another writer in the store: the daemons follow it all the same."""

import time
from unittest import mock

from jackdawlanding.platform import documents
from tests import configurations, meshes, oddentries

# What the platform's rules give all daemons to obey the store.
FOLLOW_SECONDS = 2.5


class OddEntryTest(meshes.FleetCase):
    def publish(self, mesh, version):
        route = configurations.make_route("look", service="bank")
        document = configurations.make(version, route, services=("desk", "bank"))
        mesh.store.put("op/config", document)

    def wait_for(self, mesh, version, *, is_draining):
        """Wait until all daemons know a configuration and whether i-1 drains."""

        def follows(member):
            fleet_state = member.daemon.fleet_state
            return (
                fleet_state.configuration_version == version
                and fleet_state.directory.get("i-1").is_draining == is_draining
            )

        meshes.wait_until(
            lambda: all(map(follows, mesh.members)), seconds=FOLLOW_SECONDS
        )

    def test_an_entry_with_a_number_too_large_stops_no_daemon_from_following(self):
        with self.make() as mesh:
            near = mesh.members[1]
            good = near.backend_server.make_entry(host=near.host)
            odd = {**good, "address": "127.0.9.1:80", "warmupRemainingMs": 10**400}
            mesh.store.put("servers/odd", odd)
            time.sleep(0.5)
            self.publish(mesh, 2)
            mesh.store.put("servers/i-1", {**good, "state": "draining"})
            self.wait_for(mesh, 2, is_draining=True)

    def test_a_removal_behind_an_odd_entry_is_not_held(self):
        """Reads without a confirmation for over 3 s passed for the store's outage."""
        with self.make() as mesh:
            good = mesh.members[1].backend_server.make_entry(host="127.0.9.1")
            mesh.store.put("servers/odd", {**good, "warmupRemainingMs": 10**400})
            time.sleep(3.5)
            mesh.store.put("servers/i-1", None)
            meshes.wait_until(
                lambda: (
                    not any(
                        "i-1" in member.daemon.fleet_state.directory
                        for member in mesh.members
                    )
                ),
                seconds=FOLLOW_SECONDS,
            )

    def test_odd_entries_of_any_kind_hold_up_nothing_and_the_others_hold(self):
        with self.make() as mesh:
            desk, near = mesh.members[:2]
            good = near.backend_server.make_entry(host=near.host)
            for number, (_, data) in enumerate(oddentries.list_odd_entries(good)):
                mesh.store.put(f"servers/odd-{number}", data)
            for key in oddentries.ODD_KEYS:
                mesh.store.put(key, good)
            self.publish(mesh, 2)
            mesh.store.put("servers/i-1", {**good, "state": "draining"})
            self.wait_for(mesh, 2, is_draining=True)
            mesh.store.put("servers/i-1", good)
            self.wait_for(mesh, 2, is_draining=False)
            for member in mesh.members:
                known = member.daemon.fleet_state.directory
                self.assertEqual(
                    sorted(known.list_instances()), ["i-0", "i-1", "i-2", "i-3"]
                )
            for _ in range(10):
                self.assertEqual(desk.call("/look/1")[0], 200)

    def test_an_order_keeps_its_body_beside_an_entry_with_a_line_feed_in_its_key(self):
        """The line feed ended the head of the order, which ran with an empty body."""
        with self.make() as mesh:
            desk, near = mesh.members[:2]
            good = near.backend_server.make_entry(host=near.host)
            mesh.store.put("servers/i-1\n", {**good, "sequence": "1"})
            self.publish(mesh, 2)
            self.wait_for(mesh, 2, is_draining=False)
            body = b'{"award": 17}'
            for _ in range(20):
                desk.call("/look/1", method="POST", body=body)
            bodies = {
                run[-1] for member in mesh.members for run in member.backend_server.seen
            }
            self.assertEqual(bodies, {body})

    def test_an_item_that_fails_unexpectedly_holds_up_no_other(self):
        decode = documents.decode_backend

        def fail(key, data):
            if key == "servers/odd":
                raise ZeroDivisionError(key)
            return decode(key, data)

        with (
            mock.patch.object(documents, "decode_backend", fail),
            self.make() as mesh,
        ):
            good = mesh.members[1].backend_server.make_entry(host="127.0.1.2")
            mesh.store.put("servers/odd", good)
            self.publish(mesh, 2)
            mesh.store.put("servers/i-1", {**good, "state": "draining"})
            self.wait_for(mesh, 2, is_draining=True)
            self.assertTrue(
                any(
                    member.daemon.metrics.get("store_items_failed")
                    for member in mesh.members
                )
            )

    def test_a_configuration_with_a_number_too_large_leaves_the_last_in_force(self):
        with self.make() as mesh:
            self.publish(mesh, 2)
            good = mesh.members[1].backend_server.make_entry(host="127.0.1.2")
            route = configurations.make_route("look", service="bank", priority=10**400)
            for value in (10**400, float("inf")):
                route["spec"]["targetLatencyMs"] = value
                route["spec"]["priority"] = value
                document = configurations.make(9, route, services=("bank",))
                mesh.store.put("op/config", document)
            mesh.store.put("servers/i-1", {**good, "state": "draining"})
            self.wait_for(mesh, 2, is_draining=True)

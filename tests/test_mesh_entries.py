"""Entries of another writer in the store: the daemons follow it all the same."""

import time

from tests import configurations, meshes

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

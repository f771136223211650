"""A store that comes back from a copy, and real daemons."""

import unittest

from tests import configurations, meshes

APPLY_SECONDS = 2.5


class StoreRestoreTest(meshes.FleetCase):
    def restore(self, mesh, *, lost):
        """Restore the store from a copy that lacks some changes."""
        self.wait_complete(mesh)
        copy = mesh.store.copy()
        for _ in range(lost):
            mesh.store.put("op/notes", {})
        self.wait_complete(mesh)
        mesh.store.restore(copy)

    def wait_complete(self, mesh):
        expected = mesh.store.full_revision
        meshes.wait_until(
            lambda: all(
                member.daemon.fleet_state.directory.complete_revision == expected
                for member in mesh.members
            )
        )

    def test_a_leave_after_a_restore_is_followed_by_all_daemons(self):
        """Requests reached the server until the store's numbers passed the old ones."""
        with self.make() as mesh:
            desk, near = mesh.members[:2]
            self.restore(mesh, lost=20)
            entry = near.backend_server.make_entry(host=near.host, state="draining")
            mesh.store.put("servers/i-1", entry)
            meshes.wait_until(
                lambda: all(
                    member.daemon.fleet_state.directory.get("i-1").is_draining
                    for member in mesh.members
                ),
                seconds=APPLY_SECONDS,
            )
            for _ in range(10):
                self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            self.assertEqual(near.backend_server.runs, [])
            self.wait_complete(mesh)

    def test_a_route_added_after_a_restore_is_served(self):
        with self.make() as mesh:
            self.restore(mesh, lost=5)
            routes = [
                configurations.make_route(name, service="bank")
                for name in ("look", "new")
            ]
            document = configurations.make(2, *routes, services=("bank", "desk"))
            mesh.store.put("op/config", document)
            for _ in range(10):
                mesh.store.put("op/notes", {})
            meshes.wait_until(
                lambda: all(
                    member.daemon.fleet_state.configuration_version == 2
                    for member in mesh.members
                ),
                seconds=APPLY_SECONDS,
            )
            for member in mesh.members:
                self.assertEqual(member.call("/new/1")[0], 200)


if __name__ == "__main__":
    unittest.main()

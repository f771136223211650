"""How changes in the store reach the daemons, directly or through peers."""

import time
import unittest

from tests import callers, configurations, meshes


class StateUpdateTest(meshes.FleetCase):
    """Changes in the store, and a failing store."""

    def test_a_draining_instance_gets_no_new_requests(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            entry = near.backend_server.make_entry(host=near.host, state="draining")
            mesh.store.put("servers/i-1", entry)
            meshes.wait_until(
                lambda: all(
                    member.daemon.fleet_state.directory.get("i-1").is_draining
                    for member in mesh.members
                ),
                seconds=2.5,
            )
            for _ in range(10):
                self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            self.assertEqual(near.backend_server.runs, [])

    def test_a_removed_instance_gets_no_new_requests(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            mesh.store.put("servers/i-1", None)
            mesh.wait_ready(count=3)
            self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            self.assertEqual(near.backend_server.runs, [])

    def test_malformed_entries_are_ignored(self):
        with self.make() as mesh:
            mesh.store.put("servers/i-7", b"\xff not json")
            mesh.store.put("servers/i-8", {"service": "bank", "address": 7})
            entry = mesh.members[1].backend_server.make_entry(
                host="127.0.1.2", state="odd"
            )
            mesh.store.put("servers/i-9", entry)
            revision = mesh.store.full_revision
            meshes.wait_until(
                lambda: all(
                    member.daemon.fleet_state.directory.complete_revision >= revision
                    for member in mesh.members
                )
            )
            self.assertEqual(len(mesh.members[0].daemon.fleet_state.directory), 4)

    def test_an_overwritten_entry_names_no_instance_and_the_others_hold(self):
        """An entry was overwritten with values that can't be sent to a peer.

        The daemons that read the store then sent no update of any kind, and read
        the entry again and again.
        """
        with self.make() as mesh:
            desk, near = mesh.members[:2]
            good = near.backend_server.make_entry(host=near.host)
            for changes in ({"maxConcurrency": 10**30}, {"service": "\ud800"}):
                mesh.store.put("servers/i-1", {**good, **changes})
                mesh.store.put("servers/i-6", b"[" * 100000)
                mesh.wait_ready(count=3)
                self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
                self.assertEqual(near.backend_server.runs, [])
                mesh.store.put("servers/i-1", good)
                mesh.wait_ready(count=4)

    def test_configurations_reach_all_and_versions_never_decrease(self):
        with self.make() as mesh:
            desk = mesh.members[0]
            routes = [configurations.make_route("new", service="bank")]
            newer = configurations.make(9, *routes, services=("bank", "desk"))
            mesh.store.put("op/config", newer)
            meshes.wait_until(
                lambda: (
                    {
                        member.daemon.fleet_state.configuration_version
                        for member in mesh.members
                    }
                    == {9}
                ),
                seconds=2.5,
            )
            self.assertEqual(desk.call("/new/1")[0], 200)
            self.assertEqual(desk.call("/pay/1", method="POST")[0], 404)
            older = configurations.make(8, services=("bank",))
            mesh.store.put("op/config", older)
            revision = mesh.store.full_revision
            meshes.wait_until(
                lambda: desk.daemon.fleet_state.directory.complete_revision >= revision
            )
            self.assertEqual(desk.daemon.fleet_state.configuration_version, 9)

    def test_peers_replicate_to_a_daemon_cut_off_from_the_store(self):
        with self.make(start=False) as mesh:
            cut = mesh.members[0]
            for member in mesh.members:
                member.start()
                mesh.callback(member.stop)
            mesh.wait_ready()
            reader = cut.daemon.reader
            cut.run_in_loop(lambda: setattr(reader, "_next_read_at", float("inf")))
            mesh.store.put("servers/i-1", None)
            meshes.wait_until(
                lambda: cut.daemon.fleet_state.directory.get("i-1") is None, seconds=2.5
            )

    def test_a_store_outage_removes_no_backend_server(self):
        """An entry that expired in the outage is written again soon after it."""
        with self.make() as mesh:
            mesh.store.failure = 503
            time.sleep(1.5)
            self.assertEqual(mesh.members[0].call("/pay/1", method="POST")[0], 200)
            mesh.store.put("servers/i-1", None)
            expired_entry = mesh.members[1].backend_server.make_entry(
                host=mesh.members[1].host
            )
            mesh.store.failure = None
            time.sleep(0.8)
            mesh.store.put("servers/i-1", expired_entry)
            time.sleep(2.5)
            for member in mesh.members:
                self.assertIsNotNone(member.daemon.fleet_state.directory.get("i-1"))

    def test_a_complete_listing_follows_lost_history(self):
        with self.make() as mesh:
            mesh.store.put("servers/i-2", None)
            mesh.store.forget_history()
            mesh.wait_ready(count=3)

    def test_a_daemon_without_state_is_not_ready_and_refuses(self):
        with self.make(start=False) as mesh:
            mesh.store.failure = 503
            member = mesh.members[0].start()
            mesh.callback(member.stop)
            status, _, _ = callers.call_at(
                member.host, member.ports["ready"], target="/jackdawlanding/readiness"
            )
            self.assertEqual(status, 503)
            self.assertEqual(member.call("/pay/1", method="POST")[0], 503)


if __name__ == "__main__":
    unittest.main()

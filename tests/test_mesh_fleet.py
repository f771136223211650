"""Choice of instances, retries and crashes in a fleet of several daemons."""

import threading
import unittest

from tests import meshes


class FleetTest(meshes.FleetCase):
    """Requests of one service to three instances of another."""

    def test_the_nearest_instance_is_chosen_and_its_refusals_go_to_others(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            self.assertEqual(len(near.backend_server.runs), 1)
            near.backend_server.behaviours["/pay/2"] = "shed"
            self.assertEqual(desk.call("/pay/2", method="POST", number="two")[0], 200)
            self.assertIn("two", region.backend_server.runs)
            self.assertEqual(far.backend_server.runs, [])
            self.assertNotIn("two", near.backend_server.runs)

    def test_a_lost_response_is_retried_only_if_the_request_is_safe(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            for member in mesh.members[1:]:
                member.backend_server.behaviours["/pay/x"] = "reset"
            near.backend_server.behaviours["/look/x"] = "reset"
            for number in range(40):
                self.assertEqual(desk.call("/look/y", number=f"y{number}")[0], 200)
            self.assertEqual(desk.call("/look/x", number="safe")[0], 200)
            self.assertEqual(desk.call("/pay/x", method="POST", number="once")[0], 502)
            runs = [
                run for member in mesh.members for run in member.backend_server.runs
            ]
            self.assertEqual(runs.count("once"), 1)
            self.assertEqual(runs.count("safe"), 2)

    def test_an_unsafe_request_in_flight_at_a_crash_is_a_502(self):
        """It may have run, so it is not retried; later requests are still served."""
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            near.backend_server.behaviours["/pay/die"] = "crash"
            status, _, _ = desk.call("/pay/die", method="POST", number="die")
            self.assertEqual(status, 502)
            for _ in range(5):
                self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            runs = [
                run for member in mesh.members for run in member.backend_server.runs
            ]
            self.assertEqual(runs.count("die"), 1)

    def test_one_crash_with_three_identical_requests_in_flight_counts_once(self):
        """All daemons refused the request from then on, though both servers ran."""
        with self.make() as mesh:
            desk, near = mesh.members[:2]
            near.backend_server.behaviours["/pay/same"] = "wait"
            senders = [
                threading.Thread(
                    target=desk.call,
                    args=("/pay/same",),
                    kwargs={"method": "POST", "number": f"same{number}"},
                )
                for number in range(3)
            ]
            for sender in senders:
                sender.start()
            meshes.wait_until(lambda: len(near.backend_server.runs) == 3)
            near.backend_server.crash()
            for sender in senders:
                sender.join()
            meshes.wait_until(lambda: near.daemon.fleet_state.count_crashes())
            self.assertEqual(near.daemon.fleet_state.count_crashes(), 1)
            near.backend_server.behaviours.clear()
            near.backend_server.restart()
            self.assertEqual(desk.call("/pay/same", method="POST")[0], 200)

    def test_a_request_that_crashed_three_backend_servers_is_refused(self):
        with self.make() as mesh:
            desk = mesh.members[0]
            for member in mesh.members[1:]:
                member.backend_server.behaviours["/pay/die"] = "crash"
            for number in range(3):
                desk.call(
                    "/pay/die", method="POST", body=b"same", number=f"die{number}"
                )
            # All daemons must know of the crashes before the backend servers restart:
            # one that restarts before its daemon detects the crash counts as no crash.
            meshes.wait_until(
                lambda: (
                    {
                        member.daemon.fleet_state.count_crashes()
                        for member in mesh.members
                    }
                    == {3}
                )
            )
            for member in mesh.members[1:]:
                member.backend_server.restart()
            meshes.wait_until(
                lambda: all(
                    member.daemon.executor.health.is_up for member in mesh.members[1:]
                )
            )
            status, _, _ = desk.call(
                "/pay/die", method="POST", body=b"same", number="die9"
            )
            self.assertEqual(status, 503)
            runs = [
                run for member in mesh.members for run in member.backend_server.runs
            ]
            self.assertEqual(sum(run.startswith("die") for run in runs), 3)


if __name__ == "__main__":
    unittest.main()

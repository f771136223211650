"""Several daemons: choice, repeats, crashes."""

import unittest

from tests import meshes


class FleetTest(meshes.FleetCase):
    """Choice among instances, repeats and crashes."""

    def test_the_nearest_is_chosen_and_others_take_what_it_sheds(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            self.assertEqual(len(near.backend_server.runs), 1)
            near.backend_server.behaviours["/pay/2"] = "shed"
            self.assertEqual(desk.call("/pay/2", method="POST", number="two")[0], 200)
            self.assertIn("two", region.backend_server.runs)
            self.assertEqual(far.backend_server.runs, [])
            self.assertNotIn("two", near.backend_server.runs)

    def test_a_lost_answer_is_tried_again_only_where_that_is_safe(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            for member in mesh.members[1:]:
                member.backend_server.behaviours["/pay/x"] = "reset"
            near.backend_server.behaviours["/look/x"] = "reset"
            for number in range(40):
                self.assertEqual(desk.call("/look/y", number=f"y{number}")[0], 200)
            self.assertEqual(desk.call("/look/x", number="safe")[0], 200)
            self.assertEqual(desk.call("/pay/x", method="POST", number="once")[0], 502)
            runs = [r for one in mesh.members for r in one.backend_server.runs]
            self.assertEqual(runs.count("once"), 1)
            self.assertEqual(runs.count("safe"), 2)

    def test_a_crash_is_no_refusal_and_the_rest_goes_on(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            near.backend_server.behaviours["/pay/die"] = "crash"
            status, _, _ = desk.call("/pay/die", method="POST", number="die")
            self.assertEqual(status, 502)
            for _ in range(5):
                self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            runs = [r for one in mesh.members for r in one.backend_server.runs]
            self.assertEqual(runs.count("die"), 1)

    def test_a_request_that_crashes_three_reaches_no_more(self):
        with self.make() as mesh:
            desk = mesh.members[0]
            for member in mesh.members[1:]:
                member.backend_server.behaviours["/pay/die"] = "crash"
            for number in range(3):
                desk.call(
                    "/pay/die", method="POST", body=b"same", number=f"die{number}"
                )
            # Told to all before the backend servers come back: one that does so
            # before its crash was noticed has not crashed for its daemon.
            meshes.wait_until(
                lambda: (
                    {one.daemon.fleet_state.count_crashes() for one in mesh.members}
                    == {3}
                )
            )
            for member in mesh.members[1:]:
                member.backend_server.start_again()
            meshes.wait_until(
                lambda: all(
                    one.daemon.executor.is_backend_up for one in mesh.members[1:]
                )
            )
            status, _, _ = desk.call(
                "/pay/die", method="POST", body=b"same", number="die9"
            )
            self.assertEqual(status, 503)
            runs = [r for one in mesh.members for r in one.backend_server.runs]
            self.assertEqual(sum(r.startswith("die") for r in runs), 3)


if __name__ == "__main__":
    unittest.main()

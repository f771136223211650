"""Graceful shutdown of daemons."""

import threading
import time
import unittest

from jackdawlanding.mesh import app
from tests import callers, configurations, meshes

# Larger than the buffers of a connection.
LARGE = bytes(12 << 20)


class StopTest(meshes.FleetCase):
    """Shutdowns while requests are in flight and new ones arrive."""

    def test_a_daemon_that_shuts_down_still_accepts_calls_at_first(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            near.run_in_loop(near.daemon.shut_down)
            status, _, _ = callers.call_at(
                near.host, near.ports["ready"], target="/jackdawlanding/readiness"
            )
            self.assertEqual(status, 503)
            self.assertEqual(desk.call("/pay/1", method="POST", number="in")[0], 200)
            self.assertIn("in", near.backend_server.runs)
            time.sleep(2.5)
            self.assertEqual(desk.call("/pay/1", method="POST", number="out")[0], 200)
            self.assertNotIn("out", near.backend_server.runs)

    def test_a_daemon_that_shuts_down_refuses_work_that_it_cannot_finish(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            near.backend_server.seconds = 1.8
            near.run_in_loop(near.daemon.shut_down)
            time.sleep(1.5)
            busy = threading.Thread(target=near.call, args=("/look/1",))
            busy.start()
            time.sleep(app.REFUSE_SECONDS - 1.5 + 0.2)
            status, headers, _ = near.call("/pay/long", method="POST", number="late")
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 0)
            runs = [
                run for member in mesh.members for run in member.backend_server.runs
            ]
            self.assertNotIn("late", runs)
            busy.join()

    def test_a_daemon_that_shuts_down_refuses_calls_that_arrive_late(self):
        """A daemon that does not know of the shutdown retries the call elsewhere."""
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            dispatcher = desk.daemon.dispatcher
            dispatcher.avoid_host = lambda host: None
            near.run_in_loop(near.daemon.shut_down)
            time.sleep(app.ACCEPT_SECONDS + 0.2)
            self.assertEqual(desk.call("/pay/1", method="POST", number="way")[0], 200)
            self.assertNotIn("way", near.backend_server.runs)

    def test_a_request_that_outlasts_the_grace_period_is_answered_before_its_end(self):
        with self.make_chain() as mesh:
            desk, bank = mesh.members
            bank.backend_server.seconds = 6.0
            results = []
            caller = threading.Thread(
                target=lambda: results.append(desk.call("/child/1", deadline=9000)[0])
            )
            caller.start()
            meshes.wait_until(lambda: bank.backend_server.runs)
            self.assertTrue(desk.shut_down())
            caller.join()
            self.assertEqual(results, [504])

    def test_a_late_nested_call_that_cannot_end_in_the_grace_period_is_not_run(self):
        """A call of 1.5 s might just start within the 0.8 s that are left."""
        for seconds in (2.0, 1.5):
            with self.subTest(seconds=seconds), self.make_chain() as mesh:
                desk, bank = mesh.members
                bank.backend_server.seconds = seconds
                self.assertEqual(desk.call("/child/1")[0], 200)
                desk.backend_server.seconds = 3.4
                parent = threading.Thread(
                    target=desk.call, args=("/parent/1",), kwargs={"number": "p"}
                )
                parent.start()
                meshes.wait_until(lambda desk=desk: desk.backend_server.runs)
                desk.run_in_loop(desk.daemon.shut_down)
                time.sleep(2.8)
                status, headers, _ = desk.call("/child/2", method="POST", number="p.1")
                self.assertEqual(status, 503)
                self.assertGreater(float(headers["Retry-After"]), 0)
                self.assertNotIn("p.1", bank.backend_server.runs)
                parent.join()

    def test_a_call_that_cannot_end_before_its_executor_stops_runs_elsewhere(self):
        with self.make(timeout=8000) as mesh:
            desk, near, region, far = mesh.members
            near.backend_server.seconds = 3.9
            warm = near.call("/pay/0", method="POST", deadline=9000)
            self.assertEqual(warm[0], 200)
            near.run_in_loop(near.daemon.shut_down)
            self.assertEqual(desk.call("/pay/1", method="POST", number="way")[0], 200)
            self.assertNotIn("way", near.backend_server.runs)

    def test_a_stop_waits_until_a_slow_daemon_has_read_its_reply(self):
        """Nobody else has the answer; the work has run and must not run again."""
        with self.make(timeout=8000, limits={"maxBodyBytes": len(LARGE)}) as mesh:
            desk, near, region, far = mesh.members
            near.backend_server.seconds = 1.5
            results = []
            caller = threading.Thread(
                target=lambda: results.append(
                    desk.call("/pay/1", method="POST", body=LARGE, deadline=7000)
                )
            )
            caller.start()
            meshes.wait_until(lambda: near.backend_server.runs)
            near.run_in_loop(near.daemon.shut_down)
            time.sleep(1.0)
            desk.daemon.loop.call_soon(lambda: time.sleep(2.2))
            self.assertTrue(near.shut_down())
            near.stop()
            caller.join()
            (status, _, body), *_ = results
            self.assertEqual(status, 200)
            self.assertEqual(len(body), len(b"ran " + LARGE))

    def make_chain(self):
        """Return a mesh of a desk and a bank that the desk calls."""
        return meshes.Mesh(
            services=[("desk", "a1"), ("bank", "a1")],
            routes=[
                configurations.make_route("parent", service="desk", timeout=8000),
                configurations.make_route(
                    "child", service="bank", kind="unsafe", timeout=8000
                ),
            ],
        )

    def test_a_planned_stop_interrupts_no_request(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            for member in mesh.members:
                member.backend_server.seconds = 0.1
            results, stopping = [], threading.Event()

            def load():
                while not stopping.is_set():
                    results.append(desk.call("/pay/1", method="POST")[0])

            threads = [threading.Thread(target=load) for _ in range(3)]
            for thread in threads:
                thread.start()
            time.sleep(0.3)
            self.assertTrue(near.shut_down())
            stopping.set()
            for thread in threads:
                thread.join()
            self.assertEqual(set(results), {200})


if __name__ == "__main__":
    unittest.main()

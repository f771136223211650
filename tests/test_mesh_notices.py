"""Daemons obey what backend servers say of themselves in their answers."""

import contextlib
import itertools
import threading
import time
import unittest

from tests import configurations, meshes

LIMIT = 5
WINDOW_SECONDS = 4.0


@contextlib.contextmanager
def load(member, *, threads=4, targets=("/look/1",)):
    """Send requests as fast as they are answered; yield the list of statuses."""
    statuses, stopping = [], threading.Event()

    def send():
        for target in itertools.cycle(targets):
            if stopping.is_set():
                return
            statuses.append(member.call(target)[0])
            if statuses[-1] != 200:
                time.sleep(0.02)

    senders = [threading.Thread(target=send) for _ in range(threads)]
    for sender in senders:
        sender.start()
    try:
        yield statuses
    finally:
        stopping.set()
        for sender in senders:
            sender.join()


def count_most(times, *, since):
    """Return the most of ``times`` after ``since`` that lie in one window."""
    times = sorted(at for at in times if at >= since)
    return max(
        (
            sum(1 for at in times if start <= at <= start + WINDOW_SECONDS)
            for start in times
        ),
        default=0,
    )


def hold_directory(member):
    """Keep directory changes from an executor; return what applies them."""
    apply_backend = member.daemon.executor.apply_backend
    member.daemon.executor.apply_backend = lambda: None
    return apply_backend


class NoticesTest(meshes.FleetCase):
    def assert_within_limit(self, backend_server, *, since):
        allowed = 1.5 * LIMIT * WINDOW_SECONDS + 5
        most = count_most(backend_server.arrivals, since=since)
        self.assertLessEqual(most, allowed)
        self.assertGreater(most, 0)

    def make_single(self, **fields):
        """Return a mesh of a desk and the only bank."""
        return meshes.Mesh(
            services=[("desk", "a1"), ("bank", "a1")],
            routes=[configurations.make_route("look", service="bank")],
            **fields,
        )

    @contextlib.contextmanager
    def make_with_a_leave(self):
        """Make a mesh in which the near bank has told the desk that it leaves."""
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            near.backend_server.notice = {"Server-Leaving": "1"}
            self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            yield mesh

    def test_a_backend_server_gets_no_more_requests_than_its_limit(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            near.backend_server.notice = {"Server-Limit": str(LIMIT)}
            with load(desk) as statuses:
                time.sleep(0.5)
                since = time.monotonic()
                time.sleep(WINDOW_SECONDS)
            self.assert_within_limit(near.backend_server, since=since)
            self.assertEqual(set(statuses), {200})

    def test_a_failure_that_names_no_limit_does_not_lift_it(self):
        with self.make_single() as mesh:
            desk, near = mesh.members
            near.backend_server.notice = {"Server-Limit": str(LIMIT)}
            near.backend_server.behaviours["/look/error"] = "error"
            with load(desk, targets=("/look/1", "/look/error")):
                time.sleep(0.5)
                since = time.monotonic()
                time.sleep(WINDOW_SECONDS)
            self.assert_within_limit(near.backend_server, since=since)

    def test_a_restarted_daemon_keeps_the_limit_of_its_backend_server(self):
        with self.make_single(slots=80) as mesh:
            desk, near = mesh.members
            near.backend_server.notice = {"Server-Limit": str(LIMIT)}
            near.backend_server.seconds = 0.4
            with load(desk, threads=50):
                time.sleep(0.5)
                since = time.monotonic()
                near.stop()
                time.sleep(0.3)
                near.start()
                mesh.wait_ready()
                time.sleep(WINDOW_SECONDS)
            self.assert_within_limit(near.backend_server, since=since)

    def test_a_backend_server_gets_all_requests_again_once_it_names_no_limit(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            near.backend_server.notice = {"Server-Limit": str(LIMIT)}
            with load(desk):
                time.sleep(0.5)
                near.backend_server.notice = {}
                time.sleep(1.5)
            since = time.monotonic() - 0.5
            recent = [at for at in near.backend_server.arrivals if at > since]
            self.assertGreater(len(recent), 5 * LIMIT)

    def test_a_backend_server_that_says_it_leaves_gets_no_more_requests(self):
        with self.make_with_a_leave() as mesh:
            desk, near, region, far = mesh.members
            self.assertEqual(len(near.backend_server.runs), 1)
            near.backend_server.notice = {}
            for caller in (desk, near, region):
                self.assertEqual(caller.call("/pay/2", method="POST")[0], 200)
            near.stop()
            near.start()
            mesh.wait_ready()
            self.assertEqual(desk.call("/pay/3", method="POST")[0], 200)
            self.assertEqual(len(near.backend_server.runs), 1)

    def test_a_backend_server_that_starts_again_under_its_name_is_used(self):
        with self.make_with_a_leave() as mesh:
            desk, near, region, far = mesh.members
            near.backend_server.notice = {}
            entry = near.backend_server.make_entry(host=near.host)
            mesh.store.put(
                f"servers/{near.backend_server.instance}", {**entry, "born": 2}
            )
            meshes.wait_until(
                lambda: all(
                    member.daemon.fleet_state.directory.get("i-1").born == 2
                    for member in (desk, near)
                )
            )
            time.sleep(0.1)
            self.assertEqual(desk.call("/pay/2", method="POST")[0], 200)
            self.assertEqual(len(near.backend_server.runs), 2)

    def test_a_leave_does_not_pass_to_the_next_backend_server_at_the_address(self):
        """The daemon beside both may be the last to learn of the new one."""
        with self.make_with_a_leave() as mesh:
            desk, near, region, far = mesh.members
            apply_backend = hold_directory(near)
            near.backend_server.notice = {}
            near.backend_server.instance = "i-9"
            mesh.store.put("servers/i-1", None)
            mesh.store.put(
                "servers/i-9", near.backend_server.make_entry(host=near.host)
            )
            meshes.wait_until(lambda: "i-9" in desk.daemon.fleet_state.directory)
            time.sleep(0.1)
            self.assertEqual(desk.call("/pay/2", method="POST", number="2")[0], 200)
            near.run_in_loop(apply_backend)
            time.sleep(0.3)
            self.assertEqual(desk.call("/pay/3", method="POST", number="3")[0], 200)
            self.assertEqual(near.backend_server.runs[1:], ["2", "3"])

    def test_a_leave_does_not_pass_to_the_next_start_under_the_same_name(self):
        with self.make_with_a_leave() as mesh:
            desk, near, region, far = mesh.members
            apply_backend = hold_directory(near)
            near.backend_server.notice = {}
            entry = near.backend_server.make_entry(host=near.host)
            mesh.store.put("servers/i-1", {**entry, "born": 2})
            meshes.wait_until(
                lambda: desk.daemon.fleet_state.directory.get("i-1").born == 2
            )
            time.sleep(0.1)
            self.assertEqual(desk.call("/pay/2", method="POST")[0], 200)
            near.run_in_loop(apply_backend)
            time.sleep(0.3)
            self.assertEqual(desk.call("/pay/3", method="POST", number="3")[0], 200)
            self.assertEqual(near.backend_server.runs[1:], ["3"])


if __name__ == "__main__":
    unittest.main()

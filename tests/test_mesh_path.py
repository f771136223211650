"""The mesh's rules, through real daemons and stand-ins."""

import threading
import time
import unittest

from jackdawlanding.mesh import app
from tests import meshes, standins


class OneHostTest(unittest.TestCase):
    """A caller beside the only backend server."""

    @classmethod
    def setUpClass(cls):
        cls.mesh = meshes.Mesh(
            services=[("desk", "a1")],
            routes=[
                standins.make_route("look", service="desk"),
                standins.make_route("pay", service="desk", kind="unsafe"),
                standins.make_route("brief", service="desk", timeout=300),
            ],
        )
        cls.member = cls.mesh.members[0]
        cls.upstream = cls.member.upstream

    @classmethod
    def tearDownClass(cls):
        cls.mesh.close()

    def call(self, target, **fields):
        return self.member.call(target, **fields)

    def test_an_answer_comes_whole_with_its_signature(self):
        status, headers, body = self.call("/pay/1?x=2", method="POST", body=b"abc")
        self.assertEqual((status, body), (200, b"ran abc"))
        self.assertEqual(headers["X-Server-Signature"], standins.SIGNATURE)
        _, seen, path, method, _ = self.upstream.seen[-1]
        self.assertEqual((path, method), ("/pay/1?x=2", "POST"))
        self.assertEqual(seen["X-Expected-Instance"], "i-0")

    def test_the_caller_and_the_time_left_are_set_here(self):
        forged = {"X-Caller-Service": "other", "X-Expected-Instance": "i-9"}
        self.assertEqual(self.call("/look/1", deadline=900, extra=forged)[0], 200)
        seen = self.upstream.seen[-1][1]
        self.assertEqual(seen["X-Caller-Service"], "desk")
        self.assertLessEqual(int(seen["X-Deadline-Ms"]), 900)

    def test_a_missing_route_is_told(self):
        self.assertEqual(self.call("/nothing/1")[0], 404)

    def test_a_failure_of_the_backend_server_is_delivered(self):
        self.upstream.ways["/pay/e"] = "error"
        status, headers, body = self.call("/pay/e", method="POST")
        self.assertEqual((status, body), (500, b"failed"))
        self.assertEqual(headers["X-Server-Signature"], standins.SIGNATURE)

    def test_spoilt_answers_are_never_successes(self):
        for way in ("unsigned", "encoded", "short", "garbage", "unframed-reset"):
            with self.subTest(way=way):
                self.upstream.ways[f"/pay/{way}"] = way
                status, _, _ = self.call(f"/pay/{way}", method="POST")
                self.assertEqual(status, 502)

    def test_a_lost_answer_promises_nothing(self):
        for way in ("nothing", "reset"):
            with self.subTest(way=way):
                self.upstream.ways[f"/pay/{way}"] = way
                self.assertEqual(self.call(f"/pay/{way}", method="POST")[0], 502)
                self.assertEqual(self.call("/pay/after", method="POST")[0], 200)

    def test_an_answer_that_ends_with_its_connection_is_whole(self):
        self.upstream.ways["/look/u"] = "unframed"
        self.assertEqual(self.call("/look/u")[::2], (200, b"all of it"))

    def test_answers_of_other_requests_are_dropped(self):
        for way in ("twice", "other-first"):
            self.upstream.ways[f"/look/{way}"] = way
            for _ in range(3):
                self.assertEqual(self.call(f"/look/{way}")[::2], (200, b"ran "))
                self.assertEqual(self.call("/look/next")[::2], (200, b"ran "))

    def test_what_was_not_run_is_refused_with_a_time_to_return(self):
        self.upstream.ways["/pay/shed"] = "shed"
        status, headers, _ = self.call("/pay/shed", method="POST", number="shed-1")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertNotIn("shed-1", self.upstream.runs)

    def test_the_route_s_timeout_ends_a_wait(self):
        self.upstream.ways["/brief/late"] = "late"
        began = time.monotonic()
        self.assertEqual(self.call("/brief/late")[0], 504)
        self.assertLess(time.monotonic() - began, 0.3 + 0.25)

    def test_a_caller_that_leaves_ends_the_work(self):
        self.upstream.ways["/look/wait"] = "wait"
        before = self.upstream.cancelled
        sock = standins.socket.create_connection(
            (self.member.host, self.member.ports["outbound"])
        )
        sock.sendall(
            b"GET /look/wait HTTP/1.1\r\nHost: look.example\r\n"
            b"X-Request-Id: gone\r\nX-Deadline-Ms: 3000\r\n\r\n"
        )
        meshes.wait_until(lambda: "gone" in self.upstream.runs)
        sock.close()
        meshes.wait_until(lambda: self.upstream.cancelled == before + 1, seconds=1)

    def test_bounds_on_requests(self):
        self.assertEqual(self.call("/pay/b", method="POST", body=b"x" * 70000)[0], 413)
        self.assertEqual(self.call("/look/h", extra={"A": "x" * 5000})[0], 431)

    def test_malformed_requests_reach_nobody(self):
        count = len(self.upstream.seen)
        for data in (
            b"POST /pay/1 HTTP/1.1\r\nHost: pay.example\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"GET /look/1 HTTP/1.1\r\nHost: look.example\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nxy",
            b"nonsense\r\n\r\n",
        ):
            sock = standins.socket.create_connection(
                (self.member.host, self.member.ports["outbound"]), timeout=3
            )
            sock.sendall(data)
            self.assertIn(b" 400 ", sock.recv(200))
            sock.close()
        self.assertEqual(len(self.upstream.seen), count)

    def test_a_head_that_comes_too_slowly_is_given_up(self):
        sock = standins.socket.create_connection(
            (self.member.host, self.member.ports["outbound"]), timeout=3
        )
        sock.sendall(b"GET /look/1 HTTP/1.1\r\nHost: look")
        self.assertIn(b" 408 ", sock.recv(200))
        sock.close()

    def test_a_body_may_take_longer_than_a_head(self):
        sock = standins.socket.create_connection(
            (self.member.host, self.member.ports["outbound"]), timeout=3
        )
        sock.sendall(
            b"POST /pay/slow HTTP/1.1\r\nHost: pay.example\r\n"
            b"X-Request-Id: slow\r\nContent-Length: 4\r\n\r\n"
        )
        for byte in (b"a", b"b", b"c", b"d"):
            time.sleep(0.3)
            sock.sendall(byte)
        self.assertIn(b" 200 ", sock.recv(200))
        sock.close()

    def test_an_idle_connection_is_closed(self):
        sock = standins.socket.create_connection(
            (self.member.host, self.member.ports["outbound"]), timeout=4
        )
        self.assertEqual(sock.recv(10), b"")
        sock.close()

    def test_chunked_bodies_and_requests_sent_ahead(self):
        sock = standins.socket.create_connection(
            (self.member.host, self.member.ports["outbound"]), timeout=3
        )
        head = "POST /pay/c HTTP/1.1\r\nHost: pay.example\r\nX-Request-Id: {}\r\n"
        chunked = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        sock.sendall(
            (head.format("c1") + chunked + head.format("c2") + chunked).encode()
        )
        data = b""
        while data.count(b"ran abc") < 2:
            data += sock.recv(1000)
        self.assertLess(data.index(b"c1"), data.index(b"c2"))
        sock.close()

    def test_pages(self):
        port = self.member.ports["ready"]
        status, _, _ = standins.call_at(
            self.member.host, port, target="/jackdawlanding/readiness"
        )
        self.assertEqual(status, 200)
        _, _, body = standins.call_at(
            self.member.host, self.member.ports["pages"], target="/metrics"
        )
        self.assertIn(b"jackdaw_host_limit 3", body)


class SlotsTest(unittest.TestCase):
    def test_the_backend_server_never_gets_more_than_its_slots(self):
        routes = [standins.make_route("look", service="desk")]
        with meshes.Mesh(
            services=[("desk", "a1"), ("desk", "a2")], routes=routes
        ) as one:
            for member in one.members:
                member.upstream.seconds = 0.05
            results = []

            def call(member):
                results.append(member.call("/look/1")[0])

            threads = [
                threading.Thread(target=call, args=(one.members[n % 2],))
                for n in range(60)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            for member in one.members:
                self.assertLessEqual(member.upstream.most_running, 3)
            self.assertEqual(len(results), 60)
            self.assertLessEqual(set(results), {200, 503})
            self.assertGreater(results.count(200), 30)


class FleetTest(unittest.TestCase):
    """Two services in three failure domains."""

    def make(self, **fields):
        return meshes.Mesh(
            services=[("desk", "a1"), ("bank", "a1"), ("bank", "a2"), ("bank", "b1")],
            routes=[
                standins.make_route("pay", service="bank", kind="unsafe"),
                standins.make_route("look", service="bank"),
            ],
            **fields,
        )

    def test_the_nearest_is_chosen_and_others_take_what_it_sheds(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            self.assertEqual(len(near.upstream.runs), 1)
            near.upstream.ways["/pay/2"] = "shed"
            self.assertEqual(desk.call("/pay/2", method="POST", number="two")[0], 200)
            self.assertIn("two", region.upstream.runs)
            self.assertEqual(far.upstream.runs, [])
            self.assertNotIn("two", near.upstream.runs)

    def test_a_lost_answer_is_tried_again_only_where_that_is_safe(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            for member in mesh.members[1:]:
                member.upstream.ways["/pay/x"] = "reset"
            near.upstream.ways["/look/x"] = "reset"
            for number in range(40):
                self.assertEqual(desk.call("/look/y", number=f"y{number}")[0], 200)
            self.assertEqual(desk.call("/look/x", number="safe")[0], 200)
            self.assertEqual(desk.call("/pay/x", method="POST", number="once")[0], 502)
            runs = [r for one in mesh.members for r in one.upstream.runs]
            self.assertEqual(runs.count("once"), 1)
            self.assertEqual(runs.count("safe"), 2)

    def test_a_draining_instance_gets_nothing_new(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            entry = near.upstream.entry(host=near.host, state="draining")
            mesh.store.put("servers/i-1", entry)
            meshes.wait_until(
                lambda: all(
                    one.daemon.knowledge.directory.get("i-1").is_draining
                    for one in mesh.members
                ),
                seconds=2.5,
            )
            for _ in range(10):
                self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            self.assertEqual(near.upstream.runs, [])

    def test_a_removed_instance_gets_nothing_new(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            mesh.store.put("servers/i-1", None)
            mesh.wait_ready(count=3)
            self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            self.assertEqual(near.upstream.runs, [])

    def test_a_foreign_entry_names_nobody(self):
        with self.make() as mesh:
            mesh.store.put("servers/i-7", b"\xff not json")
            mesh.store.put("servers/i-8", {"service": "bank", "address": 7})
            entry = mesh.members[1].upstream.entry(host="127.0.1.2", state="odd")
            mesh.store.put("servers/i-9", entry)
            revision = mesh.store.revision
            meshes.wait_until(
                lambda: all(
                    one.daemon.knowledge.directory.complete_at >= revision
                    for one in mesh.members
                )
            )
            self.assertEqual(len(mesh.members[0].daemon.knowledge.directory), 4)

    def test_configurations_reach_all_and_never_go_back(self):
        with self.make() as mesh:
            desk = mesh.members[0]
            routes = [standins.make_route("new", service="bank")]
            newer = standins.make_configuration(9, *routes, services=("bank", "desk"))
            mesh.store.put("op/config", newer)
            meshes.wait_until(
                lambda: {one.daemon.knowledge.version for one in mesh.members} == {9},
                seconds=2.5,
            )
            self.assertEqual(desk.call("/new/1")[0], 200)
            self.assertEqual(desk.call("/pay/1", method="POST")[0], 404)
            older = standins.make_configuration(8, services=("bank",))
            revision = mesh.store.put("op/config", older)
            meshes.wait_until(
                lambda: desk.daemon.knowledge.directory.complete_at >= revision
            )
            self.assertEqual(desk.daemon.knowledge.version, 9)

    def test_peers_bring_what_the_store_keeps_from_one(self):
        with self.make(start=False) as mesh:
            cut = mesh.members[0]
            for member in mesh.members:
                member.start()
                mesh.callback(member.stop)
            mesh.wait_ready()
            reader = cut.daemon.reader
            cut.run_in_loop(lambda: setattr(reader, "_wait_until", float("inf")))
            mesh.store.put("servers/i-1", None)
            meshes.wait_until(
                lambda: cut.daemon.knowledge.directory.get("i-1") is None, seconds=2.5
            )

    def test_a_store_that_fails_takes_nothing_away(self):
        with self.make() as mesh:
            mesh.store.failure = 503
            time.sleep(1.5)
            self.assertEqual(mesh.members[0].call("/pay/1", method="POST")[0], 200)
            mesh.store.put("servers/i-1", None)
            lapsed = mesh.members[1].upstream.entry(host=mesh.members[1].host)
            mesh.store.failure = None
            time.sleep(0.8)
            mesh.store.put("servers/i-1", lapsed)
            time.sleep(2.5)
            for member in mesh.members:
                self.assertIsNotNone(member.daemon.knowledge.directory.get("i-1"))

    def test_lost_history_is_read_again(self):
        with self.make() as mesh:
            mesh.store.put("servers/i-2", None)
            mesh.store.forget_history()
            mesh.wait_ready(count=3)

    def test_a_daemon_that_knows_nothing_is_not_ready_and_refuses(self):
        with self.make(start=False) as mesh:
            mesh.store.failure = 503
            member = mesh.members[0].start()
            mesh.callback(member.stop)
            status, _, _ = standins.call_at(
                member.host, member.ports["ready"], target="/jackdawlanding/readiness"
            )
            self.assertEqual(status, 503)
            self.assertEqual(member.call("/pay/1", method="POST")[0], 503)

    def test_a_crash_is_no_refusal_and_the_rest_goes_on(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            near.upstream.ways["/pay/die"] = "crash"
            status, _, _ = desk.call("/pay/die", method="POST", number="die")
            self.assertEqual(status, 502)
            for _ in range(5):
                self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            runs = [r for one in mesh.members for r in one.upstream.runs]
            self.assertEqual(runs.count("die"), 1)

    def test_a_request_that_crashes_three_reaches_no_more(self):
        with self.make() as mesh:
            desk = mesh.members[0]
            for member in mesh.members[1:]:
                member.upstream.ways["/pay/die"] = "crash"
            for number in range(3):
                desk.call(
                    "/pay/die", method="POST", body=b"same", number=f"die{number}"
                )
            # Told to all before the backend servers come back: one that does so
            # before its crash was noticed has not crashed for its daemon.
            meshes.wait_until(
                lambda: (
                    {one.daemon.knowledge.count_deaths() for one in mesh.members} == {3}
                )
            )
            for member in mesh.members[1:]:
                member.upstream.start_again()
            meshes.wait_until(
                lambda: all(one.daemon.host.is_up for one in mesh.members[1:])
            )
            status, _, _ = desk.call(
                "/pay/die", method="POST", body=b"same", number="die9"
            )
            self.assertEqual(status, 503)
            runs = [r for one in mesh.members for r in one.upstream.runs]
            self.assertEqual(sum(r.startswith("die") for r in runs), 3)

    def test_a_stop_request_takes_nothing_away_at_once(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            near.run_in_loop(near.daemon.leave)
            status, _, _ = standins.call_at(
                near.host, near.ports["ready"], target="/jackdawlanding/readiness"
            )
            self.assertEqual(status, 503)
            self.assertEqual(desk.call("/pay/1", method="POST", number="in")[0], 200)
            self.assertIn("in", near.upstream.runs)
            time.sleep(2.5)
            self.assertEqual(desk.call("/pay/1", method="POST", number="out")[0], 200)
            self.assertNotIn("out", near.upstream.runs)

    def test_a_daemon_that_stops_takes_no_work_that_it_cannot_finish(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            near.upstream.seconds = 1.8
            near.run_in_loop(near.daemon.leave)
            time.sleep(1.5)
            busy = threading.Thread(target=near.call, args=("/look/1",))
            busy.start()
            time.sleep(app.REFUSE_SECONDS - 1.5 + 0.2)
            status, headers, _ = near.call("/pay/long", method="POST", number="late")
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 0)
            runs = [r for one in mesh.members for r in one.upstream.runs]
            self.assertNotIn("late", runs)
            busy.join()

    def test_a_host_that_leaves_answers_what_was_on_its_way(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            self.assertEqual(desk.call("/pay/1", method="POST")[0], 200)
            entry = desk.daemon.entry
            entry.note_leaving = lambda host: None
            near.run_in_loop(near.daemon.leave)
            time.sleep(app.ACCEPT_SECONDS + 0.2)
            self.assertEqual(desk.call("/pay/1", method="POST", number="way")[0], 200)
            self.assertNotIn("way", near.upstream.runs)

    def test_a_planned_stop_cuts_nothing(self):
        with self.make() as mesh:
            desk, near, region, far = mesh.members
            for member in mesh.members:
                member.upstream.seconds = 0.1
            results, stopping = [], threading.Event()

            def load():
                while not stopping.is_set():
                    results.append(desk.call("/pay/1", method="POST")[0])

            threads = [threading.Thread(target=load) for _ in range(3)]
            for thread in threads:
                thread.start()
            time.sleep(0.3)
            self.assertTrue(near.leave())
            stopping.set()
            for thread in threads:
                thread.join()
            self.assertEqual(set(results), {200})


if __name__ == "__main__":
    unittest.main()

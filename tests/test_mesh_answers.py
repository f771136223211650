"""One daemon beside one backend server: each request's answer."""

import socket
import threading
import time
import unittest

from tests import backendservers, callers, configurations, meshes


class OneHostTest(unittest.TestCase):
    """A caller beside the only backend server."""

    @classmethod
    def setUpClass(cls):
        cls.mesh = meshes.Mesh(
            services=[("desk", "a1")],
            routes=[
                configurations.make_route("look", service="desk"),
                configurations.make_route("pay", service="desk", kind="unsafe"),
                configurations.make_route("brief", service="desk", timeout=300),
            ],
        )
        cls.member = cls.mesh.members[0]
        cls.backend_server = cls.member.backend_server

    @classmethod
    def tearDownClass(cls):
        cls.mesh.close()

    def call(self, target, **fields):
        return self.member.call(target, **fields)

    def test_an_answer_comes_whole_with_its_signature(self):
        status, headers, body = self.call("/pay/1?x=2", method="POST", body=b"abc")
        self.assertEqual((status, body), (200, b"ran abc"))
        self.assertEqual(headers["X-Server-Signature"], backendservers.SIGNATURE)
        _, seen, path, method, _ = self.backend_server.seen[-1]
        self.assertEqual((path, method), ("/pay/1?x=2", "POST"))
        self.assertEqual(seen["X-Expected-Instance"], "i-0")

    def test_the_caller_and_the_time_left_are_set_here(self):
        forged = {"X-Caller-Service": "other", "X-Expected-Instance": "i-9"}
        self.assertEqual(self.call("/look/1", deadline=900, extra=forged)[0], 200)
        seen = self.backend_server.seen[-1][1]
        self.assertEqual(seen["X-Caller-Service"], "desk")
        self.assertLessEqual(int(seen["X-Deadline-Ms"]), 900)

    def test_a_missing_route_is_told(self):
        self.assertEqual(self.call("/nothing/1")[0], 404)

    def test_a_failure_of_the_backend_server_is_delivered(self):
        self.backend_server.behaviours["/pay/e"] = "error"
        status, headers, body = self.call("/pay/e", method="POST")
        self.assertEqual((status, body), (500, b"failed"))
        self.assertEqual(headers["X-Server-Signature"], backendservers.SIGNATURE)

    def test_spoilt_answers_are_never_successes(self):
        for way in ("unsigned", "encoded", "short", "garbage", "unframed-reset"):
            with self.subTest(way=way):
                self.backend_server.behaviours[f"/pay/{way}"] = way
                status, _, _ = self.call(f"/pay/{way}", method="POST")
                self.assertEqual(status, 502)

    def test_a_lost_answer_promises_nothing(self):
        for way in ("nothing", "reset"):
            with self.subTest(way=way):
                self.backend_server.behaviours[f"/pay/{way}"] = way
                self.assertEqual(self.call(f"/pay/{way}", method="POST")[0], 502)
                self.assertEqual(self.call("/pay/after", method="POST")[0], 200)

    def test_an_answer_that_ends_with_its_connection_is_whole(self):
        self.backend_server.behaviours["/look/u"] = "unframed"
        self.assertEqual(self.call("/look/u")[::2], (200, b"all of it"))

    def test_answers_of_other_requests_are_dropped(self):
        for way in ("twice", "other-first"):
            self.backend_server.behaviours[f"/look/{way}"] = way
            for _ in range(3):
                self.assertEqual(self.call(f"/look/{way}")[::2], (200, b"ran "))
                self.assertEqual(self.call("/look/next")[::2], (200, b"ran "))

    def test_what_was_not_run_is_refused_with_a_time_to_return(self):
        self.backend_server.behaviours["/pay/shed"] = "shed"
        status, headers, _ = self.call("/pay/shed", method="POST", number="shed-1")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertNotIn("shed-1", self.backend_server.runs)

    def test_the_route_s_timeout_ends_a_wait(self):
        self.backend_server.behaviours["/brief/late"] = "late"
        began = time.monotonic()
        self.assertEqual(self.call("/brief/late")[0], 504)
        self.assertLess(time.monotonic() - began, 0.3 + 0.25)

    def test_a_caller_that_leaves_ends_the_work(self):
        self.backend_server.behaviours["/look/wait"] = "wait"
        before = self.backend_server.cancelled
        sock = socket.create_connection(
            (self.member.host, self.member.ports["outbound"])
        )
        sock.sendall(
            b"GET /look/wait HTTP/1.1\r\nHost: look.example\r\n"
            b"X-Request-Id: gone\r\nX-Deadline-Ms: 3000\r\n\r\n"
        )
        meshes.wait_until(lambda: "gone" in self.backend_server.runs)
        sock.close()
        meshes.wait_until(
            lambda: self.backend_server.cancelled == before + 1, seconds=1
        )

    def test_bounds_on_requests(self):
        self.assertEqual(self.call("/pay/b", method="POST", body=b"x" * 70000)[0], 413)
        self.assertEqual(self.call("/look/h", extra={"A": "x" * 5000})[0], 431)

    def test_malformed_requests_reach_nobody(self):
        count = len(self.backend_server.seen)
        for data in (
            b"POST /pay/1 HTTP/1.1\r\nHost: pay.example\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"GET /look/1 HTTP/1.1\r\nHost: look.example\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nxy",
            b"nonsense\r\n\r\n",
        ):
            sock = socket.create_connection(
                (self.member.host, self.member.ports["outbound"]), timeout=3
            )
            sock.sendall(data)
            self.assertIn(b" 400 ", sock.recv(200))
            sock.close()
        self.assertEqual(len(self.backend_server.seen), count)

    def test_a_head_that_comes_too_slowly_is_given_up(self):
        sock = socket.create_connection(
            (self.member.host, self.member.ports["outbound"]), timeout=3
        )
        sock.sendall(b"GET /look/1 HTTP/1.1\r\nHost: look")
        self.assertIn(b" 408 ", sock.recv(200))
        sock.close()

    def test_a_body_may_take_longer_than_a_head(self):
        sock = socket.create_connection(
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
        sock = socket.create_connection(
            (self.member.host, self.member.ports["outbound"]), timeout=4
        )
        self.assertEqual(sock.recv(10), b"")
        sock.close()

    def test_chunked_bodies_and_requests_sent_ahead(self):
        sock = socket.create_connection(
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
        status, _, _ = callers.call_at(
            self.member.host, port, target="/jackdawlanding/readiness"
        )
        self.assertEqual(status, 200)
        _, _, body = callers.call_at(
            self.member.host, self.member.ports["pages"], target="/metrics"
        )
        self.assertIn(b"jackdaw_host_limit 3", body)


class SlotsTest(unittest.TestCase):
    def test_the_backend_server_never_gets_more_than_its_slots(self):
        routes = [configurations.make_route("look", service="desk")]
        with meshes.Mesh(
            services=[("desk", "a1"), ("desk", "a2")], routes=routes
        ) as one:
            for member in one.members:
                member.backend_server.seconds = 0.05
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
                self.assertLessEqual(member.backend_server.most_running, 3)
            self.assertEqual(len(results), 60)
            self.assertLessEqual(set(results), {200, 503})
            self.assertGreater(results.count(200), 30)


if __name__ == "__main__":
    unittest.main()

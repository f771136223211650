"""Responses of one daemon beside one backend server, valid and invalid ones."""

import socket
import threading
import time
import unittest
from unittest import mock

from jackdawlanding.mesh import dispatcher
from jackdawlanding.wire import http
from tests import backendservers, callers, configurations, meshes


class SingleDaemonTest(unittest.TestCase):
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

    def test_a_response_has_its_body_and_signature(self):
        status, headers, body = self.call("/pay/1?x=2", method="POST", body=b"abc")
        self.assertEqual((status, body), (200, b"ran abc"))
        self.assertEqual(headers["X-Server-Signature"], backendservers.SIGNATURE)
        _, seen, path, method, _ = self.backend_server.seen[-1]
        self.assertEqual((path, method), ("/pay/1?x=2", "POST"))
        self.assertEqual(seen["X-Expected-Instance"], "i-0")

    def test_the_daemon_sets_the_caller_and_deadline_headers(self):
        forged = {"X-Caller-Service": "other", "X-Expected-Instance": "i-9"}
        self.assertEqual(self.call("/look/1", deadline=900, extra=forged)[0], 200)
        seen = self.backend_server.seen[-1][1]
        self.assertEqual(seen["X-Caller-Service"], "desk")
        self.assertLessEqual(int(seen["X-Deadline-Ms"]), 900)

    def test_a_connection_option_drops_no_id_of_an_order(self):
        """The order ran without an id, and its caller never got the answer."""
        for option in ("X-Request-Id", "close, x-request-id", "Host, X-Deadline-Ms"):
            with self.subTest(option=option):
                status, _, body = self.call(
                    "/pay/1",
                    method="POST",
                    body=b"abc",
                    number="id-1",
                    extra={"Connection": option},
                )
                self.assertEqual((status, body), (200, b"ran abc"))
                seen = self.backend_server.seen[-1][1]
                self.assertEqual(seen["X-Request-Id"], "id-1")
                self.assertEqual(seen["Host"], "pay.example")
                self.assertIn("X-Deadline-Ms", seen)

    def test_a_connection_option_of_an_answer_drops_no_field_for_the_caller(self):
        self.addCleanup(self.backend_server.notice.clear)
        self.backend_server.notice["Connection"] = (
            "X-Server-Signature, X-Request-Id, Server-Limit, X-Not-Executed"
        )
        status, headers, _ = self.call("/pay/1", method="POST", number="id-2")
        self.assertEqual(status, 200)
        self.assertEqual(headers["X-Server-Signature"], backendservers.SIGNATURE)
        self.assertEqual(headers["X-Request-Id"], "id-2")

    def test_an_order_with_two_ids_runs_with_the_one_that_is_answered(self):
        with socket.create_connection(
            (self.member.host, self.member.ports["outbound"])
        ) as sock:
            sock.settimeout(5)
            sock.sendall(
                b"POST /pay/1 HTTP/1.1\r\nHost: pay.example\r\nX-Request-Id: id-3\r\n"
                b"X-Request-Id: id-4\r\nX-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n"
            )
            self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 200 "))
        self.assertEqual(self.backend_server.ids[-1], ["id-3"])

    def test_an_order_with_a_target_in_absolute_form_is_run(self):
        with socket.create_connection(
            (self.member.host, self.member.ports["outbound"])
        ) as sock:
            sock.settimeout(5)
            sock.sendall(
                b"POST http://pay.example/pay/1?x=2 HTTP/1.1\r\nHost: other.example\r\n"
                b"X-Request-Id: id-5\r\nContent-Length: 3\r\n\r\nabc"
            )
            self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 200 "))
        _, seen, path, _, body = self.backend_server.seen[-1]
        self.assertEqual((path, body), ("/pay/1?x=2", b"abc"))
        self.assertEqual(seen["Host"], "pay.example")

    def test_an_order_that_offers_another_protocol_runs_whole(self):
        """It ran without its body, and a 400 that belonged to no request came."""
        order = (
            b"POST /pay/1 HTTP/1.1\r\nHost: pay.example\r\nX-Request-Id: id-%d\r\n"
            b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
            b"HTTP2-Settings: AAMAAABk\r\nContent-Length: 3\r\n\r\nabc"
        )
        connection = http.ResponseReader()
        with socket.create_connection(
            (self.member.host, self.member.ports["outbound"])
        ) as sock:
            sock.settimeout(5)
            for number in (6, 7):
                sock.sendall(order % number)
                while not connection.ready:
                    connection.feed(sock.recv(4096))
                [response] = connection.ready
                connection.ready.clear()
                self.assertEqual((response.status, response.body), (200, b"ran abc"))
                seen = self.backend_server.seen[-1][1]
                self.assertEqual(seen["X-Request-Id"], f"id-{number}")
                for name in ("Upgrade", "Connection", "HTTP2-Settings"):
                    self.assertNotIn(name, seen)
            sock.settimeout(0.2)
            with self.assertRaises(TimeoutError):
                sock.recv(1)

    def test_an_unasked_switch_of_protocols_is_a_502_at_once(self):
        """It ended in an exception, and the caller had no answer until its deadline."""
        self.backend_server.behaviours["/pay/switch"] = "switch"
        start = time.monotonic()
        self.assertEqual(self.call("/pay/switch", method="POST")[0], 502)
        self.assertLess(time.monotonic() - start, 1.0)

    def test_an_answer_is_delivered_though_what_it_tells_can_t_be_recorded(self):
        with (
            mock.patch.object(
                dispatcher.Dispatcher, "_record_occupant", side_effect=ZeroDivisionError
            ),
            self.assertLogs("jackdaw.entry", "ERROR"),
        ):
            self.assertEqual(self.call("/pay/1", method="POST")[0], 200)

    def test_a_missing_route_is_a_404(self):
        self.assertEqual(self.call("/nothing/1")[0], 404)

    def test_an_error_response_of_the_backend_server_is_delivered(self):
        self.backend_server.behaviours["/pay/e"] = "error"
        status, headers, body = self.call("/pay/e", method="POST")
        self.assertEqual((status, body), (500, b"failed"))
        self.assertEqual(headers["X-Server-Signature"], backendservers.SIGNATURE)

    def test_an_answer_with_a_timeout_too_large_is_delivered(self):
        self.addCleanup(self.backend_server.notice.clear)
        for digits in (400, 5000):
            self.backend_server.notice["Keep-Alive"] = "timeout=" + "9" * digits
            with self.subTest(digits=digits):
                self.assertEqual(self.call("/pay/1", method="POST")[0], 200)
                self.assertEqual(self.call("/look/1")[0], 200)

    def test_a_request_whose_call_can_t_be_made_is_refused_at_once(self):
        failing = self.member.daemon.dispatcher
        with (
            mock.patch.object(failing, "_make_call", side_effect=ZeroDivisionError),
            self.assertLogs("jackdaw.entry", "ERROR"),
        ):
            started_at = time.monotonic()
            status, headers, _ = self.call("/pay/1", method="POST")
            self.assertLess(time.monotonic() - started_at, 1.0)
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertEqual(failing.in_flight, 0)

    def test_a_request_whose_answer_can_t_be_taken_may_have_run(self):
        with (
            mock.patch.object(
                self.member.daemon.dispatcher._selector,
                "record_success",
                side_effect=ZeroDivisionError,
            ),
            self.assertLogs("jackdaw.entry", "ERROR"),
        ):
            self.assertEqual(self.call("/pay/1", method="POST")[0], 502)
        self.assertEqual(self.call("/pay/1", method="POST")[0], 200)

    def test_invalid_responses_are_a_502(self):
        for behaviour in (
            "unsigned",
            "encoded",
            "short",
            "part-of-head",
            "garbage",
            "unframed-reset",
        ):
            with self.subTest(behaviour=behaviour):
                self.backend_server.behaviours[f"/pay/{behaviour}"] = behaviour
                status, _, _ = self.call(f"/pay/{behaviour}", method="POST")
                self.assertEqual(status, 502)

    def test_a_lost_response_is_a_502(self):
        """The status says that the request may have run."""
        for behaviour in ("nothing", "reset"):
            with self.subTest(behaviour=behaviour):
                self.backend_server.behaviours[f"/pay/{behaviour}"] = behaviour
                self.assertEqual(self.call(f"/pay/{behaviour}", method="POST")[0], 502)
                self.assertEqual(self.call("/pay/after", method="POST")[0], 200)

    def test_a_response_may_end_with_its_connection(self):
        self.backend_server.behaviours["/look/u"] = "unframed"
        self.assertEqual(self.call("/look/u")[::2], (200, b"all of it"))

    def test_answers_of_other_requests_are_dropped(self):
        for behaviour in ("twice", "other-first"):
            self.backend_server.behaviours[f"/look/{behaviour}"] = behaviour
            for _ in range(3):
                self.assertEqual(self.call(f"/look/{behaviour}")[::2], (200, b"ran "))
                self.assertEqual(self.call("/look/next")[::2], (200, b"ran "))

    def test_an_earlier_refusal_that_is_sent_again_refuses_no_other_request(self):
        with meshes.Mesh(
            services=[("desk", "a1"), ("desk", "a2")],
            routes=[configurations.make_route("pay", service="desk", kind="unsafe")],
        ) as mesh:
            near, far = mesh.members
            near.backend_server.behaviours["/pay/1"] = "shed"
            near.backend_server.behaviours["/pay/2"] = "refusal-again"
            self.assertEqual(near.call("/pay/1", method="POST", number="first")[0], 200)
            connections = len(near.backend_server.connections)
            time.sleep(0.3)
            for number in ("p1", "p2"):
                response = near.call("/pay/2", method="POST", number=number)
                self.assertEqual(response[::2], (200, b"ran "))
            runs = near.backend_server.runs + far.backend_server.runs
            self.assertEqual(sorted(runs), ["first", "p1", "p2"])
            self.assertEqual(len(near.backend_server.connections), connections)

    def test_a_request_that_was_not_run_is_a_503_with_retry_after(self):
        self.backend_server.behaviours["/pay/shed"] = "shed"
        status, headers, _ = self.call("/pay/shed", method="POST", number="shed-1")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertNotIn("shed-1", self.backend_server.runs)

    def test_a_backend_server_s_retry_after_reaches_the_caller(self):
        self.backend_server.behaviours["/pay/shed"] = "shed"
        self.addCleanup(setattr, self.backend_server, "notice", {})
        for value, seconds in (("1.25", 1.25), ("soon", 0.3), ("1e308", 3600.0)):
            with self.subTest(value=value):
                self.backend_server.notice = {"Retry-After": value}
                status, headers, _ = self.call("/pay/shed", method="POST")
                self.assertEqual(status, 503)
                self.assertEqual(float(headers["Retry-After"]), seconds)

    def test_the_route_s_timeout_is_a_504(self):
        self.backend_server.behaviours["/brief/late"] = "late"
        started_at = time.monotonic()
        self.assertEqual(self.call("/brief/late")[0], 504)
        self.assertLess(time.monotonic() - started_at, 0.3 + 0.25)

    def test_a_caller_that_disconnects_cancels_its_request(self):
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

    def test_limits_on_the_size_of_requests(self):
        self.assertEqual(self.call("/pay/b", method="POST", body=b"x" * 70000)[0], 413)
        self.assertEqual(self.call("/look/h", extra={"A": "x" * 5000})[0], 431)

    def test_a_request_that_is_refused_before_it_is_complete_is_logged(self):
        with self.assertLogs("jackdaw.mesh") as logs:
            self.call("/pay/b", method="POST", body=b"x" * 70000, number="long")
        fields = [
            record.fields
            for record in logs.records
            if record.fields.get("request") == "long"
        ]
        self.assertEqual([line["status"] for line in fields], [413])
        self.assertIn("65536", fields[0]["reason"])

    def test_a_malformed_request_is_a_400_and_not_forwarded(self):
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

    def test_a_head_that_arrives_too_slowly_is_a_408(self):
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

    def test_chunked_bodies_and_pipelined_requests(self):
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

    def test_readiness_and_metrics_pages(self):
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
    def test_the_backend_server_never_runs_more_than_its_slots(self):
        routes = [configurations.make_route("look", service="desk")]
        with meshes.Mesh(
            services=[("desk", "a1"), ("desk", "a2")], routes=routes
        ) as mesh:
            for member in mesh.members:
                member.backend_server.seconds = 0.05
            results = []

            def call(member):
                results.append(member.call("/look/1")[0])

            threads = [
                threading.Thread(target=call, args=(mesh.members[n % 2],))
                for n in range(60)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            for member in mesh.members:
                self.assertLessEqual(member.backend_server.most_running, 3)
            self.assertEqual(len(results), 60)
            self.assertLessEqual(set(results), {200, 503})
            self.assertGreater(results.count(200), 30)


if __name__ == "__main__":
    unittest.main()

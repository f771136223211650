"""Long requests, and backend servers that answer them early or without end."""

import gc
import resource
import socket
import threading
import time
import unittest

from jackdawlanding.mesh import memory, messages, streams
from jackdawlanding.wire import http
from tests import configurations, meshes

UPLOAD = b"x" * 360_000
# What refers to the body of a request or an answer.
KEPT_TYPES = (messages.Call, messages.Reply, http.Request, http.Response)
LIMITS = {"maxBodyBytes": 64 << 20}


class UploadTest(unittest.TestCase):
    """A caller beside one backend server, and another one behind a link."""

    @classmethod
    def setUpClass(cls):
        cls.mesh = meshes.Mesh(
            services=[("desk", "a1"), ("archive", "b1")],
            routes=[
                configurations.make_route("near", service="desk", kind="upload"),
                configurations.make_route("far", service="archive", kind="upload"),
                configurations.make_route("look", service="desk"),
            ],
            limits=LIMITS,
        )
        cls.member = cls.mesh.members[0]
        cls.backend_servers = {
            "near": cls.member.backend_server,
            "far": cls.mesh.members[1].backend_server,
        }

    @classmethod
    def tearDownClass(cls):
        cls.mesh.close()

    def upload(self, target, **fields):
        fields = {"method": "POST", "body": UPLOAD, **fields}
        return self.member.call(target, **fields)

    def connect(self):
        address = (self.member.host, self.member.ports["outbound"])
        sock = socket.create_connection(address, timeout=5)
        self.addCleanup(sock.close)
        return sock

    def test_an_upload_arrives_whole_and_runs_once(self):
        for name, backend_server in self.backend_servers.items():
            status, _, body = self.upload(f"/{name}/1", number=f"{name}-upload")
            self.assertEqual((status, body), (200, b"ran " + UPLOAD))
            self.assertEqual(backend_server.runs.count(f"{name}-upload"), 1)

    def test_an_early_answer_is_delivered(self):
        """The body could not be sent on, and the answer was dropped with it.

        The backend server closes its connection, or keeps it and reads on.
        """
        body = bytes(4 << 20)
        for behaviour in ("early", "early-and-read-on"):
            for name, backend_server in self.backend_servers.items():
                target = f"/{name}/{behaviour}"
                backend_server.behaviours[target] = behaviour
                with self.subTest(target=target):
                    status, headers, answer = self.upload(target, body=body)
                    self.assertEqual((status, answer), (500, b"no room"))
                    self.assertIn("X-Server-Signature", headers)
                    self.assertEqual(self.upload(f"/{name}/next")[0], 200)

    def test_an_answer_without_end_is_a_502(self):
        """It filled the daemon's memory until the caller's deadline."""
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        for kind in ("value", "headers", "body", "chunks", "interim", "others"):
            target = f"/near/endless-{kind}"
            self.backend_servers["near"].behaviours[target] = f"endless-{kind}"
            with self.subTest(kind=kind):
                status, _, _ = self.upload(target, body=b"")
                self.assertEqual(status, 502)
        self.assertEqual(self.upload("/near/after")[0], 200)
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.assertLess((after - before) << 10, 96 << 20)

    def test_several_answers_without_end_share_the_buffers(self):
        backend_server = self.backend_servers["near"]
        backend_server.behaviours["/look/endless"] = "endless-body"
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        threads = [
            threading.Thread(target=self.member.call, args=("/look/endless",))
            for _ in range(12)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.assertLess((after - before) << 10, 160 << 20)
        self.assertEqual(self.member.call("/look/next")[0], 200)

    def test_a_caller_that_leaves_in_the_middle_frees_its_buffer(self):
        server = self.member.daemon.caller_server
        sock = self.connect()
        head = (
            b"POST /near/1 HTTP/1.1\r\nHost: near.example\r\nX-Request-Id: half\r\n"
            b"Content-Length: 360000\r\n\r\n"
        )
        sock.sendall(head + UPLOAD[:200_000])
        # A target of 7 characters, and three headers of 52 and their separators.
        held = 200_000 + 3 * http.HEADER_BYTES + 2 * (7 + 52 + 3 * 4)
        meshes.wait_until(lambda: server.room.held_bytes == held)
        sock.close()
        meshes.wait_until(lambda: server.room.held_bytes == 0)
        self.assertNotIn("half", self.backend_servers["near"].runs)

    def test_uploads_beyond_the_buffers_are_refused_as_not_run(self):
        """Many callers that send half of a large body filled the memory."""
        server = self.member.daemon.caller_server
        head = (
            b"POST /near/1 HTTP/1.1\r\nHost: near.example\r\n"
            b"X-Request-Id: %d\r\nContent-Length: 20000000\r\n\r\n"
        )
        socks = []
        for number in range(3):
            sock = self.connect()
            sock.sendall(head % number)
            socks.append(sock)

        def send(sock):
            try:
                for _ in range(19):
                    sock.sendall(bytes(1 << 20))
            except OSError:
                pass

        threads = [threading.Thread(target=send, args=(sock,)) for sock in socks]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        meshes.wait_until(
            lambda: (
                memory.MAXIMUM_REQUEST_BYTES / 2
                < server.room.held_bytes
                < memory.MAXIMUM_REQUEST_BYTES + (1 << 20)
            )
        )
        answers = []
        for sock in socks:
            sock.settimeout(0.3)
            try:
                answers.append(sock.recv(20))
            except TimeoutError:
                answers.append(b"")
            sock.close()
        self.assertGreaterEqual(answers.count(b"HTTP/1.1 503 Service"), 1)
        meshes.wait_until(lambda: server.room.held_bytes == 0)
        self.assertEqual(self.upload("/near/after")[0], 200)

    def test_a_refused_caller_that_still_sends_gets_its_answer(self):
        """Closing with unread bytes reset the connection and lost the 413."""
        sock = self.connect()
        sock.sendall(
            b"POST /near/1 HTTP/1.1\r\nHost: near.example\r\nX-Request-Id: big\r\n"
            b"Content-Length: 99000000\r\n\r\n"
        )
        time.sleep(0.1)
        sock.sendall(bytes(100_000))
        time.sleep(0.1)
        self.assertIn(b" 413 ", sock.recv(1000))
        started_at = time.monotonic()
        while sock.recv(1000):
            pass
        self.assertLess(time.monotonic() - started_at, streams.LINGER_SECONDS)

    def test_no_body_outlives_its_call(self):
        """Reference cycles kept bodies until the garbage collector ran.

        91 MB for eight uploads of 360 KB at a time.
        """
        self.upload("/far/1")
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for name in self.backend_servers:
            for number in range(5):
                self.assertEqual(self.upload(f"/{name}/{number}")[0], 200)
        time.sleep(0.2)
        gc.set_debug(gc.DEBUG_SAVEALL)
        self.addCleanup(gc.garbage.clear)
        self.addCleanup(gc.set_debug, 0)
        gc.collect()
        kept = [kind for kind in gc.garbage if isinstance(kind, KEPT_TYPES)]
        self.assertEqual(kept, [])

    def test_requests_sent_ahead_run_side_by_side(self):
        backend_server = self.backend_servers["near"]
        backend_server.seconds = 0.3
        self.addCleanup(setattr, backend_server, "seconds", 0.0)
        sock = self.connect()
        started_at = time.monotonic()
        for number in range(3):
            sock.sendall(
                b"GET /look/%d HTTP/1.1\r\nHost: look.example\r\n"
                b"X-Request-Id: ahead-%d\r\n\r\n" % (number, number)
            )
        data = b""
        while data.count(b"ran ") < 3:
            data += sock.recv(1000)
        self.assertLess(time.monotonic() - started_at, 0.6)
        places = [data.index(b"ahead-%d" % number) for number in range(3)]
        self.assertEqual(places, sorted(places))


class SlowReaderTest(unittest.TestCase):
    def test_a_stop_waits_until_a_slow_caller_has_read_its_answer(self):
        """The daemon ended as soon as it had written the answer to its buffer."""
        routes = [configurations.make_route("look", service="desk", kind="upload")]
        with meshes.Mesh(
            services=[("desk", "a1")],
            routes=routes,
            limits={**LIMITS, "idleTimeoutMs": 6000},
        ) as mesh:
            member = mesh.members[0]
            body = bytes(8 << 20)
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect((member.host, member.ports["outbound"]))
            sock.sendall(
                b"POST /look/1 HTTP/1.1\r\nHost: look.example\r\nX-Request-Id: s\r\n"
                b"Content-Length: %d\r\n\r\n" % len(body)
            )
            sock.sendall(body)
            data = sock.recv(100)
            member.run_in_loop(member.daemon.shut_down)
            time.sleep(2.8)
            while piece := sock.recv(1 << 20):
                data += piece
            sock.close()
            self.assertEqual(data.count(b"\0"), len(body))


if __name__ == "__main__":
    unittest.main()

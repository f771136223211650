"""Callers that nobody controls: daemons stay within their memory and go on serving."""

import http.client
import pathlib
import resource
import selectors
import socket
import time
import unittest

from tests import soak

CROWD = 400
DESCRIPTORS = 256
SEND_SECONDS = 20.0
SETTLE_SECONDS = 1.0
READ_BYTES = 1 << 12
# The largest body that the users' operator allows.
LARGEST_BODY = 64 << 20
LIMITS = {
    "maxHeaderBytes": 32 << 10,
    "maxBodyBytes": LARGEST_BODY,
    "headerTimeoutMs": 120_000,
    "idleTimeoutMs": 120_000,
}
HEAD = (
    "POST /pay/1 HTTP/1.1\r\nHost: pay.example\r\nX-Request-Id: {number}\r\n"
    "X-Deadline-Ms: 5000\r\n{fields}\r\n"
)
GET = (
    "GET /look/{path} HTTP/1.1\r\nHost: look.example\r\nX-Request-Id: {number}\r\n"
    "X-Deadline-Ms: 5000\r\n\r\n"
)


def make_chunks(size, *, count):
    """Return ``count`` chunks of ``size`` bytes each."""
    return (b"%x\r\n" % size + b"x" * size + b"\r\n") * count


class HostileCallersCase(unittest.TestCase):
    """Some daemons, and a crowd that calls the first of them."""

    size = 2

    def setUp(self):
        self.soak = soak.Soak(seed=211, size=self.size)
        self.addCleanup(self.stop)
        self.daemon, self.peer = self.soak.members[:2]
        self.soak.change_configuration(limits=LIMITS)
        for member in self.soak.members:
            member.backend_server.bodies["/pay/1"] = b"done"
            member.start()
        self.soak.wait_ready()
        self.crowd = []

    def stop(self):
        for sock in self.crowd:
            sock.close()
        for member in self.soak.members:
            member.stop()
        self.soak.store.stop()
        self.soak.remove_logs()

    def connect(self):
        """Return a connection of the crowd, ``None`` if it is refused."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        sock.settimeout(1.0)
        try:
            sock.connect((self.daemon.host, self.daemon.ports["outbound"]))
        except OSError:
            sock.close()
            return None
        sock.setblocking(False)
        self.crowd.append(sock)
        return sock

    def send_all(self, make_data, *, count=CROWD):
        """Send each member of a crowd's data, as far as the daemon takes it.

        :param make_data: returns the bytes of the member with a number.
        """
        waiting = {}
        for number in range(count):
            sock = self.connect()
            if sock is not None:
                waiting[sock] = memoryview(make_data(number))
        selector = selectors.DefaultSelector()
        for sock in waiting:
            selector.register(sock, selectors.EVENT_WRITE)
        end = time.monotonic() + SEND_SECONDS
        while waiting and time.monotonic() < end:
            ready = selector.select(0.5)
            if not ready:
                break
            for key, _ in ready:
                sock = key.fileobj
                try:
                    waiting[sock] = waiting[sock][sock.send(waiting[sock]) :]
                except OSError:
                    waiting[sock] = b""
                if not waiting[sock]:
                    selector.unregister(sock)
                    del waiting[sock]
        selector.close()
        time.sleep(SETTLE_SECONDS)

    def order(self, *, body=b"x", path="1"):
        """Send an ordinary order, its body after its head; return the status."""
        connection = self.daemon.connect()
        try:
            connection.putrequest("POST", f"/pay/{path}", skip_host=True)
            for name, value in (
                ("Host", "pay.example"),
                ("X-Request-Id", f"q{next(self.soak.numbers)}"),
                ("X-Deadline-Ms", "8000"),
                ("Content-Length", str(len(body))),
            ):
                connection.putheader(name, value)
            connection.endheaders()
            half = len(body) // 2
            for part in (body[:half], body[half:]):
                connection.send(part)
                time.sleep(0.05)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def check(self):
        """Check that the daemons live within their bounds, and serve an order."""
        statuses = [self.order(body=b"ordinary") for _ in range(3)]
        for member in self.soak.members:
            self.assertIsNone(member.process.poll())
            self.assertLess(member.read_peak_memory(), soak.MEMORY_MEGABYTES)
            names = list(pathlib.Path(f"/proc/{member.process.pid}/fd").iterdir())
            self.assertLess(len(names), len(self.crowd) + DESCRIPTORS)
        self.assertIn(200, statuses)

    def make_chunked(self, number, chunks):
        fields = "Transfer-Encoding: chunked\r\n"
        return HEAD.format(number=f"c{number}", fields=fields).encode() + chunks

    def read_slowly(self, size, *, count, ahead=1):
        """Let a crowd ask for answers and read next to nothing of them."""
        for member in self.soak.members:
            member.backend_server.bodies["/look/long"] = b"a" * size
        self.send_all(
            lambda number: b"".join(
                GET.format(path="long", number=f"r{number}.{place}").encode()
                for place in range(ahead)
            ),
            count=count,
        )
        end = time.monotonic() + 4
        while time.monotonic() < end:
            for sock in self.crowd:
                try:
                    sock.recv(READ_BYTES)
                except OSError:
                    continue
            time.sleep(0.2)
        self.check()


class ManyPeersTest(HostileCallersCase):
    size = 12

    def test_long_answers_of_many_peers_that_many_read_slowly(self):
        """Each peer's link took the parts of an answer, all at once."""
        self.read_slowly(12 << 20, count=200)


class HostileCallersTest(HostileCallersCase):
    def test_large_chunks_that_stop_short_of_their_end(self):
        chunks = make_chunks(1 << 18, count=4)
        self.send_all(lambda number: self.make_chunked(number, chunks))
        self.check()

    def test_small_chunks_that_stop_short_of_their_end(self):
        chunks = make_chunks(2, count=1 << 16)
        self.send_all(lambda number: self.make_chunked(number, chunks))
        self.check()

    def test_bodies_that_fit_one_segment_but_for_their_end(self):
        chunks = make_chunks(1 << 15, count=1)[:-1]
        self.send_all(lambda number: self.make_chunked(number, chunks), count=1500)
        self.check()

    def test_heads_of_small_fields_that_stop_short_of_their_end(self):
        fields = "ab:cd\r\n" * 4000
        self.send_all(
            lambda number: HEAD.format(number=f"h{number}", fields=fields)[:-2].encode()
        )
        self.check()

    def test_trailers_and_chunk_extensions_that_never_end(self):
        chunk = b"2;" + b"x=y;" * 4000
        self.send_all(lambda number: self.make_chunked(number, chunk))
        self.check()

    def test_requests_sent_ahead_of_a_slow_answer(self):
        for member in self.soak.members:
            member.backend_server.seconds = 3.0
        requests = b"".join(
            GET.format(path=1, number=f"p{place}").encode() for place in range(600)
        )
        self.send_all(lambda number: requests)
        for member in self.soak.members:
            member.backend_server.seconds = 0.05
        time.sleep(3.5)
        self.check()

    def test_long_answers_that_many_read_slowly(self):
        self.read_slowly(6 << 20, count=60)

    def test_short_answers_that_many_read_slowly(self):
        self.read_slowly(60_000, count=CROWD, ahead=20)

    def test_connections_that_take_all_descriptors(self):
        limits = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(self.daemon.process.pid, resource.RLIMIT_NOFILE, limits)
        self.send_all(lambda number: b"POST /pay/1 HTTP/1.1\r\n")
        self.check()

    def test_one_body_of_the_largest_size_is_served_in_calm(self):
        """It got 503: a body over 32 MiB was refused."""
        self.assertEqual(self.order(body=b"b" * LARGEST_BODY), 200)
        self.check()

    def test_one_body_of_the_largest_size_is_served_over_a_link(self):
        self.soak.store.put(f"servers/{self.daemon.backend_server.instance}", None)
        time.sleep(soak.CONFIGURATION_SECONDS)
        self.assertEqual(self.order(body=b"b" * LARGEST_BODY), 200)
        self.assertTrue(self.peer.backend_server.runs)
        self.check()


if __name__ == "__main__":
    unittest.main()

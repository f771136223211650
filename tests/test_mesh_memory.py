"""What daemons hold for others stays within the memory of the smallest machines."""

import concurrent.futures
import http.client
import time
import unittest

from tests import soak

ANSWER = b"a" * (12 << 20)
BODY = b"b" * (10 << 20)
LIMITS = {"maxBodyBytes": 32 << 20}
READ_BYTES = 1 << 16
READ_SECONDS = 0.025
DEADLINE_MILLIS = 6000
READERS = 40
THREADS = 70
ORDERS = 40
ORDER_SECONDS = 1.0


class MemoryTest(unittest.TestCase):
    def setUp(self):
        self.soak = soak.Soak(seed=201, size=8)
        self.addCleanup(self.stop)
        self.members = self.soak.members
        self.soak.change_configuration(limits=LIMITS)
        for member in self.members:
            member.backend_server.bodies["/look/large"] = ANSWER
            member.start()
        self.soak.wait_ready()

    def stop(self):
        for member in self.members:
            member.stop()
        self.soak.store.stop()
        self.soak.remove_logs()

    def serve_by_first(self):
        """Let all requests go to the first member, by links from the others."""
        self.first_server = self.members[0].backend_server
        self.first_server.bodies["/pay/2"] = b"done"
        self.first_server.seconds = 0.4
        for member in self.members[1:]:
            self.soak.store.put(f"servers/{member.backend_server.instance}", None)
        time.sleep(soak.CONFIGURATION_SECONDS)

    def exchange(self, member, target, *, body=None, pause=0.0):
        """Return the status and body of an answer that is read with pauses."""
        connection = member.connect()
        try:
            connection.request(
                "GET" if body is None else "POST",
                target,
                body=body,
                headers={
                    "Host": f"{target.split('/')[1]}.example",
                    "X-Request-Id": f"q{next(self.soak.numbers)}",
                    "X-Deadline-Ms": str(DEADLINE_MILLIS),
                },
            )
            response = connection.getresponse()
            answer = []
            while piece := response.read(READ_BYTES):
                answer.append(piece)
                time.sleep(pause)
            return response.status, b"".join(answer)
        except (OSError, http.client.HTTPException):
            # An early refusal of a large body may reset the connection.
            return None, b""
        finally:
            connection.close()

    def send_orders(self, member):
        """Send small orders; return the statuses, and the longest time of one."""
        statuses, seconds = [], []
        for _ in range(ORDERS):
            start = time.monotonic()
            statuses.append(self.exchange(member, "/pay/1", body=b"x")[0])
            seconds.append(time.monotonic() - start)
            time.sleep(0.05)
        return statuses, max(seconds)

    def check(self, orders):
        statuses, seconds = orders
        self.assertEqual(set(statuses), {200})
        self.assertLess(seconds, ORDER_SECONDS)
        for member in self.members:
            self.assertIsNone(member.process.poll())
            self.assertLess(member.read_peak_memory(), soak.MEMORY_MEGABYTES)

    def read_slowly(self, threads):
        """Start callers of the first member that read large answers slowly."""
        started = []
        for _ in range(READERS):
            started.append(
                threads.submit(
                    self.exchange, self.members[0], "/look/large", pause=READ_SECONDS
                )
            )
            time.sleep(0.08)
        return started

    def send_bodies(self, threads):
        """Start callers that send large bodies over links to the first server."""
        return [
            threads.submit(self.exchange, member, "/pay/2", body=BODY)
            for member in self.members[1:] * 3
        ]

    def check_answers(self, started, expected):
        """Check that some answers are whole, and all others refused."""
        results = [future.result() for future in started]
        self.assertLessEqual({status for status, _ in results}, {200, 503, 504})
        whole = [answer for status, answer in results if status == 200]
        self.assertGreater(len(whole), 0)
        self.assertEqual(set(whole), {expected})

    def test_slow_readers_of_large_answers_cost_no_other_caller_anything(self):
        """Answers that were not read yet took a daemon over its memory."""
        with concurrent.futures.ThreadPoolExecutor(THREADS) as threads:
            orders = threads.submit(self.send_orders, self.members[0])
            self.check_answers(self.read_slowly(threads), ANSWER)
        self.check(orders.result())

    def test_large_bodies_cost_no_other_caller_anything(self):
        """Bodies that arrived over links took a daemon over its memory."""
        self.serve_by_first()
        with concurrent.futures.ThreadPoolExecutor(THREADS) as threads:
            orders = threads.submit(self.send_orders, self.members[0])
            self.check_answers(self.send_bodies(threads), b"done")
        seen = [
            body for *_, path, _, body in self.first_server.seen if path == "/pay/2"
        ]
        self.assertEqual(set(seen), {BODY})
        self.check(orders.result())

    def test_slow_readers_and_large_bodies_leave_room_for_others(self):
        self.serve_by_first()
        with concurrent.futures.ThreadPoolExecutor(THREADS) as threads:
            orders = threads.submit(self.send_orders, self.members[0])
            readers = self.read_slowly(threads)
            self.check_answers(self.send_bodies(threads), b"done")
            self.check_answers(readers, ANSWER)
        self.check(orders.result())

"""Connections that are reset under load, between daemons, to servers and callers."""

import random
import threading
import time
import unittest

from tests import callers, meshes, proxies

CALLERS = 12
SECONDS = 4.0
RESET_INTERVAL_SECONDS = 0.08
SEEDS = (1, 2, 3)


class ResetTest(meshes.FleetCase):
    """Payments through one daemon while connections of all daemons are reset.

    An answer of 200 says that a payment ran once, 503 that it has not run; 502 and a
    reset connection of the caller say neither. None may run twice.
    """

    def setUp(self):
        self.results = {}
        self.lock = threading.Lock()

    def pay(self, mesh, number, end):
        count = 0
        while time.monotonic() < end:
            request_id = f"pay-{number}-{count}"
            count += 1
            try:
                status, _, _ = mesh.members[0].call(
                    "/pay/1", method="POST", body=b"x" * 3000, number=request_id
                )
            except OSError:
                status = 0
            with self.lock:
                self.results[request_id] = status

    def reset_some(self, generator, member, kinds):
        """Reset one random connection of a daemon; runs on its thread."""
        daemon = member.daemon
        streams = []
        if "links" in kinds:
            streams += [link._stream for link in daemon.links._links.values()]
            streams += [link.stream for link in daemon.link_server.links.values()]
        if "servers" in kinds:
            streams += [connection.stream for connection in daemon.executor._pool._open]
        if "callers" in kinds:
            streams += [
                connection.stream for connection in daemon.caller_server._connections
            ]
        streams = [stream for stream in streams if stream and stream.is_open]
        if streams:
            stream = generator.choice(streams)
            daemon.loop.unwatch(stream.sock.fileno())
            proxies.reset(stream.sock.dup())
            stream.close_and_notify(was_reset=True)

    def check(self, seed, kinds):
        generator = random.Random(seed)
        with self.make(slots=40) as mesh:
            for member in mesh.members:
                member.backend_server.seconds = 0.03
            end = time.monotonic() + SECONDS
            threads = [
                threading.Thread(target=self.pay, args=(mesh, number, end))
                for number in range(CALLERS)
            ]
            for thread in threads:
                thread.start()
            while time.monotonic() < end:
                time.sleep(RESET_INTERVAL_SECONDS)
                member = generator.choice(mesh.members)
                member.run_in_loop(
                    lambda member=member: self.reset_some(generator, member, kinds)
                )
            for thread in threads:
                thread.join()
            time.sleep(0.2)
            runs = [
                run for member in mesh.members for run in member.backend_server.runs
            ]
            status, _, _ = callers.call_at(
                mesh.members[0].host,
                mesh.members[0].ports["outbound"],
                target="/pay/after",
                method="POST",
            )
            self.assertEqual(status, 200)
        self.check_promises(runs)

    def check_promises(self, runs):
        for request_id, status in self.results.items():
            count = runs.count(request_id)
            self.assertLessEqual(count, 1, request_id)
            if status == 200:
                self.assertEqual(count, 1, request_id)
            if status == 503:
                self.assertEqual(count, 0, request_id)
        statuses = list(self.results.values())
        self.assertLessEqual(set(statuses), {0, 200, 502, 503, 504})
        self.assertGreater(statuses.count(200), 0.8 * len(statuses))

    def test_calls_survive_resets_of_links(self):
        """Nothing is in doubt: the other daemon knows what it has run."""
        for seed in SEEDS:
            self.results.clear()
            with self.subTest(seed=seed):
                self.check(seed, {"links"})
                self.assertNotIn(502, self.results.values())

    def test_resets_of_all_kinds_run_nothing_twice(self):
        for seed in SEEDS:
            self.results.clear()
            with self.subTest(seed=seed):
                self.check(seed, {"links", "servers", "callers"})


if __name__ == "__main__":
    unittest.main()

"""Failures of processes: kills, freezes, platform outages and planned stops."""

import contextlib
import json
import signal
import threading
import time
import unittest

from jackdawlanding.emulator import fleet
from tests import support

PAYOUTS = support.PAYOUTS.replace('calls = ["awards"]', "")
FLAGS = ("--fresh-seconds=2", "--gone-seconds=3", "--settle-seconds=0.3")


class FailureCase(unittest.TestCase):
    instances = 3
    service_seconds = 0.02
    text = PAYOUTS

    def setUp(self):
        self.fleet = fleet.Fleet(
            plans=[
                fleet.ServicePlan(
                    declaration=support.declare(self.text),
                    instances=self.instances,
                    service_seconds=self.service_seconds,
                )
            ],
            flags=FLAGS,
        )
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.nodes = self.fleet.list_nodes("payouts")

    def pay(self, node, key, *, timeout=10):
        """Send a payout; return its reply, or ``None`` if there is none."""
        try:
            return support.call(
                node.caller_port,
                "POST",
                "/payouts",
                body=b"x",
                headers={"Idempotency-Key": key},
                timeout=timeout,
            )
        except OSError:
            return None
        except support.http.client.HTTPException:
            return None

    def count_runs(self, key):
        counters = [self.fleet.read_backend(node) for node in self.nodes]
        return sum(counter["runs"].get(key, 0) for counter in counters if counter)

    def find_runner(self, key):
        """Return the node whose backend server runs a key."""
        for node in self.nodes:
            counters = self.fleet.read_backend(node)
            if counters and counters["runs"].get(key):
                return node
        return None


class OnceOnlyTest(FailureCase):
    service_seconds = 0.5

    def send_again_for(self, key, nodes, seconds):
        """Send a key again through all nodes in turn; return all replies."""
        replies = []
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for node in nodes:
                replies.append(self.pay(node, key))
            time.sleep(0.1)
        return [reply for reply in replies if reply]

    def start_payout(self, key):
        """Start a payout; return the node whose backend server runs it."""
        threading.Thread(
            target=self.pay, args=(self.nodes[0], key), daemon=True
        ).start()
        support.wait_until(lambda: self.find_runner(key), seconds=3)
        return self.find_runner(key)

    def test_a_killed_owner_does_not_make_a_payout_run_twice(self):
        """The owner dies while its backend server runs the payout."""
        for number in range(3):
            key = f"kill-{number}"
            runner = self.start_payout(key)
            runner.daemon.kill()
            self.fleet.platform.unlist_instance("payouts", runner.name)
            others = [node for node in self.nodes if node is not runner]
            replies = self.send_again_for(key, others, 5)
            self.assertEqual(self.count_runs(key), 1)
            self.assertNotIn("not-run", {reply.outcome for reply in replies})
            self.fleet.start_daemon(runner)
            self.fleet.platform.list_instance("payouts", runner.entry)
            self.fleet.wait_until_ready(runner)
            self.send_again_for(key, self.nodes, 1)
            self.assertEqual(self.count_runs(key), 1)

    def test_new_payouts_run_soon_after_an_owner_died(self):
        self.nodes[0].daemon.kill()
        self.fleet.platform.unlist_instance("payouts", self.nodes[0].name)
        time.sleep(5)
        statuses = [
            self.pay(self.nodes[1 + number % 2], f"after-{number}").status
            for number in range(12)
        ]
        self.assertEqual(statuses, [200] * 12)

    def test_a_frozen_owner_that_resumes_late_runs_nothing_twice(self):
        """Others have taken over its keys by the time it resumes."""
        key = "freeze-1"
        runner = self.start_payout(key)
        runner.daemon.send_signal(signal.SIGSTOP)
        self.fleet.platform.unlist_instance("payouts", runner.name)
        others = [node for node in self.nodes if node is not runner]
        self.send_again_for(key, others, 6)
        runner.daemon.send_signal(signal.SIGCONT)
        self.fleet.platform.list_instance("payouts", runner.entry)
        self.send_again_for(key, self.nodes, 3)
        self.assertEqual(self.count_runs(key), 1)

    def test_payouts_are_served_while_the_platform_is_down(self):
        self.fleet.platform.is_down = True
        time.sleep(5)
        replies = [
            self.pay(self.nodes[number % 3], f"d-{number}") for number in range(9)
        ]
        self.assertEqual({reply.status for reply in replies}, {200})

    def test_an_owner_cut_off_from_all_members_refuses(self):
        self.fleet.platform.is_down = True
        for node in self.nodes[1:]:
            node.daemon.send_signal(signal.SIGSTOP)
        time.sleep(5)
        replies = [
            self.pay(self.nodes[0], f"alone-{number}", timeout=7) for number in range(3)
        ]
        for node in self.nodes[1:]:
            node.daemon.send_signal(signal.SIGCONT)
        self.assertNotIn(200, {reply.status for reply in replies if reply})
        self.assertEqual(
            {self.count_runs(f"alone-{number}") for number in range(3)}, {0}
        )


class ShortGraceTest(FailureCase):
    """Calls last longer than the grace period of their daemon."""

    text = PAYOUTS.replace("grace_seconds = 10", "grace_seconds = 3")
    service_seconds = 6.0
    instances = 2

    def test_calls_that_outlast_the_grace_period_are_answered_before_its_end(self):
        leaving, other = self.nodes
        replies = {}

        def call(name, delay):
            time.sleep(delay)
            replies[name] = None
            with contextlib.suppress(OSError, support.http.client.HTTPException):
                replies[name] = support.call(
                    leaving.caller_port, "GET", f"/status/{name}"
                )

        callers = [
            threading.Thread(target=call, args=arguments)
            for arguments in (("early", 0.0), ("stopping", 1.3), ("late", 3.2))
        ]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        leaving.daemon.send_signal(signal.SIGTERM)
        self.assertEqual(leaving.daemon.wait(5), 0)
        for caller in callers:
            caller.join()
        outcomes = {
            name: reply and reply.headers.get("Jackdaw-Outcome")
            for name, reply in replies.items()
        }
        self.assertEqual(outcomes["early"], "unknown")
        self.assertEqual(outcomes["stopping"], "unknown")
        self.assertEqual(outcomes["late"], "not-run")


class ShutdownTest(FailureCase):
    service_seconds = 0.2

    def test_a_rolling_replacement_interrupts_no_call_and_exits_with_0(self):
        replies, stopped = [], threading.Event()

        def work(number):
            while not stopped.is_set():
                node = self.nodes[number % len(self.nodes)]
                replies.append(self.pay_or_ask(node, len(replies)))

        threads = [threading.Thread(target=work, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        codes = []
        for node in list(self.nodes):
            successor = self.fleet.add("payouts")
            node.daemon.send_signal(signal.SIGTERM)
            self.nodes[self.nodes.index(node)] = successor
            codes.append(node.daemon.wait(15))
            self.fleet.remove(node)
        stopped.set()
        for thread in threads:
            thread.join()
        self.assertEqual(codes, [0, 0, 0])
        cut = [reply for reply in replies if reply is None]
        self.assertEqual(cut, [])
        self.assertGreater(len(replies), 30)
        served = sum(1 for reply in replies if reply.status == 200)
        self.assertGreaterEqual(served / len(replies), 0.9)

    def test_a_stop_waits_until_a_slow_caller_has_read_its_answer(self):
        leaving = self.nodes[0]
        connection = support.http.client.HTTPConnection(
            "127.0.0.1", leaving.caller_port, timeout=10
        )
        self.addCleanup(connection.close)
        body = bytes(1 << 20)
        connection.request("POST", "/payouts", body, {"Idempotency-Key": "slow"})
        support.wait_until(lambda: self.count_runs("slow"))
        time.sleep(1.0)
        leaving.daemon.send_signal(signal.SIGTERM)
        time.sleep(2.5)
        answer = json.loads(connection.getresponse().read())
        self.assertEqual(len(answer["body"]), len(body))
        self.assertEqual(leaving.daemon.wait(10), 0)

    def pay_or_ask(self, node, number):
        """Make a call; return its reply, or ``None`` if it was cut off in flight.

        A refused connection counts as status 503: no call was in flight.
        """
        try:
            return support.call(node.caller_port, "GET", f"/status/{number}")
        except ConnectionRefusedError:
            return support.Reply(status=503, headers={}, body=b"")
        except (OSError, support.http.client.HTTPException):
            return None

    def test_a_listed_leaving_instance_gets_no_new_work(self):
        node = self.nodes[0]
        entry = {**node.entry, "state": "leaving"}
        self.fleet.platform.list_instance("payouts", entry)
        time.sleep(3)
        before = self.fleet.read_backend(node)["started"]
        for number in range(12):
            support.call(self.nodes[1].caller_port, "GET", f"/status/{number}")
        self.assertEqual(self.fleet.read_backend(node)["started"], before)
        self.assertEqual(node.daemon.wait(15), 0)


class ConfigurationTest(FailureCase):
    def list_versions(self):
        return [
            (self.fleet.read_status(node) or {}).get("publications", {}).get("payouts")
            for node in self.nodes
        ]

    def test_a_publication_is_in_force_everywhere_and_never_reverts(self):
        self.fleet.platform.freeze()
        self.fleet.publish("payouts", version=2)
        began = time.monotonic()
        support.wait_until(lambda: self.list_versions() == [2, 2, 2], seconds=12)
        self.assertLess(time.monotonic() - began, 12)
        self.fleet.platform.serve_old(True)
        self.nodes[0].daemon.kill()
        self.nodes[0].daemon.wait(5)
        self.fleet.start_daemon(self.nodes[0])
        support.wait_until(lambda: self.list_versions()[0] == 2, seconds=12)
        for _ in range(20):
            self.assertEqual(self.list_versions(), [2, 2, 2])
            time.sleep(0.1)

    def test_a_bad_publication_is_refused_and_audited(self):
        self.fleet.platform.publish("payouts", b'{"service": "payouts", "version": 9}')
        time.sleep(3)
        self.assertEqual(self.list_versions(), [1, 1, 1])
        causes = [record["cause"] for record in self.fleet.read_audit(self.nodes[0])]
        self.assertTrue(any("refused" in cause for cause in causes))
        self.assertEqual(self.pay(self.nodes[0], "still").status, 200)

    def test_a_publication_reaches_daemons_that_cannot_read_the_platform(self):
        self.fleet.publish("payouts", version=2)
        support.wait_until(lambda: 2 in self.list_versions(), seconds=5)
        self.fleet.platform.is_down = True
        support.wait_until(lambda: self.list_versions() == [2, 2, 2], seconds=12)


class CrashTest(FailureCase):
    instances = 4

    def count_dead(self):
        return sum(1 for node in self.nodes if node.backend.poll() is not None)

    def test_a_repeatable_crash_kills_two_backend_servers_at_most(self):
        for number in range(24):
            node = self.nodes[number % len(self.nodes)]
            reply = support.call(node.caller_port, "GET", "/crash")
            self.assertGreaterEqual(reply.status, 500)
        self.assertLessEqual(self.count_dead(), 2)
        living = [node for node in self.nodes if node.backend.poll() is None]
        for node in living:
            reply = support.call(node.caller_port, "GET", "/status/7")
            self.assertEqual(reply.status, 200)

    def test_a_once_only_crash_kills_one_backend_server(self):
        for number in range(16):
            node = self.nodes[number % len(self.nodes)]
            support.call(
                node.caller_port,
                "POST",
                "/payouts",
                headers={"Idempotency-Key": "boom", "X-Crash": "1"},
            )
        self.assertEqual(self.count_dead(), 1)

"""Calls through daemons and backend servers that run as separate processes."""

import unittest

from jackdawlanding.emulator import fleet
from tests import support


class PathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = fleet.Fleet(
            plans=[
                fleet.ServicePlan(
                    declaration=support.declare(support.PAYOUTS),
                    instances=2,
                    inner=(("awards", "/lookup"),),
                ),
                fleet.ServicePlan(
                    declaration=support.declare(support.AWARDS), instances=2
                ),
            ]
        )
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        cls.nodes = cls.fleet.list_nodes("payouts")

    def test_a_nested_call_reaches_the_next_service_and_is_answered(self):
        for node in self.nodes:
            reply = support.call(
                node.caller_port, "GET", "/status", headers={"X-Nonce": node.name}
            )
            self.assertEqual(reply.status, 200)
            self.assertEqual(reply.document["nonce"], node.name)
            self.assertIn(node.name, reply.document["inner"][0])

    def test_a_duplicate_payout_runs_once_whichever_daemon_receives_it(self):
        headers = {"Idempotency-Key": "path-1"}
        replies = [
            support.call(
                node.caller_port, "POST", "/payouts", body=b"x", headers=headers
            )
            for node in self.nodes * 3
        ]
        self.assertEqual({reply.status for reply in replies}, {200})
        runs = [
            self.fleet.read_backend(node)["runs"].get("path-1", 0)
            for node in self.nodes
        ]
        self.assertEqual(sum(runs), 1)

    def test_a_payout_without_a_key_is_refused_and_the_remedy_named(self):
        reply = support.call(self.nodes[0].caller_port, "POST", "/payouts", body=b"x")
        self.assertEqual(reply.status, 400)
        self.assertEqual(reply.outcome, "not-run")
        self.assertIn("Idempotency-Key", reply.document["detail"])

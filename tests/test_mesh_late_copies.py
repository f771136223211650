"""Refusals of a backend server that come a second time, late, on a kept connection."""

import time

from tests import meshes

# Longer than an entry takes to reach all daemons.
SPREAD_SECONDS = 0.5
# Longer than a server takes to begin a request whose caller got another answer.
RUN_SECONDS = 0.3
CALLS = 12


class LateCopyTest(meshes.FleetCase):
    def check_orders(self, mesh, caller):
        """Check that each order runs once and is answered by the one that ran it."""
        ids = [f"order-{number}" for number in range(CALLS)]
        statuses = [
            caller.call("/pay/1", method="POST", body=b"x", number=request_id)[0]
            for request_id in ids
        ]
        time.sleep(RUN_SECONDS)
        runs = [run for member in mesh.members for run in member.backend_server.runs]
        self.assertEqual(sorted(run for run in runs if run in ids), sorted(ids))
        self.assertEqual(set(statuses), {200})

    def test_a_late_copy_of_a_421_runs_no_order_twice(self):
        """An order ran at a restarted server, and at another as its 421 came again."""
        with self.make() as mesh:
            bank = mesh.members[1]
            while not bank.backend_server.runs:
                self.assertEqual(bank.call("/pay/1", method="POST")[0], 200)
            bank.backend_server.instance = "i-9"
            bank.backend_server.copies_refusals = True
            entry = bank.backend_server.make_entry(host=bank.host)
            mesh.store.put("servers/i-9", {**entry, "born": 2})
            time.sleep(SPREAD_SECONDS)
            self.check_orders(mesh, bank)

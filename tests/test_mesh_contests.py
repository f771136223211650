"""Sound entries of another writer, at the addresses of live backend servers."""

import time

from tests import configurations, meshes, oddentries

# What the platform's rules give all daemons to obey the store, and longer than an entry
# takes to reach all of them.
SPREAD_SECONDS = 0.5
CALLS = 30


class ContestTest(meshes.FleetCase):
    def write_copies(self, mesh, *, count=1, **fields):
        """Write copies of the entries of the service's backend servers."""
        for member in mesh.members[1:]:
            good = member.backend_server.make_entry(
                host=member.host, failure_domain=member.failure_domain
            )
            for number in range(count):
                key = f"servers/backup-{number}-{member.backend_server.instance}"
                mesh.store.put(key, {**good, **fields})
        time.sleep(SPREAD_SECONDS)

    def check_served(self, mesh, *, calls=CALLS):
        """Check that all orders are run once, by their service."""
        runs = [len(member.backend_server.runs) for member in mesh.members]
        statuses = []
        for _ in range(calls):
            for member in mesh.members:
                status, _, _ = member.call("/pay/1", method="POST", body=b"x")
                statuses.append(status)
        self.assertEqual(set(statuses), {200})
        ran = [len(member.backend_server.runs) for member in mesh.members]
        self.assertEqual(ran[0], runs[0])
        self.assertEqual(sum(ran) - sum(runs), len(statuses))

    def test_copies_of_a_service_that_nobody_names_take_no_server_away(self):
        """All orders got 503 for as long as the copies stood."""
        for born in (int(time.time() * 1000), 2**62):
            with self.subTest(born=born), self.make() as mesh:
                self.write_copies(mesh, service="nosuch", born=born)
                self.check_served(mesh)
                mesh.restart(mesh.members[0])
                mesh.wait_ready(7)
                self.check_served(mesh)

    def test_sound_copies_take_no_server_away(self):
        """All orders got 503 for as long as one copy of each server's entry stood."""
        other_service = {"service": "desk", "born": oddentries.NOW}
        for fields in (*oddentries.SOUND_FIELDS, other_service):
            with self.subTest(fields=fields), self.make() as mesh:
                self.check_served(mesh)
                self.write_copies(mesh, **fields)
                self.check_served(mesh)
                for number in range(4):
                    mesh.restart(mesh.members[number])
                    mesh.wait_ready(7)
                    self.check_served(mesh)

    def test_copies_at_another_port_of_a_live_host_take_no_server_away(self):
        """Their calls reach the daemon of the live server, which knows its address."""
        for fields in ({"born": 2**62}, {"state": "draining"}):
            with self.subTest(fields=fields), self.make() as mesh:
                for number, member in enumerate(mesh.members[1:]):
                    good = member.backend_server.make_entry(
                        host=member.host, failure_domain=member.failure_domain
                    )
                    copy = {**good, "address": f"{member.host}:1", **fields}
                    mesh.store.put(f"servers/backup-{number}", copy)
                time.sleep(SPREAD_SECONDS)
                self.check_served(mesh)
                for member in mesh.members[1:]:
                    server = member.backend_server
                    self.assertEqual(len(server.seen), len(server.runs))

    def test_copies_that_were_there_before_the_daemons_take_no_server_away(self):
        """The daemons know nothing of who answered."""
        for is_checked in (True, False):
            with (
                self.subTest(is_checked=is_checked),
                self.make(start=False) as mesh,
            ):
                for member in mesh.members:
                    member.backend_server.is_checked = is_checked
                self.write_copies(mesh, born=2**62)
                for member in mesh.members:
                    member.start()
                    self.addCleanup(member.stop)
                mesh.wait_ready(7)
                self.check_served(mesh)
                for member in mesh.members:
                    member.stop()

    def test_a_copy_that_drains_drains_no_other_and_a_ready_one_keeps_none(self):
        with self.make() as mesh:
            bank = mesh.members[1]
            self.write_copies(mesh, state="draining", born=2**62)
            self.check_served(mesh)
            self.write_copies(mesh, state="ready", born=2**62)
            entry = bank.backend_server.make_entry(host=bank.host, state="draining")
            mesh.store.put(f"servers/{bank.backend_server.instance}", entry)
            time.sleep(SPREAD_SECONDS)
            before = len(bank.backend_server.runs)
            for _ in range(CALLS):
                for member in mesh.members:
                    self.assertEqual(member.call("/pay/1", method="POST")[0], 200)
            self.assertEqual(len(bank.backend_server.runs), before)

    def test_two_hundred_copies_cost_few_arrivals(self):
        with self.make() as mesh:
            self.write_copies(mesh, count=200, born=2**62)
            self.check_served(mesh)
            for member in mesh.members[1:]:
                member.stop()
                member.start()
            mesh.wait_ready(604)
            time.sleep(SPREAD_SECONDS)
            self.check_served(mesh)
            for member in mesh.members[1:]:
                server = member.backend_server
                refused = len(server.seen) - len(server.runs)
                self.assertLess(refused, 10)
                self.assertLess(server.checks, 5)

    def test_a_server_that_starts_again_under_another_name_is_used_at_once(self):
        with self.make() as mesh:
            self.check_served(mesh)
            bank = mesh.members[1]
            bank.backend_server.instance = "i-9"
            entry = bank.backend_server.make_entry(host=bank.host)
            mesh.store.put("servers/i-9", {**entry, "born": 2})
            time.sleep(SPREAD_SECONDS)
            self.check_served(mesh)

    def test_copies_count_once_a_configuration_names_their_service(self):
        with self.make() as mesh:
            route = configurations.make_route("spare", service="spare")
            document = configurations.make(2, route, services=("desk", "spare"))
            backend_server = mesh.members[0].backend_server
            entry = backend_server.make_entry(host=mesh.members[0].host)
            mesh.store.put("servers/i-9", {**entry, "service": "spare"})
            time.sleep(SPREAD_SECONDS)
            known = mesh.members[1].daemon.fleet_state.directory
            self.assertEqual(known.list_service("spare"), ())
            mesh.store.put("op/config", document)
            meshes.wait_until(lambda: known.list_service("spare"), seconds=2.5)

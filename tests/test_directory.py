"""The newest record of each instance wins; removals wait after an outage."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from jackdawlanding.decisions import directory

HOST = "10.0.0.1"


def make_backend(
    instance="i-1", *, is_draining=False, host=HOST, service="desk", **fields
):
    return directory.Backend(
        instance=instance,
        service=service,
        host=host,
        port=80,
        failure_domain="a1",
        slots=4,
        is_draining=is_draining,
        **fields,
    )


def put(directory_, revision, backend, *, instance="i-1", now=0.0):
    return directory_.put(
        now=now, instance=instance, revision=revision, backend=backend
    )


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()

    def list_names(self, service):
        """Return the instances of a service at the address of all tests."""
        records = self.directory.list_at_address((HOST, 80), service=service)
        return [record.backend.instance for record in records]

    def test_the_highest_revision_wins_in_any_order(self):
        records = [
            (1, make_backend()),
            (2, make_backend(is_draining=True)),
            (3, None),
            (4, make_backend(host="10.0.0.2")),
        ]
        for seed in range(20):
            random.Random(seed).shuffle(records)
            shuffled = directory.Directory()
            for revision, backend in records:
                put(shuffled, revision, backend)
                put(shuffled, revision, backend)
            self.assertEqual(shuffled.get("i-1").host, "10.0.0.2")
            self.assertEqual(len(shuffled.list_service("desk")), 1)

    def test_hosts_of_services_that_nobody_names_come_last(self):
        """They had the places of the store's readers, and no daemon."""
        for number in range(1, 41):
            name, service = f"i-{number}", "desk" if number > 30 else "odd"
            backend = make_backend(name, host=f"10.0.0.{number}", service=service)
            put(self.directory, number, backend, instance=name)
        hosts = self.directory.hosts
        self.assertEqual(hosts.preferred_count, 40)
        self.directory.set_services(frozenset({"desk", "bank"}))
        self.assertEqual(hosts.preferred_count, 10)
        first = {hosts.get(position) for position in range(10)}
        self.assertEqual(first, {f"10.0.0.{number}" for number in range(31, 41)})
        put(self.directory, 50, make_backend(service="bank"))
        self.assertEqual(hosts.preferred_count, 11)
        put(self.directory, 51, None)
        self.assertEqual((hosts.preferred_count, len(hosts)), (10, 39))

    def test_an_entry_of_a_service_that_nobody_names_displaces_no_other(self):
        """The live server's service was refused for as long as the entry stood."""
        self.directory.set_services(frozenset({"desk"}))
        put(self.directory, 1, make_backend(born=5))
        odd = make_backend("odd", service="nosuch", is_draining=True, born=2**62)
        put(self.directory, 2, odd, instance="odd")
        self.assertEqual(len(self.directory.list_service("desk")), 1)
        self.assertEqual(self.directory.list_service("nosuch"), ())
        self.assertEqual(self.directory.daemon_count, 1)

    def test_an_entry_counts_while_a_configuration_names_its_service(self):
        put(self.directory, 1, make_backend(service="bank"))
        for services, count in (({"desk"}, 0), ({"desk", "bank"}, 1), ({"desk"}, 0)):
            self.directory.set_services(frozenset(services))
            self.assertEqual(len(self.directory.list_service("bank")), count)

    def test_a_backend_server_finds_itself_though_nobody_names_its_service(self):
        self.directory.set_services(frozenset({"bank"}))
        put(self.directory, 1, make_backend())
        self.assertEqual(self.list_names("desk"), ["i-1"])
        self.assertEqual(self.list_names("bank"), [])

    def test_a_change_of_service_moves_the_instance(self):
        put(self.directory, 1, make_backend())
        put(self.directory, 2, make_backend(service="bank"))
        self.assertEqual(self.directory.list_service("desk"), ())
        self.assertEqual(len(self.directory.list_service("bank")), 1)

    def test_a_heartbeat_alone_is_not_a_change(self):
        self.assertTrue(put(self.directory, 1, make_backend(warm_seconds=3.0)))
        self.assertFalse(put(self.directory, 2, make_backend(warm_seconds=1.0)))
        self.assertEqual(self.directory.get_revision("i-1"), 2)

    def test_removals_are_held_after_an_outage_of_the_store(self):
        put(self.directory, 1, make_backend())
        self.directory.confirm(revision=1, at=5.0)
        self.directory.record_store_contact(now=10.0)
        put(self.directory, 2, None, now=10.5)
        self.directory.confirm(revision=2, at=10.5)
        self.assertIsNotNone(self.directory.get("i-1"))
        self.assertEqual(
            self.directory.apply_held_removals(
                now=10.0 + directory.REGISTRATION_SECONDS
            ),
            ["i-1"],
        )
        self.assertIsNone(self.directory.get("i-1"))

    def test_a_hold_is_reported_once_with_its_cause_and_its_instances(self):
        put(self.directory, 1, make_backend())
        self.directory.confirm(revision=1, at=5.0)
        self.assertEqual(self.directory.record_store_contact(now=6.0), 0.0)
        self.assertEqual(self.directory.record_store_contact(now=10.0), 5.0)
        self.assertEqual(self.directory.record_store_contact(now=10.3), 0.0)
        put(self.directory, 2, None, now=10.5)
        self.assertEqual(set(self.directory.held_removals), {"i-1"})

    def test_the_shareable_revision_excludes_held_removals(self):
        put(self.directory, 1, make_backend())
        self.directory.confirm(revision=1, at=5.0)
        self.directory.record_store_contact(now=10.0)
        put(self.directory, 7, None, now=10.5)
        self.directory.confirm(revision=9, at=10.5)
        self.assertEqual(
            (self.directory.complete_revision, self.directory.shareable_revision),
            (9, 6),
        )
        self.directory.apply_held_removals(now=20.0)
        self.assertEqual(self.directory.shareable_revision, 9)
        self.assertEqual([name for name, _ in self.directory.list_since(6)], ["i-1"])

    def test_removals_apply_at_once_if_other_daemons_reached_the_store(self):
        put(self.directory, 1, make_backend())
        self.directory.confirm(revision=1, at=9.5)
        self.directory.record_store_contact(now=10.0)
        put(self.directory, 2, None, now=10.0)
        self.assertIsNone(self.directory.get("i-1"))

    def test_a_record_that_returns_cancels_its_held_removal(self):
        put(self.directory, 1, make_backend())
        self.directory.confirm(revision=1, at=5.0)
        self.directory.record_store_contact(now=10.0)
        put(self.directory, 2, None, now=10.5)
        put(self.directory, 3, make_backend(), now=11.0)
        self.assertEqual(self.directory.apply_held_removals(now=20.0), [])
        self.assertIsNotNone(self.directory.get("i-1"))

    def test_an_older_instance_at_the_same_address_is_ignored(self):
        put(self.directory, 5, make_backend(born=100))
        put(self.directory, 6, make_backend("i-2", born=200), instance="i-2")
        put(self.directory, 7, make_backend(is_draining=True, born=100))
        names = [backend.instance for backend in self.directory.list_service("desk")]
        self.assertEqual(names, ["i-2"])

    def test_an_older_instance_of_another_service_is_a_last_resort(self):
        put(self.directory, 5, make_backend(born=100))
        put(
            self.directory,
            6,
            make_backend("i-2", service="bank", born=200),
            instance="i-2",
        )
        self.assertEqual(len(self.directory.list_service("desk")), 1)
        self.assertEqual(len(self.directory.list_service("bank")), 1)
        self.assertEqual(self.directory.doubted, {"i-1"})

    def test_the_instance_that_answered_stays_in_use_beside_a_newer_record(self):
        """One copy of a live server's entry took it out of use."""
        put(self.directory, 1, make_backend(born=5))
        self.assertTrue(self.directory.confirm_occupant(instance="i-1"))
        for number, born in enumerate((5, 9, 2**62), 2):
            copy = make_backend("odd", born=born, is_draining=number == 4)
            put(self.directory, number, copy, instance="odd")
            listed = self.directory.list_service("desk")
            self.assertEqual([backend.instance for backend in listed], ["i-1"])
        self.assertEqual(self.directory.contested_count, 1)
        self.assertEqual(self.directory.doubted, set())

    def test_an_instance_that_was_disproved_is_used_no_more(self):
        """The daemon beside its address went on to expect it (fuzz)."""
        put(self.directory, 1, make_backend(born=5))
        put(self.directory, 2, make_backend("i-2", born=4), instance="i-2")
        self.directory.confirm_occupant(instance="i-1")
        self.assertTrue(self.directory.disprove(now=0.0, instance="i-1"))
        self.assertFalse(self.directory.disprove(now=0.0, instance="i-1"))
        self.assertEqual(self.directory.get_occupant((HOST, 80)), "")
        self.assertEqual(self.directory.list_service("desk")[0].instance, "i-2")
        self.assertEqual(self.list_names("desk"), ["i-2"])

    def test_a_disproof_binds_one_start_for_a_while(self):
        put(self.directory, 1, make_backend(born=5))
        put(self.directory, 2, make_backend("i-2", born=4), instance="i-2")
        self.directory.disprove(now=0.0, instance="i-1")
        put(self.directory, 3, make_backend(born=5, is_draining=True))
        self.assertEqual(self.list_names("desk"), ["i-2"])
        put(self.directory, 4, make_backend(born=6))
        self.assertEqual(self.list_names("desk"), ["i-1", "i-2"])
        self.directory.disprove(now=1.0, instance="i-1")
        self.directory.expire_disproofs(now=5.9)
        self.assertEqual(self.list_names("desk"), ["i-2"])
        self.directory.expire_disproofs(now=6.0)
        self.assertEqual(self.directory.list_service("desk")[0].instance, "i-1")

    def test_a_full_listing_removes_unlisted_instances(self):
        put(self.directory, 5, make_backend())
        put(self.directory, 9, make_backend("i-2"), instance="i-2")
        gone = self.directory.remove_unlisted(now=0.0, names=set(), revision=7)
        self.assertEqual(gone, ["i-1"])
        self.assertEqual(self.directory.history_from, 7)
        self.assertEqual(self.directory.list_instances(), ["i-2"])

    def test_held_removals_delay_the_shareable_confirmation(self):
        put(self.directory, 1, make_backend())
        self.directory.confirm(revision=1, at=5.0)
        self.directory.record_store_contact(now=10.0)
        put(self.directory, 2, None, now=10.5)
        self.directory.confirm(revision=2, at=11.0)
        self.assertEqual(self.directory.shareable_confirmed_at, 10.0)

    def test_records_since_a_revision(self):
        put(self.directory, 5, make_backend())
        put(self.directory, 6, None, instance="i-2")
        self.assertEqual([name for name, _ in self.directory.list_since(5)], ["i-2"])

    def test_the_newest_instance_at_an_address(self):
        put(self.directory, 5, make_backend())
        put(self.directory, 6, make_backend("i-2"), instance="i-2")
        self.assertEqual(self.list_names("desk"), ["i-2", "i-1"])
        self.assertEqual(self.directory.list_service("desk")[0].instance, "i-2")


INSTANCES = ("i-1", "i-2", "i-3", "i-4")
HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
PUTS = strategies.tuples(
    strategies.sampled_from(INSTANCES),
    strategies.integers(1, 30),
    strategies.one_of(
        strategies.none(),
        strategies.builds(
            make_backend,
            host=strategies.sampled_from(HOSTS),
            service=strategies.sampled_from(("desk", "bank")),
            is_draining=strategies.booleans(),
            born=strategies.integers(0, 2),
        ),
    ),
)


class IndexTest(unittest.TestCase):
    """What is kept for quick answers says the same as a look through all records."""

    @hypothesis.settings(max_examples=200, derandomize=True)
    @hypothesis.given(strategies.lists(PUTS, max_size=25))
    def test_indexes_agree_with_the_records(self, puts):
        """An index that misses one change sends requests to a server that is gone."""
        known = directory.Directory()
        records = {}
        for now, (name, number, backend) in enumerate(puts):
            # The store gives each revision to one item.
            revision = number * len(INSTANCES) + INSTANCES.index(name)
            if backend is not None:
                backend = backend._replace(instance=name)
            known.put(now=float(now), instance=name, revision=revision, backend=backend)
            if name not in records or records[name][0] < revision:
                records[name] = (revision, backend)
            self.check(known, records)
        known.apply_held_removals(now=1000.0)
        self.check(
            known, {name: record for name, record in records.items() if record[1]}
        )

    def check(self, known, records):
        def make_key(backend):
            return backend.born, records[backend.instance][0]

        backends = [backend for _, backend in records.values() if backend]
        self.assertEqual(len(known), len(backends))
        self.assertEqual(
            sorted(known.list_instances()),
            sorted(backend.instance for backend in backends),
        )
        for revision in (0, 40, 80):
            self.assertEqual(
                sorted(name for name, _ in known.list_since(revision)),
                sorted(
                    name for name, record in records.items() if record[0] > revision
                ),
            )
        for host in HOSTS:
            at_host = [backend for backend in backends if backend.host == host]
            self.assertEqual(host in known.hosts, bool(at_host))
            self.assertEqual(
                sorted(known.list_at_host(host)),
                sorted(backend.instance for backend in at_host),
            )
            newest = max(map(make_key, at_host), default=None)
            for service in ("desk", "bank"):
                own = [b for b in at_host if b.service == service]
                ready = [b for b in own if not b.is_draining] or own
                listed = [b for b in known.list_service(service) if b.host == host]
                self.assertEqual(
                    [make_key(backend) for backend in listed],
                    [max(map(make_key, ready))] if ready else [],
                )
                self.assertEqual(
                    [b.instance in known.doubted for b in listed],
                    [newest not in map(make_key, own)] if listed else [],
                )
                self.assertEqual(
                    [
                        make_key(record.backend)
                        for record in known.list_at_address((host, 80), service=service)
                    ],
                    sorted(map(make_key, own), reverse=True),
                )


if __name__ == "__main__":
    unittest.main()

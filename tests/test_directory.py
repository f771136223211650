"""The newest record of each instance wins; removals wait after an outage."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from jackdawlanding.decisions import directory, revisions

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
            self.directory.apply_held_changes(
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
        self.assertEqual(set(self.directory.held_changes), {"i-1"})

    def test_the_shareable_revision_excludes_held_changes(self):
        put(self.directory, 1, make_backend())
        self.directory.confirm(revision=1, at=5.0)
        self.directory.record_store_contact(now=10.0)
        put(self.directory, 7, None, now=10.5)
        self.directory.confirm(revision=9, at=10.5)
        self.assertEqual(
            (self.directory.complete_revision, self.directory.shareable_revision),
            (9, 6),
        )
        self.directory.apply_held_changes(now=20.0)
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
        self.assertEqual(self.directory.apply_held_changes(now=20.0), [])
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


class RestoreTest(unittest.TestCase):
    """What a store says that was restored from a copy."""

    def setUp(self):
        self.directory = directory.Directory()
        self.put(1, 5, make_backend(born=3))
        self.put(1, 6, make_backend("i-2", host="10.0.0.2", born=3), instance="i-2")

    def put(self, era, number, backend, *, instance="i-1", now=0.0):
        revision = revisions.make(era=era, number=number)
        return put(self.directory, revision, backend, instance=instance, now=now)

    def end_listing(self, era, number, *names, now=0.0):
        revision = revisions.make(era=era, number=number)
        gone = self.directory.remove_unlisted(now=now, names=names, revision=revision)
        self.directory.confirm(revision=revision, at=now)
        return gone

    def apply_at(self, now):
        return sorted(self.directory.apply_held_changes(now=now))

    def test_a_server_that_has_left_stays_out_though_a_copy_has_it(self):
        self.put(1, 9, None)
        self.assertFalse(self.put(2, 5, make_backend(born=3), now=1.0))
        self.assertIsNone(self.directory.get("i-1"))
        # Its entry is removed again.
        self.put(2, 8, None, now=3.0)
        self.assertEqual(self.apply_at(100.0), [])
        self.assertIsNone(self.directory.get("i-1"))

    def test_a_server_keeps_draining_though_a_copy_shows_it_ready(self):
        self.put(1, 9, make_backend(born=3, is_draining=True))
        self.assertFalse(self.put(2, 5, make_backend(born=3), now=1.0))
        self.assertTrue(self.directory.get("i-1").is_draining)
        self.put(2, 8, make_backend(born=3, is_draining=True), now=2.0)
        self.assertEqual(self.apply_at(100.0), [])
        self.assertTrue(self.directory.get("i-1").is_draining)

    def test_a_server_keeps_its_newest_start_though_a_copy_has_an_older_one(self):
        self.put(1, 9, make_backend(born=8, host="10.0.0.3"))
        self.put(2, 5, make_backend(born=3), now=1.0)
        self.assertEqual(self.directory.get("i-1").host, "10.0.0.3")

    def test_a_start_that_only_the_restored_store_knows_counts_at_once(self):
        for backend in (None, make_backend(born=3, is_draining=True)):
            self.setUp()
            self.put(1, 9, backend)
            self.assertTrue(self.put(2, 8, make_backend(born=4), now=1.0))
            self.assertEqual(self.directory.get("i-1").born, 4)

    def test_an_entry_that_is_written_anew_counts_at_once(self):
        self.put(1, 9, None)
        self.put(2, 5, make_backend(born=3), now=1.0)
        self.put(2, 8, make_backend(born=3), now=2.0)
        self.assertIsNotNone(self.directory.get("i-1"))

    def test_what_a_copy_has_counts_once_it_outlived_its_lease(self):
        self.put(1, 9, None)
        self.put(2, 5, make_backend(born=3), now=1.0)
        self.end_listing(2, 7, "i-1", "i-2", now=1.0)
        self.assertEqual(self.apply_at(1.0 + directory.LEASE_SECONDS - 0.1), [])
        self.assertEqual(self.apply_at(1.0 + directory.LEASE_SECONDS), ["i-1"])
        self.assertIsNotNone(self.directory.get("i-1"))
        self.assertEqual(
            self.directory.get_revision("i-1"), revisions.make(era=2, number=5)
        )

    def test_a_held_return_ends_with_a_listing_that_lacks_it(self):
        self.put(1, 9, None)
        self.put(2, 5, make_backend(born=3), now=1.0)
        self.end_listing(2, 9, "i-2", now=4.0)
        self.assertEqual(self.apply_at(100.0), [])
        self.assertIsNone(self.directory.get("i-1"))

    def test_a_server_that_a_copy_lacks_stays_until_it_had_time_to_register(self):
        self.put(2, 5, make_backend(born=3), now=1.0)
        self.assertEqual(self.end_listing(2, 5, "i-1", now=1.0), [])
        self.assertIsNotNone(self.directory.get("i-2"))
        self.put(2, 7, make_backend("i-2", host="10.0.0.2"), instance="i-2", now=2.0)
        self.assertEqual(self.apply_at(9.0), [])
        self.setUp()
        self.put(2, 5, make_backend(born=3), now=1.0)
        self.end_listing(2, 5, "i-1", now=1.0)
        due = 1.0 + directory.REGISTRATION_SECONDS
        self.assertEqual(self.apply_at(due - 0.1), [])
        self.assertEqual(self.apply_at(due), ["i-2"])
        self.assertEqual(self.directory.list_instances(), ["i-1"])

    def test_a_late_record_from_before_the_restore_does_not_end_a_hold(self):
        self.put(2, 5, make_backend(born=3), now=1.0)
        self.end_listing(2, 5, "i-1", now=1.0)
        late = make_backend("i-2", host="10.0.0.2", is_draining=True)
        self.put(1, 9, late, instance="i-2", now=1.1)
        self.assertEqual(self.apply_at(9.0), ["i-2"])

    def test_a_late_record_from_before_the_restore_adds_no_server(self):
        """Nothing ever removed it: the store has no event of it."""
        self.end_listing(2, 5, "i-1", "i-2")
        self.put(1, 9, make_backend("i-9"), instance="i-9")
        self.assertIsNone(self.directory.get("i-9"))

    def test_peers_are_told_of_a_restore_once_nothing_is_held(self):
        """A removal by listing is no event: who only reads on never learns of it."""
        before = revisions.make(era=1, number=6)
        self.directory.confirm(revision=before, at=0.0)
        self.put(2, 5, make_backend(born=3), now=1.0)
        self.end_listing(2, 5, "i-1", now=1.0)
        self.assertEqual(self.directory.shareable_revision, before)
        self.apply_at(9.0)
        after = revisions.make(era=2, number=5)
        self.assertEqual(self.directory.shareable_revision, after)

    def test_peers_are_told_nothing_of_what_is_held_over_two_restores(self):
        before = revisions.make(era=1, number=6)
        self.directory.confirm(revision=before, at=0.0)
        for era in (2, 3):
            self.put(era, 5, make_backend(born=3), now=era)
            self.end_listing(era, 5, "i-1", now=era)
            self.assertEqual(self.directory.shareable_revision, before)

    def test_a_start_that_is_newer_counts_at_once_after_two_removals(self):
        """What the instance was before the first removal was forgotten."""
        self.put(1, 9, None)
        self.put(1, 10, None)
        self.assertTrue(self.put(2, 8, make_backend(born=4), now=1.0))

    def test_a_first_listing_is_held_for_nothing(self):
        self.directory = directory.Directory()
        self.put(7, 5, make_backend(born=3))
        self.assertEqual(self.end_listing(7, 6, now=1.0), ["i-1"])


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
        known.apply_held_changes(now=1000.0)
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

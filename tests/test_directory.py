import random
import unittest

from jackdawlanding.decisions import directory

HOST = "10.0.0.1"


def make_backend(
    instance="i-1", *, is_draining=False, host=HOST, service="desk", **more
):
    return directory.Backend(
        instance=instance,
        service=service,
        host=host,
        port=80,
        failure_domain="a1",
        slots=4,
        is_draining=is_draining,
        **more,
    )


def put(one, revision, backend, *, instance="i-1", now=0.0):
    return one.put(now=now, instance=instance, revision=revision, backend=backend)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.one = directory.Directory()

    def test_the_highest_revision_wins_in_any_order(self):
        records = [
            (1, make_backend()),
            (2, make_backend(is_draining=True)),
            (3, None),
            (4, make_backend(host="10.0.0.2")),
        ]
        for seed in range(20):
            random.Random(seed).shuffle(records)
            one = directory.Directory()
            for revision, backend in records:
                put(one, revision, backend)
                put(one, revision, backend)
            self.assertEqual(one.get("i-1").host, "10.0.0.2")
            self.assertEqual(len(one.list_service("desk")), 1)

    def test_a_change_of_service_moves_the_instance(self):
        put(self.one, 1, make_backend())
        put(self.one, 2, make_backend(service="bank"))
        self.assertEqual(self.one.list_service("desk"), ())
        self.assertEqual(len(self.one.list_service("bank")), 1)

    def test_a_heartbeat_alone_is_no_change(self):
        self.assertTrue(put(self.one, 1, make_backend(warm_seconds=3.0)))
        self.assertFalse(put(self.one, 2, make_backend(warm_seconds=1.0)))
        self.assertEqual(self.one.get_revision("i-1"), 2)

    def test_removals_wait_after_the_store_was_away(self):
        put(self.one, 1, make_backend())
        self.one.confirm(revision=1, at=5.0)
        self.one.record_store_contact(now=10.0)
        put(self.one, 2, None, now=10.5)
        self.one.confirm(revision=2, at=10.5)
        self.assertIsNotNone(self.one.get("i-1"))
        self.assertEqual(
            self.one.apply_held_removals(now=10.0 + directory.LAPSE_SECONDS), ["i-1"]
        )
        self.assertIsNone(self.one.get("i-1"))

    def test_a_removal_that_is_held_is_not_told_as_known(self):
        put(self.one, 1, make_backend())
        self.one.confirm(revision=1, at=5.0)
        self.one.record_store_contact(now=10.0)
        put(self.one, 7, None, now=10.5)
        self.one.confirm(revision=9, at=10.5)
        self.assertEqual(
            (self.one.complete_revision, self.one.shareable_revision), (9, 6)
        )
        self.one.apply_held_removals(now=20.0)
        self.assertEqual(self.one.shareable_revision, 9)
        self.assertEqual([name for name, _ in self.one.list_since(6)], ["i-1"])

    def test_removals_apply_at_once_where_others_reached_the_store(self):
        put(self.one, 1, make_backend())
        self.one.confirm(revision=1, at=9.5)
        self.one.record_store_contact(now=10.0)
        put(self.one, 2, None, now=10.0)
        self.assertIsNone(self.one.get("i-1"))

    def test_an_entry_that_comes_back_was_never_gone(self):
        put(self.one, 1, make_backend())
        self.one.confirm(revision=1, at=5.0)
        self.one.record_store_contact(now=10.0)
        put(self.one, 2, None, now=10.5)
        put(self.one, 3, make_backend(), now=11.0)
        self.assertEqual(self.one.apply_held_removals(now=20.0), [])
        self.assertIsNotNone(self.one.get("i-1"))

    def test_an_older_instance_at_the_same_address_is_passed_over(self):
        put(self.one, 5, make_backend(born=100))
        put(self.one, 6, make_backend("i-2", born=200), instance="i-2")
        put(self.one, 7, make_backend(is_draining=True, born=100))
        names = [one.instance for one in self.one.list_service("desk")]
        self.assertEqual(names, ["i-2"])

    def test_an_older_instance_is_passed_over_in_another_service_too(self):
        put(self.one, 5, make_backend(born=100))
        put(self.one, 6, make_backend("i-2", service="bank", born=200), instance="i-2")
        self.assertEqual(self.one.list_service("desk"), ())
        self.assertEqual(len(self.one.list_service("bank")), 1)

    def test_a_listing_removes_what_it_does_not_name(self):
        put(self.one, 5, make_backend())
        put(self.one, 9, make_backend("i-2"), instance="i-2")
        gone = self.one.remove_unlisted(now=0.0, names=set(), revision=7)
        self.assertEqual(gone, ["i-1"])
        self.assertEqual(self.one.history_from, 7)
        self.assertEqual(self.one.list_instances(), ["i-2"])

    def test_what_is_held_is_not_vouched_for(self):
        put(self.one, 1, make_backend())
        self.one.confirm(revision=1, at=5.0)
        self.one.record_store_contact(now=10.0)
        put(self.one, 2, None, now=10.5)
        self.one.confirm(revision=2, at=11.0)
        self.assertEqual(self.one.shareable_confirmed_at, 10.0)

    def test_news_since_a_revision(self):
        put(self.one, 5, make_backend())
        put(self.one, 6, None, instance="i-2")
        self.assertEqual([name for name, _ in self.one.list_since(5)], ["i-2"])

    def test_the_newest_instance_at_an_address(self):
        put(self.one, 5, make_backend())
        put(self.one, 6, make_backend("i-2"), instance="i-2")
        self.assertEqual(self.one.find_by_address(HOST, 80).instance, "i-2")


if __name__ == "__main__":
    unittest.main()

"""What a daemon knows of backend servers from their answers and from replies."""

import types
import unittest

from jackdawlanding.decisions import directory, notices
from jackdawlanding.platform import answers

LIMITED = notices.Notice(rate=5.0)
LEAVING = notices.Notice(is_leaving=True)


class LocalNoticeTest(unittest.TestCase):
    def setUp(self):
        self.local = notices.LocalNotice()

    def record(self, notice, *, now, sent_at=None, instance="i-1", is_success=True):
        return self.local.record_answer(
            now=now,
            sent_at=now if sent_at is None else sent_at,
            instance=instance,
            notice=notice,
            is_success=is_success,
        )

    def test_only_changes_are_reported(self):
        self.assertFalse(self.record(notices.EMPTY, now=1.0))
        self.assertTrue(self.record(LIMITED, now=2.0))
        self.assertFalse(self.record(LIMITED, now=3.0))
        self.assertTrue(self.record(notices.EMPTY, now=4.0))

    def test_an_answer_to_an_earlier_request_lifts_no_limit(self):
        self.record(LIMITED, now=2.0)
        self.record(notices.EMPTY, now=2.1, sent_at=1.9)
        self.assertEqual(self.local.current, LIMITED)
        self.record(notices.EMPTY, now=2.2, sent_at=2.1)
        self.assertEqual(self.local.current, notices.EMPTY)

    def test_a_refusal_without_the_header_lifts_no_limit(self):
        self.record(LIMITED, now=2.0)
        self.record(notices.EMPTY, now=2.2, sent_at=2.1, is_success=False)
        self.assertEqual(self.local.current, LIMITED)

    def test_a_leave_is_never_taken_back(self):
        self.record(LEAVING, now=2.0)
        self.record(notices.EMPTY, now=3.0)
        self.assertTrue(self.local.is_leaving("i-1"))

    def test_a_call_tells_only_what_no_answer_has_told(self):
        self.assertTrue(self.adopt(LIMITED, now=1.0))
        self.assertFalse(self.adopt(notices.Notice(rate=9.0), now=1.1))
        self.record(notices.EMPTY, now=3.0)
        self.assertFalse(self.adopt(LIMITED, now=4.0))
        self.assertEqual(self.local.current, notices.EMPTY)

    def adopt(self, notice, *, now, born=0):
        dated = notices.DatedNotice(notice=notice, born=born)
        return self.local.adopt(now=now, instance="i-1", dated=dated)

    def test_a_call_does_not_tell_of_an_earlier_start(self):
        self.local.identify(instance="i-1", born=2)
        self.assertFalse(self.adopt(LEAVING, now=1.0, born=1))
        self.assertTrue(self.adopt(LEAVING._replace(rate=5.0), now=1.0, born=1))
        self.assertEqual(self.get("i-1"), LIMITED)
        self.local = notices.LocalNotice()
        self.local.identify(instance="i-1", born=2)
        self.assertTrue(self.adopt(LIMITED, now=1.0, born=3))
        self.assertFalse(self.local.identify(instance="i-1", born=3))
        self.assertEqual(self.get("i-1"), LIMITED)

    def test_a_notice_is_of_the_backend_server_that_gave_it(self):
        self.record(LEAVING, now=1.0)
        self.assertFalse(self.local.is_leaving("i-2"))
        self.assertIsNone(self.local.get("i-2"))

    def get(self, instance):
        return self.local.get(instance).notice

    def test_an_answer_of_the_next_backend_server_ends_the_notice(self):
        self.record(LIMITED, now=1.0)
        self.assertTrue(self.record(notices.EMPTY, now=1.1, instance="i-2"))
        self.assertEqual(self.get("i-2"), notices.EMPTY)

    def test_another_start_in_the_directory_ends_the_notice(self):
        for instance, born in (("i-1", 2), ("i-2", 1)):
            self.local = notices.LocalNotice()
            self.local.identify(instance="i-1", born=1)
            self.record(LEAVING, now=1.0)
            self.assertFalse(self.local.identify(instance="i-1", born=1))
            self.assertTrue(self.local.identify(instance=instance, born=born))
            self.assertFalse(self.local.is_leaving("i-1"))

    def test_the_first_entry_of_a_start_ends_a_leave_of_an_unknown_one(self):
        """It may be the next start; a limit is lifted by its answers."""
        self.record(LEAVING._replace(rate=5.0), now=1.0)
        self.assertTrue(self.local.identify(instance="i-1", born=2))
        self.assertEqual(self.get("i-1"), LIMITED)

    def test_an_entry_that_does_not_tell_the_start_ends_no_notice(self):
        self.local.identify(instance="i-1", born=1)
        self.record(LEAVING, now=1.0)
        for born in (0, 1):
            self.assertFalse(self.local.identify(instance="i-1", born=born))
            self.assertTrue(self.local.is_leaving("i-1"))

    def test_a_notice_that_came_before_the_directory_s_entry_holds(self):
        self.local.identify(instance="i-1", born=1)
        self.record(LIMITED, now=1.0, instance="i-2")
        self.assertFalse(self.local.identify(instance="i-1", born=1))
        self.assertEqual(self.get("i-2"), LIMITED)
        self.assertFalse(self.local.identify(instance="i-2", born=1))
        self.assertEqual(self.get("i-2"), LIMITED)


class RemoteNoticesTest(unittest.TestCase):
    def setUp(self):
        self.remote = notices.RemoteNotices()
        self.directory = directory.Directory()

    def make(self, instance, *, born):
        return directory.Backend(instance, "desk", "h", 1, "a1", 4, False, born=born)

    def record(self, *, now, notice, born=1, told=0, is_answer=True):
        """Record a notice of an instance, by default of its first start."""
        self.remote.record(
            now=now,
            backend=self.make("i", born=born),
            dated=notices.DatedNotice(notice=notice, born=told),
            is_answer=is_answer,
            directory=self.directory,
        )

    def put(self, instance, *, born=1):
        backend = self.make(instance, born=born)
        self.revision = getattr(self, "revision", 0) + 1
        self.directory.put(
            now=0.0, instance=instance, revision=self.revision, backend=backend
        )

    def test_an_empty_notice_removes_the_one_before(self):
        self.record(now=0.0, notice=LIMITED)
        self.assertEqual(self.remote.get("i").notice, LIMITED)
        self.record(now=1.0, notice=notices.EMPTY)
        self.assertIsNone(self.remote.get("i"))

    def test_a_leave_outlives_the_entry_for_longer_than_the_backend_server(self):
        """An entry may come back while its backend server still leaves."""
        self.record(now=0.0, notice=LEAVING)
        self.remote.apply_directory(now=300.0, directory=self.directory)
        self.put("i")
        self.remote.apply_directory(now=301.0, directory=self.directory)
        self.assertEqual(self.remote.leaving, {"i"})

    def test_a_backend_server_that_starts_again_is_not_leaving(self):
        self.record(now=0.0, notice=LEAVING)
        self.put("i", born=2)
        self.remote.apply_directory(now=1.0, directory=self.directory)
        self.assertEqual(self.remote.leaving, frozenset())

    def test_an_entry_that_does_not_tell_the_start_ends_no_leave(self):
        self.record(now=0.0, notice=LEAVING)
        for born in (0, 1):
            self.put("i", born=born)
            self.remote.apply_directory(now=1.0, directory=self.directory)
            self.assertEqual(self.remote.leaving, {"i"})

    def test_a_reply_tells_of_a_backend_server_whose_start_is_not_known(self):
        self.put("i", born=0)
        self.record(now=1.0, notice=LEAVING)
        self.assertEqual(self.remote.leaving, {"i"})

    def test_a_late_reply_of_an_earlier_start_tells_nothing_of_the_next(self):
        self.put("i", born=2)
        self.record(now=1.0, notice=LEAVING)
        self.assertEqual(self.remote.leaving, frozenset())

    def test_a_daemon_that_knows_an_earlier_start_tells_nothing_of_the_next(self):
        self.put("i", born=2)
        for told in (0, 1):
            self.record(now=1.0, notice=LEAVING, born=2, told=told, is_answer=False)
            self.assertEqual(self.remote.leaving, frozenset())

    def test_a_reply_that_was_overtaken_takes_back_no_leave(self):
        self.record(now=0.0, notice=LEAVING)
        for notice in (LIMITED, notices.EMPTY):
            self.record(now=1.0, notice=notice)
            self.assertEqual(self.remote.leaving, {"i"})

    def test_an_answer_tells_of_the_start_that_was_called_or_a_later_one(self):
        """The daemon beside it may know of an earlier start only."""
        self.put("i", born=2)
        self.record(now=1.0, notice=LEAVING, born=2, told=1)
        self.assertEqual(self.remote.leaving, {"i"})

    def test_a_limit_holds_until_an_answer_lifts_it(self):
        self.record(now=0.0, notice=LEAVING._replace(rate=5.0))
        self.put("i", born=2)
        self.remote.apply_directory(now=1.0, directory=self.directory)
        self.assertEqual(self.remote.get("i").notice, LIMITED)

    def test_a_notice_of_a_start_that_is_not_in_the_directory_yet_holds(self):
        self.put("i", born=1)
        self.record(now=1.0, notice=LEAVING, born=1, told=2)
        for born in (1, 2):
            self.put("i", born=born)
            self.remote.apply_directory(now=1.0, directory=self.directory)
            self.assertEqual(self.remote.leaving, {"i"})

    def test_notices_of_instances_that_are_gone_are_forgotten_in_the_end(self):
        self.record(now=0.0, notice=LEAVING)
        now = notices.RETENTION_SECONDS + 1
        self.remote.apply_directory(now=now, directory=self.directory)
        self.assertEqual(self.remote.leaving, frozenset())


class DecodeTest(unittest.TestCase):
    def decode(self, **values):
        index = {
            name.replace("_", "-").encode(): value for name, value in values.items()
        }
        response = types.SimpleNamespace(get_header=lambda name: index.get(name, b""))
        return answers.decode_notice(response)

    def test_headers_are_decoded(self):
        self.assertEqual(self.decode(), notices.EMPTY)
        self.assertEqual(self.decode(server_limit=b"5.0"), LIMITED)
        self.assertEqual(self.decode(server_limit=b"0"), notices.Notice(rate=0.0))
        self.assertEqual(self.decode(server_leaving=b"1"), LEAVING)
        self.assertEqual(self.decode(server_leaving=b"0"), notices.EMPTY)

    def test_values_that_are_no_rate_are_logged_and_ignored(self):
        for value in (b"many", b"-1", b"nan", b"inf"):
            with self.assertLogs("jackdaw.platform") as logs:
                self.assertEqual(self.decode(server_limit=value), notices.EMPTY)
            self.assertIn("is no number of requests a second", logs.output[0])


if __name__ == "__main__":
    unittest.main()

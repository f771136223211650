"""The platform adapter: valid and malformed documents, and request targets."""

import base64
import json
import unittest

from jackdawlanding.platform import documents, targets
from jackdawlanding.wire import http
from tests import configurations, oddentries


def encode(value):
    return json.dumps(value).encode()


def make_entry(**changes):
    entry = {
        "service": "desk",
        "address": "10.0.0.9:8080",
        "zone": "a1",
        "version": "v1",
        "maxConcurrency": 72,
        "state": "ready",
        "warmupRemainingMs": 500,
        "sequence": 4,
        "born": 1700000000000,
    }
    entry.update(changes)
    return encode({key: value for key, value in entry.items() if value is not ...})


class BackendTest(unittest.TestCase):
    def test_a_valid_entry(self):
        backend = documents.decode_backend("servers/i-7", make_entry())
        self.assertEqual(backend.instance, "i-7")
        self.assertEqual((backend.host, backend.port), ("10.0.0.9", 8080))
        self.assertEqual(backend.slots, 72)
        self.assertEqual(backend.warm_seconds, 0.5)
        self.assertFalse(backend.is_draining)

    def test_entries_of_other_writers_are_refused(self):
        for changes in (
            {"service": ...},
            {"service": 7},
            {"address": 7},
            {"address": "nowhere"},
            {"maxConcurrency": "72"},
            {"maxConcurrency": True},
            {"maxConcurrency": 0},
            {"state": "resting"},
            {"state": ...},
            {"zone": None},
            {"warmupRemainingMs": "soon"},
            {"warmupRemainingMs": float("nan")},
            {"warmupRemainingMs": 10**400},
            {"warmupRemainingMs": -(10**400)},
            {"address": "10.0.0.9:99999"},
            {"address": "10.0.0.9:0"},
            {"address": ":80"},
            {"address": "server.example:80"},
            {"address": "10.0.0.999:80"},
            {"address": "\ud800:80"},
            {"service": "\ud800"},
            {"maxConcurrency": 10**30},
        ):
            with (
                self.subTest(changes=changes),
                self.assertRaises(documents.DocumentError),
            ):
                documents.decode_backend("servers/i-7", make_entry(**changes))
        for data in (b"", b"\xff\xfe", b"[]", b"7", b"null", b"[" * 100000):
            with self.assertRaises(documents.DocumentError):
                documents.decode_backend("servers/i-7", data)

    def test_an_error_quotes_no_more_than_the_start_of_a_value(self):
        for changes in (
            {"address": "10.0.0.9:" + "9" * 10**6},
            {"address": "x" * 10**6 + ":80"},
            {"state": "x" * 10**6},
            {"service": [["x" * 10**6] * 9]},
        ):
            with self.subTest(changes=list(changes)):
                try:
                    documents.decode_backend("servers/i-7", make_entry(**changes))
                except documents.DocumentError as error:
                    self.assertLess(len(str(error)), 1000)

    def test_an_odd_entry_names_no_backend_server(self):
        for label, data in oddentries.list_odd_entries(json.loads(make_entry())):
            with self.subTest(entry=label), self.assertRaises(documents.DocumentError):
                documents.decode_backend("servers/i-7", data)
        for key in oddentries.ODD_KEYS:
            with self.subTest(key=key), self.assertRaises(documents.DocumentError):
                documents.decode_backend(key, make_entry())

    def test_a_sound_entry_may_lack_its_start_and_have_unknown_fields(self):
        """The users' example of an entry has no ``born``."""
        backend = documents.decode_backend("servers/i-7", make_entry(born=...))
        self.assertEqual(backend.born, 0)
        entry = make_entry(colour="red", note=None, warmupRemainingMs=0.5)
        self.assertEqual(
            documents.decode_backend("servers/i-7", entry).warm_seconds, 0.0005
        )


class ConfigurationTest(unittest.TestCase):
    def test_routes_services_and_limits(self):
        document = configurations.make(
            0x1C,
            configurations.make_route(
                "look", split={"desk": 90, "bank": 10}, timeout=1500
            ),
            configurations.make_route("pay", service="bank", kind="unsafe"),
            services=("desk", "bank"),
        )
        configuration = documents.decode_configuration(encode(document))
        self.assertEqual(configuration.version, 28)
        look, pay = configuration.routes
        self.assertEqual(look.timeout, 1.5)
        self.assertTrue(look.is_safe)
        self.assertEqual([share.weight for share in look.shares], [90, 10])
        self.assertFalse(pay.is_safe)
        self.assertEqual(configuration.limits.idle_seconds, 1.5)

    def test_uploads_must_not_run_twice(self):
        route = configurations.make_route("photos", service="desk", kind="upload")
        configuration = documents.decode_configuration(
            encode(configurations.make(3, route))
        )
        self.assertFalse(configuration.routes[0].is_safe)
        self.assertEqual(configuration.warnings, ())

    def test_an_unknown_word_does_not_stop_the_fleet(self):
        """A newer platform may write words that this version doesn't know.

        When the whole configuration was refused for one unknown route type, no
        request at all was served.
        """
        document = configurations.make(
            3,
            configurations.make_route("odd", service="desk", kind="perhaps"),
            configurations.make_route("look", service="desk", colour="red"),
        )
        document["resources"].append(
            {"entryKind": "mirrors", "metadata": {"name": "m"}, "spec": {}}
        )
        untyped = configurations.make_route("untyped", service="desk")
        del untyped["spec"]["routeType"]
        document["resources"].append(untyped)
        configuration = documents.decode_configuration(encode(document))
        self.assertEqual(
            [(route.name, route.is_safe) for route in configuration.routes],
            [("odd", False), ("look", True), ("untyped", False)],
        )
        self.assertEqual(len(configuration.warnings), 3)
        for word in ("'perhaps'", "'mirrors'", "'untyped'"):
            self.assertIn(word, " ".join(configuration.warnings))

    def test_malformed_documents_are_refused(self):
        good = configurations.make(3, configurations.make_route("a", service="desk"))
        empty = json.loads(json.dumps(good))
        empty["resources"][0]["spec"]["trafficSplit"] = [{"service": "x", "weight": 0}]
        endless = json.loads(json.dumps(good))
        endless["resources"][0]["spec"]["timeoutMs"] = float("inf")
        ranks = [json.loads(json.dumps(good)) for _ in range(2)]
        for document, value in zip(ranks, (float("inf"), float("nan")), strict=True):
            document["resources"][0]["spec"]["priority"] = value
        large = json.loads(json.dumps(good))
        large["resources"][0]["spec"]["timeoutMs"] = 10**400
        for data in (
            encode(good)[:-9],
            encode(empty),
            encode(endless),
            encode(large),
            *map(encode, ranks),
            b"{}",
            b"[1]",
            b"[" * 100000,
        ):
            with self.assertRaises(documents.DocumentError):
                documents.decode_configuration(data)


class PageTest(unittest.TestCase):
    def test_items_and_events(self):
        value = base64.b64encode(b"x").decode()
        item = {"key": "a", "value": value, "revision": 4, "created": 4, "lease": 0}
        page = documents.decode_page(
            encode({"items": [item], "hasMore": True, "at": 9})
        )
        self.assertEqual((page.revision, page.has_more), (9, True))
        self.assertEqual(page.items[0].value, b"x")
        removed = {"key": "b", "revision": 6, "removed": True}
        page = documents.decode_page(encode({"events": [removed], "at": 9}))
        self.assertIsNone(page.items[0].value)

    def test_the_name_of_an_odd_key_can_be_sent_to_a_peer_and_is_its_own(self):
        """A removal under a key with a lone surrogate stopped all updates.

        Later, all such keys had one name.
        """
        names = ["\ud800", "\ud801", "\ufffd", "\ufffdd800;", "d800;", "?", "\udcff"]
        items = [
            {"key": f"servers/{name}", "revision": 6, "removed": True} for name in names
        ]
        page = documents.decode_page(encode({"events": items, "at": 9}))
        keys = [item.key for item in page.items]
        self.assertEqual(keys, [f"servers/{name}" for name in names])
        sent = [documents.get_instance(key).encode() for key in keys]
        self.assertEqual(len(set(sent)), len(names))
        self.assertEqual((sent[4], sent[5]), (b"d800;", b"?"))

    def test_a_key_that_is_no_utf_8_keeps_its_bytes_apart(self):
        data = b'{"events": [{"key": "%b", "revision": 6, "removed": true}], "at": 9}'
        odd_keys = (b"\xff", b"\xfe", b"\xc3(", b"?")
        pages = [documents.decode_page(data % key) for key in odd_keys]
        self.assertEqual(len({page.items[0].key for page in pages}), 4)

    def test_a_value_that_is_not_base64_is_empty(self):
        item = {"key": "a", "value": "&&&", "revision": 4}
        page = documents.decode_page(encode({"items": [item], "at": 9}))
        self.assertEqual(page.items[0].value, b"")

    def test_the_era_of_an_answer(self):
        for headers, era in (((), 0), (((b"store-era", b"12"),), 12)):
            response = http.Response(status=200, headers=headers)
            self.assertEqual(documents.decode_era(response), era)
        response = http.Response(status=200, headers=((b"Store-Era", b"-1"),))
        with self.assertRaises(documents.DocumentError):
            documents.decode_era(response)

    def test_malformed_answers_are_refused(self):
        for data in (
            b"",
            b"{}",
            b"[]",
            encode({"items": [{}], "at": 9}),
            b"[" * 100000,
        ):
            with self.assertRaises(documents.DocumentError):
                documents.decode_page(data)


class TargetsTest(unittest.TestCase):
    def test_targets_contain_their_parameters(self):
        self.assertIn("after=a%2Fb", targets.format_range("", after="a/b"))
        self.assertIn("after=a%ED%A0%BD", targets.format_range("", after="a\ud83d"))
        self.assertIn("waitMs=30000", targets.format_watch("", revision=3, seconds=90))
        self.assertIn("waitMs=1", targets.format_watch("", revision=3, seconds=0))


if __name__ == "__main__":
    unittest.main()

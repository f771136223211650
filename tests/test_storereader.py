"""Reading a store that answers with odd keys, and with pages that lead nowhere."""

import base64
import heapq
import itertools
import json
import os
import time
import types
import unittest
import urllib.parse
from unittest import mock

from hypothesis import given, settings, strategies

from jackdawlanding.decisions import revisions
from jackdawlanding.mesh import gossip, logs, metrics, storereader
from jackdawlanding.platform import documents
from jackdawlanding.wire import http
from tests import backendservers, configurations

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "150"))
# What the site files grant each of their daemons, were all to read at once: 6,000 reads
# a second at 82 machines.
READS_PER_SECOND = 73
CONFIGURATION_SECONDS = 2.5
ANSWER_SECONDS = 0.001
# Removals may be held after a restore, and returns for longer.
SETTLE_SECONDS = 12.0
ODD = "\ud83d"


def make_entry(**fields):
    return backendservers.make_entry(
        service="desk", address="127.0.0.9:80", slots=1, **fields
    )


class Loop:
    """An event loop in virtual time."""

    def __init__(self):
        self.now = time.monotonic()
        self._timers = []
        self._numbers = itertools.count()

    def call_later(self, seconds, callback):
        due = self.now + seconds
        heapq.heappush(self._timers, (due, next(self._numbers), callback))

    def call_every(self, seconds, callback):
        def run():
            callback()
            self.call_later(seconds, run)

        self.call_later(seconds, run)

    def coalesce(self, callback):
        return lambda *_: None

    def run(self, seconds):
        end = self.now + seconds
        while self._timers and self._timers[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._timers)
            callback()
        self.now = end


class Store:
    """Answers reads as a store does, the first ones with a fault each.

    :param entries: the names below ``servers/`` that have sound entries.
    :param odd_names: names of entries of another writer.
    :param replaces: whether it reads what is no text as question marks.
    """

    def __init__(
        self, *, loop, entries, odd_names=(), faults=(), page=3, replaces=False
    ):
        self.loop = loop
        self.faults = list(faults)
        self.page = page
        self.replaces = replaces
        self.read_at = []
        self.is_busy = False
        self.items = {}
        self.revision = 10
        self.era = 0
        self.sound = set(entries)
        for name in entries:
            self.put(f"servers/{name}", make_entry())
        for name in odd_names:
            self.put(f"servers/{name}", {"note": "backup"})
        self.configure(1)

    def put(self, key, value):
        self.revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.items[key] = {"key": key, "value": data, "revision": self.revision}

    def remove(self, key):
        self.revision += 1
        self.items[key] = {"key": key, "revision": self.revision, "removed": True}

    def write_notes(self, count):
        """Change a key that nothing uses."""
        for _ in range(count):
            self.put("op/notes", {})

    def copy(self):
        return dict(self.items), self.revision

    def restore(self, copy):
        items, self.revision = copy
        self.items = dict(items)
        self.era += 1

    def configure(self, version):
        route = configurations.make_route("look", service="desk")
        self.put("op/config", configurations.make(version, route, services=("desk",)))

    def get(self, target, *, seconds, on_response):
        assert not self.is_busy
        self.is_busy = True
        self.read_at.append(self.loop.now)
        path, _, query = target.partition("?")
        errors = "replace" if self.replaces else "surrogatepass"
        values = dict(urllib.parse.parse_qsl(query, errors=errors))
        if self.replaces and "after" in values:
            values["after"] = values["after"].replace("\ufffd", "?")
        fault = self.faults.pop(0) if self.faults else ""
        is_range = path.endswith("kv-range")
        make = self._make_range if is_range else self._make_events
        document = make(values, fault)
        is_lost = not is_range and int(values["after"]) > self.revision
        delay = ANSWER_SECONDS
        if not is_range and not document["events"] and not is_lost:
            delay += int(values["waitMs"]) / 1000
        response = http.Response(
            status=410 if fault == "gone" or is_lost else 200,
            headers=((b"Store-Era", str(self.era).encode()),) if self.era else (),
            body=json.dumps(document).encode(),
        )

        def answer():
            self.is_busy = False
            on_response(response)

        self.loop.call_later(delay, answer)

    def _make_range(self, values, fault):
        after = "" if fault == "first-page-again" else values.get("after", "")
        keys = sorted(
            key
            for key, item in self.items.items()
            if key > after and "removed" not in item
        )
        listed = [self.items[key] for key in keys[: self.page]]
        if fault == "empty":
            listed = []
        if fault == "out-of-order":
            listed.reverse()
        has_more = len(keys) > self.page or fault in ("empty", "first-page-again")
        return {"items": listed, "hasMore": has_more, "at": self._get_revision(fault)}

    def _make_events(self, values, fault):
        events = [
            item
            for item in self.items.values()
            if item["revision"] > int(values["after"])
        ]
        return {"events": events, "at": self._get_revision(fault)}

    def _get_revision(self, fault):
        return 3 if fault == "back" else self.revision


class StoreReaderTest(unittest.TestCase):
    def start(self, **fields):
        self.loop = Loop()
        self.store = Store(loop=self.loop, **fields)
        clock = types.SimpleNamespace(monotonic=lambda: self.loop.now)
        for module in (storereader, gossip):
            patch = mock.patch.object(module, "time", clock)
            patch.start()
            self.addCleanup(patch.stop)
        self.fleet_state = gossip.FleetState(
            decode=documents.decode_configuration, log=logs.Log()
        )
        self.metrics = metrics.Metrics()
        self.reader = storereader.StoreReader(
            loop=self.loop,
            address=("127.0.0.1", 1),
            local_host="127.0.0.9",
            fleet_state=self.fleet_state,
            metrics=self.metrics,
            log=logs.Log(),
            broadcast=lambda position: None,
        )
        self.reader._fetcher = self.store
        self.reader.start()

    def check_known(self, *, version=9):
        """Check that all sound entries are known, and a new configuration in time."""
        known = set(self.fleet_state.directory.list_instances())
        self.assertEqual(known, self.store.sound)
        self.assertTrue(self.fleet_state.is_ready)
        self.store.configure(version)
        self.loop.run(CONFIGURATION_SECONDS)
        self.assertEqual(self.fleet_state.configuration_version, version)

    def check_reads(self):
        read_at = self.store.read_at
        for number, start in enumerate(read_at):
            reads = sum(at - start < 1.0 for at in read_at[number:])
            self.assertLessEqual(reads, READS_PER_SECOND)

    def test_the_log_tells_when_the_store_is_in_another_era(self):
        self.start(entries=["i-1"])
        for era in (3, 4):
            self.store.era = era
            with self.assertLogs("jackdaw.mesh") as logged:
                self.loop.run(CONFIGURATION_SECONDS)
            self.assertIn("The store is in another era.", logged.output[0])
            self.assertEqual(self.reader.era, era)

    def start_restored(self):
        """Start, and restore the store from a copy that lacks ten revisions."""
        self.start(entries=["i-1", "i-2"])
        self.store.era = 1
        self.loop.run(CONFIGURATION_SECONDS)
        copy = self.store.copy()
        self.store.write_notes(10)
        self.loop.run(CONFIGURATION_SECONDS)
        self.store.restore(copy)

    def test_a_leave_written_after_a_restore_counts(self):
        """Its revision was lower than that of the known entry."""
        for lost in (0, 5):
            with self.subTest(lost=lost):
                self.start(entries=["i-1"])
                copy = self.store.copy()
                self.store.write_notes(lost)
                self.store.put("servers/i-1", make_entry())
                self.loop.run(CONFIGURATION_SECONDS)
                self.store.restore(copy)
                self.store.put("servers/i-1", make_entry(state="draining"))
                self.loop.run(CONFIGURATION_SECONDS)
                self.assertTrue(self.fleet_state.directory.get("i-1").is_draining)

    def test_a_configuration_is_read_though_numbers_passed_the_last_one_read(self):
        """A watch from before the restore went on behind it."""
        self.start_restored()
        self.store.configure(5)
        self.store.write_notes(20)
        self.loop.run(CONFIGURATION_SECONDS)
        self.assertEqual(self.fleet_state.configuration_version, 5)
        self.check_known()

    def test_a_restored_store_is_listed_once(self):
        """Each watch went on from a revision that it no longer had."""
        self.start_restored()
        self.loop.run(CONFIGURATION_SECONDS)
        known = self.fleet_state.directory.complete_revision
        self.assertEqual(revisions.get_era(known), 2)
        reads = len(self.store.read_at)
        self.loop.run(10)
        self.assertLess(len(self.store.read_at) - reads, 10)

    def test_a_listing_begins_again_where_the_store_is_restored_meanwhile(self):
        self.start(entries=["i-1", "i-2", "i-3", "i-4"], page=1)
        copy = self.store.copy()
        while len(self.store.read_at) < 3:
            self.loop.run(0.001)
        self.store.restore(copy)
        self.store.remove("servers/i-1")
        self.store.sound.remove("i-1")
        self.loop.run(CONFIGURATION_SECONDS)
        self.check_known()

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(
        steps=strategies.lists(
            strategies.one_of(
                strategies.sampled_from(("copy", "restore", "configure")),
                strategies.integers(1, 12),
                strategies.floats(0.05, 3.0),
                strategies.sampled_from(("i-1", "i-2", "i-3")),
            ),
            max_size=30,
        )
    )
    def test_any_sequence_of_restores_ends_with_what_the_store_holds(self, steps):
        self.start(entries=["i-1", "i-2", "i-3"])
        copy, version = self.store.copy(), 1
        for step in steps:
            if step == "copy":
                copy = self.store.copy()
            elif step == "restore":
                self.store.restore(copy)
            elif step == "configure":
                version += 1
                self.store.configure(version)
            elif isinstance(step, int):
                self.store.write_notes(step)
            elif isinstance(step, float):
                self.loop.run(step)
            elif "removed" in self.store.items[f"servers/{step}"]:
                self.store.put(f"servers/{step}", make_entry())
            else:
                self.store.remove(f"servers/{step}")
        self.store.configure(version)
        self.loop.run(SETTLE_SECONDS)
        self.store.sound = {
            key.removeprefix("servers/")
            for key, item in self.store.items.items()
            if key.startswith("servers/") and "removed" not in item
        }
        self.assertEqual(self.fleet_state.configuration_version, version)
        self.check_known(version=version + 1)
        self.check_reads()

    def test_an_odd_key_at_the_end_of_a_page_stops_no_listing(self):
        """No daemon got ready again after all were killed, and each read the same
        page 200 times a second."""
        names = [f"{ODD}-{number}" for number in range(7)]
        for replaces in (False, True):
            with self.subTest(replaces=replaces):
                self.start(
                    entries=["i-1", "i-2", "\x7e"], odd_names=names, replaces=replaces
                )
                self.loop.run(CONFIGURATION_SECONDS)
                self.check_known()
                self.check_reads()

    def test_a_page_that_comes_again_and_again_keeps_nobody_from_getting_ready(self):
        for fault in ("empty", "first-page-again", "out-of-order"):
            with self.subTest(fault=fault):
                self.start(
                    entries=["i-1", "i-2", "i-3", "i-4"],
                    faults=[fault] * 30,
                    page=2,
                )
                self.loop.run(30)
                self.check_known()
                self.check_reads()

    def test_what_can_be_read_counts_though_a_listing_never_ends(self):
        self.start(entries=["i-1"], faults=["first-page-again"] * 10000, page=2)
        self.loop.run(CONFIGURATION_SECONDS)
        self.assertTrue(self.fleet_state.is_ready)
        self.assertEqual(self.fleet_state.directory.list_instances(), ["i-1"])
        # Peers must not take it for all that there is.
        self.assertEqual(self.fleet_state.directory.complete_revision, 0)
        self.check_reads()
        self.store.configure(9)
        self.loop.run(CONFIGURATION_SECONDS)
        self.assertEqual(self.fleet_state.configuration_version, 9)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(
        names=strategies.lists(
            strategies.text(
                strategies.sampled_from(("a", "i", "~", ODD, "\udc00", "\ufffd", "é")),
                min_size=1,
                max_size=4,
            ),
            unique=True,
            max_size=20,
        ),
        faults=strategies.lists(
            strategies.sampled_from(
                ("", "empty", "first-page-again", "out-of-order", "back", "gone")
            ),
            max_size=25,
        ),
        page=strategies.integers(1, 6),
        replaces=strategies.booleans(),
    )
    def test_any_store_is_read_within_its_rate_and_known(
        self, names, faults, page, replaces
    ):
        self.start(
            entries=[name for name in names if name.isascii()],
            odd_names=[name for name in names if not name.isascii()],
            faults=faults,
            page=page,
            replaces=replaces,
        )
        self.loop.run(40)
        self.assertEqual(self.store.faults, [])
        self.check_known()
        self.check_reads()

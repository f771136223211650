"""The first daemon's reads of the platform."""

import unittest

from jackdawlanding.daemon import platform as platform_reader
from jackdawlanding.emulator import platform


def make_entry(**changes):
    return {
        "instance": "odd",
        "address": "127.0.0.1:80",
        "region": "a",
        "failure_domain": "a1",
        **changes,
    }


def nest(depth):
    value = []
    for _ in range(depth):
        value = [value]
    return value


ODD_ENTRIES = (
    make_entry(address="127.0.0.1:65536"),
    make_entry(address="127.0.0.1:-1"),
    make_entry(address="127.0.0.1:" + "9" * 5000),
    make_entry(address="127.0.0.1:\u0668\u0660"),
    make_entry(address=":80"),
    make_entry(address=7),
    make_entry(region=None),
    make_entry(failure_domain=2**64 - 1),
    make_entry(region=nest(300)),
    {"instance": "odd"},
)


class ReaderTest(unittest.TestCase):
    def test_an_odd_entry_takes_no_other_out_of_the_list(self):
        emulated = platform.Platform()
        emulated.start()
        self.addCleanup(emulated.stop)
        reader = platform_reader.PlatformReader(address=emulated.address)
        self.addCleanup(reader.close)
        emulated.list_instance("desk", make_entry(instance="sound"))
        for entry in ODD_ENTRIES:
            emulated.list_instance("desk", entry)
            with (
                self.subTest(entry=str(entry)[:80]),
                self.assertLogs("jackdaw.values", "WARNING"),
            ):
                (listed,) = reader.read_instances("desk")
                self.assertEqual(listed.instance, "sound")

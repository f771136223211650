"""Settings of the daemon: errors name the flag and the remedy."""

import unittest

from jackdawlanding import exceptions
from jackdawlanding.settings import options

VALID = {
    "instance": "a-0",
    "service": "a",
    "region": "r1",
    "failure_domain": "x",
    "caller_address": "127.0.0.1:8000",
    "local_address": "127.0.0.1:8001",
    "peer_address": "127.0.0.1:8002",
    "admin_address": "127.0.0.1:8003",
    "backend_address": "127.0.0.1:8004",
    "platform_address": "127.0.0.1:8005",
}


class OptionsTest(unittest.TestCase):
    def assertRefused(self, flag, **values):
        with self.assertRaises(exceptions.SettingError) as caught:
            options.make({**VALID, **values}, failure_domains=["r1/x"])
        self.assertEqual(caught.exception.flag, flag)
        self.assertEqual(caught.exception.exit_code, 2)
        self.assertNotIn("\n", caught.exception.format_message())
        return caught.exception.format_message()

    def test_valid_settings_are_accepted(self):
        self.assertEqual(options.make(VALID).caller_address.port, 8000)

    def test_an_unknown_failure_domain_suggests_a_similar_one(self):
        message = self.assertRefused("--failure-domain", failure_domain="xx")
        self.assertIn("did you mean 'r1/x'", message)

    def test_an_invalid_address_is_refused(self):
        self.assertRefused("--peer-address", peer_address="nowhere")
        self.assertRefused("--backend-address", backend_address="host:80")

    def test_two_listeners_on_one_address_are_refused(self):
        self.assertRefused("--local-address", local_address="127.0.0.1:8000")

    def test_an_admin_address_off_loopback_is_refused(self):
        self.assertRefused("--admin-address", admin_address="10.0.0.1:8003")

    def test_fresh_seconds_must_be_below_gone_seconds(self):
        """An instance must stop acting before others act without it."""
        self.assertRefused("--fresh-seconds", fresh_seconds=9.0, gone_seconds=9.0)

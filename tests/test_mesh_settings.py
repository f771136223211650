"""Settings of a mesh daemon: valid files, defaults and errors."""

import json
import pathlib
import tempfile
import unittest

from jackdawlanding import exceptions
from jackdawlanding.settings import mesh_settings

VALID = {
    "instance": "one",
    "service": "desk",
    "host": "10.0.0.1",
    "region": "a",
    "failure_domain": "a1",
    "failure_domains": {"a1": "a"},
    "backend_address": "10.0.0.1:80",
    "outbound_address": "10.0.0.1:81",
    "readiness_address": "10.0.0.1:82",
    "peer_port": 83,
    "metrics_port": 84,
    "store_address": "10.0.9.9:85",
    "grace_seconds": 6,
    "retry_ratio": 0.2,
    "retry_window_seconds": 10,
    "retry_slack": 49,
}


class MeshSettingsTest(unittest.TestCase):
    def test_a_valid_file_with_an_unknown_key_is_accepted(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "settings.json"
            path.write_text(json.dumps({**VALID, "later": 1}))
            settings = mesh_settings.load(path)
        self.assertEqual(settings.backend_address.port, 80)
        self.assertEqual(settings.grace, 6.0)

    def test_each_invalid_value_is_reported_with_its_key(self):
        for key, value in (
            ("instance", None),
            ("peer_port", "83"),
            ("peer_port", True),
            ("peer_listen_port", "83"),
            ("backend_address", "nowhere"),
            ("grace_seconds", "long"),
            ("grace_seconds", -1),
            ("failure_domains", []),
        ):
            with self.subTest(key=key, value=value):
                with self.assertRaises(exceptions.SettingError) as caught:
                    mesh_settings.make({**VALID, key: value})
                self.assertIn(key, str(caught.exception))

    def test_missing_limits_have_defaults(self):
        settings = mesh_settings.make(
            {**VALID, "grace_seconds": None, "retry_slack": None}
        )
        self.assertEqual((settings.grace, settings.retry_slack), (6.0, 0.0))
        self.assertEqual(settings.peer_listen_port, 0)

    def test_only_a_known_domain_can_be_in_another_region(self):
        settings = mesh_settings.make(
            {**VALID, "failure_domains": {"a1": "a", "b1": "b"}}
        )
        self.assertTrue(settings.is_in_other_region("b1"))
        self.assertFalse(settings.is_in_other_region("a1"))
        self.assertFalse(settings.is_in_other_region("unknown"))

    def test_a_missing_key_and_a_missing_file_are_refused(self):
        with self.assertRaises(exceptions.SettingError) as caught:
            mesh_settings.make({key: VALID[key] for key in VALID if key != "service"})
        self.assertIn("service", str(caught.exception))
        with self.assertRaises(exceptions.SettingError):
            mesh_settings.load("/nowhere/settings.json")


if __name__ == "__main__":
    unittest.main()

import json
import pathlib
import tempfile
import unittest

from jackdawlanding import exceptions
from jackdawlanding.settings import mesh_settings

GOOD = {
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
    def test_a_good_file_and_unknown_keys(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "settings.json"
            path.write_text(json.dumps({**GOOD, "later": 1}))
            found = mesh_settings.load(path)
        self.assertEqual(found.backend_address.port, 80)
        self.assertEqual(found.grace, 6.0)

    def test_each_fault_names_its_key_and_a_remedy(self):
        for key, value in (
            ("instance", None),
            ("peer_port", "83"),
            ("peer_port", True),
            ("backend_address", "nowhere"),
            ("grace_seconds", "long"),
            ("grace_seconds", -1),
            ("failure_domains", []),
        ):
            with self.subTest(key=key, value=value):
                with self.assertRaises(exceptions.SettingError) as caught:
                    mesh_settings.make({**GOOD, key: value})
                self.assertIn(key, str(caught.exception))

    def test_bounds_that_are_not_given_have_defaults(self):
        found = mesh_settings.make({**GOOD, "grace_seconds": None, "retry_slack": None})
        self.assertEqual((found.grace, found.retry_slack), (6.0, 0.0))

    def test_a_domain_of_another_region_is_far(self):
        found = mesh_settings.make({**GOOD, "failure_domains": {"a1": "a", "b1": "b"}})
        self.assertTrue(found.is_in_other_region("b1"))
        self.assertFalse(found.is_in_other_region("a1"))
        self.assertFalse(found.is_in_other_region("unheard-of"))

    def test_a_missing_key_and_a_missing_file(self):
        with self.assertRaises(exceptions.SettingError) as caught:
            mesh_settings.make({key: GOOD[key] for key in GOOD if key != "service"})
        self.assertIn("service", str(caught.exception))
        with self.assertRaises(exceptions.SettingError):
            mesh_settings.load("/nowhere/settings.json")


if __name__ == "__main__":
    unittest.main()

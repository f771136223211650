"""Listed tests, and no others, are left out of a run."""

import types
import unittest

from tests import known_red

LIST = """\
Targets that were missed:
- python -m bench mesh-latency: 0.33 ms added at p99; seen 0.82 ms
- test_known_red.Sample.test_listed: seen 3 of 5
"""


class Sample:
    """Stands in for a test case."""


class KnownRedTest(unittest.TestCase):
    def exclude(self, case):
        plugin = known_red.KnownRed()
        plugin.names = known_red.find_names(LIST)
        event = types.SimpleNamespace(testCase=case, excludedNames=[])
        plugin.getTestCaseNames(event)
        return event.excludedNames

    def test_only_entries_that_name_a_test_are_found(self):
        self.assertEqual(
            known_red.find_names(LIST), ["test_known_red.Sample.test_listed"]
        )

    def test_a_listed_test_is_excluded_from_its_own_test_case_only(self):
        self.assertEqual(self.exclude(Sample), ["test_listed"])
        self.assertEqual(self.exclude(KnownRedTest), [])


if __name__ == "__main__":
    unittest.main()

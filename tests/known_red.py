"""A nose2 plugin that passes over the tests listed in KNOWN-RED.txt.

A listed test still runs if it is named on the command line.
"""

import pathlib
import re

from nose2 import events

LIST = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
# An entry that lists a test: "- test_module.Class.test_method: what was seen".
ENTRY = re.compile(r"^- (test_\w+\.\w+\.test_\w+):", re.MULTILINE)


def find_names(text):
    """Return the tests that a list names, as ``module.class.method``."""
    return ENTRY.findall(text)


class KnownRed(events.Plugin):
    """Excludes exactly the listed tests from a run."""

    configSection = "known-red"
    alwaysOn = True

    def __init__(self):
        self.names = find_names(LIST.read_text()) if LIST.exists() else []

    def getTestCaseNames(self, event):
        """Exclude listed tests; called by nose2 for each test case."""
        case = event.testCase
        prefix = f"{case.__module__.rpartition('.')[2]}.{case.__name__}."
        event.excludedNames += [
            name.removeprefix(prefix) for name in self.names if name.startswith(prefix)
        ]

"""Traces of a request in log lines, and the command that prints them."""

import json
import pathlib
import tempfile
import unittest

from typer import testing

from jackdawlanding import exceptions
from jackdawlanding.cli import jackdaw
from jackdawlanding.mesh import traces


def make_line(at, daemon, text, **fields):
    record = {"at": at, "daemon": daemon, "part": "entry", "text": text, **fields}
    return json.dumps(record)


LINES = [
    make_line(10.2, "b", "A call ended.", request="r1.c1", reason="full"),
    make_line(10.0, "a", "A request is sent again.", request="r1"),
    "noise {not json",
    make_line(9.5, "a", "A configuration is in force.", version=7),
    make_line(9.5, "c", "A configuration is in force.", version=7),
    make_line(10.1, "a", "Another.", request="r10"),
    "collector 12:00 " + make_line(10.3, "a", "A request was answered.", request="r1"),
]


class TracesTest(unittest.TestCase):
    def test_a_request_and_its_nested_calls_are_sorted_by_time(self):
        found = traces.find(LINES, "r1")
        self.assertEqual([line.at for line in found], [10.0, 10.2, 10.3])

    def test_state_changes_of_the_same_daemons_are_included(self):
        found = traces.find(LINES, "r1", around=1.0)
        self.assertEqual(found[0].fields["version"], 7)
        self.assertEqual(sum(line.part == "entry" for line in found), 4)

    def test_text_shows_milliseconds_since_the_first_line(self):
        lines = traces.format_lines(traces.find(LINES, "r1"))
        self.assertIn("0.0 ms  a  entry: A request is sent again.", lines[0])
        self.assertIn("200.0 ms  b    c1 entry: A call ended.  reason=full", lines[1])

    def test_the_command_reads_files(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "log"
            path.write_text("\n".join(LINES))
            runner = testing.CliRunner()
            result = runner.invoke(jackdaw.application, ["trace", "r1", str(path)])
            self.assertIn("A request was answered.", result.stdout)
            result = runner.invoke(jackdaw.application, ["trace", "r9", str(path)])
            self.assertIsInstance(result.exception, exceptions.NotFoundError)
            self.assertIn("'r9'", result.exception.format_message())


if __name__ == "__main__":
    unittest.main()

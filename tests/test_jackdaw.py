"""The operators' tool, run through its command line."""

import json
import pathlib
import tempfile
import unittest

from typer import testing

from jackdawlanding import exceptions
from jackdawlanding.cli import jackdaw
from tests import support


class JackdawTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = pathlib.Path(directory.name)
        self.source = self.root / "source"
        self.source.mkdir()
        (self.source / "payouts.toml").write_text(support.PAYOUTS)
        (self.source / "awards.toml").write_text(support.AWARDS)

    def invoke(self, *arguments):
        return testing.CliRunner().invoke(
            jackdaw.application, [str(argument) for argument in arguments]
        )

    def test_check_reports_every_fault_of_every_file(self):
        (self.source / "a.toml").write_text('service = "a"\nwrok = 1\nwork = []\n')
        (self.source / "b.toml").write_text("service = \n")
        result = self.invoke("check", self.source)
        text = result.exception.format_message()
        self.assertIn("did you mean 'work'", text)
        self.assertIn("holds no work", text)
        self.assertIn("b.toml: syntax", text)
        self.assertEqual(result.exception.exit_code, exceptions.EXIT_FAULT)

    def test_check_suggests_a_similar_service(self):
        text = support.PAYOUTS.replace('"awards"', '"award"')
        (self.source / "payouts.toml").write_text(text)
        result = self.invoke("check", self.source)
        self.assertIn("did you mean 'awards'", result.exception.format_message())

    def test_check_prints_json(self):
        (self.source / "b.toml").write_text("service = \n")
        result = self.invoke("check", self.source, "--json")
        self.assertEqual(json.loads(result.stdout)[0]["key"], "syntax")
        self.assertEqual(result.exit_code, exceptions.EXIT_FAULT)

    def test_bundle_refuses_a_version_that_does_not_grow(self):
        first, second = self.root / "1", self.root / "2"
        self.invoke("bundle", self.source, "--out", first, "--version", 3)
        result = self.invoke(
            "bundle", self.source, "--out", second, "--version", 3, "--previous", first
        )
        self.assertIn("use 4 or more", result.exception.format_message())
        self.assertFalse(second.exists())

    def test_diff_shows_what_a_publication_changes(self):
        first, second = self.root / "1", self.root / "2"
        self.invoke("bundle", self.source, "--out", first, "--version", 1)
        text = support.AWARDS.replace("rank = 3", "rank = 4")
        (self.source / "awards.toml").write_text(text)
        self.invoke("bundle", self.source, "--out", second, "--version", 2)
        result = self.invoke("diff", first, second)
        self.assertIn("awards: work.lookup.rank: 3 -> 4", result.stdout)

    def test_a_changed_value_does_not_match_its_hash(self):
        first = self.root / "1"
        self.invoke("bundle", self.source, "--out", first, "--version", 1)
        path = first / "awards.json"
        path.write_text(path.read_text().replace('"rank":3', '"rank":0'))
        result = self.invoke("diff", first, first)
        self.assertIn("does not match its hash", result.exception.format_message())

    def test_explain_shows_the_verdict_and_the_deciding_work(self):
        call = ("explain", self.source, "--service", "payouts", "--method", "POST")
        result = self.invoke(*call, "--path", "/payouts")
        self.assertIn("payouts: work[0] (payout)", result.stdout)
        self.assertIn("Idempotency-Key is missing", result.stdout)
        result = self.invoke(
            *call, "--path", "/payouts", "--header", "Idempotency-Key: 7"
        )
        self.assertIn("runs at most once", result.stdout)

    def test_status_of_an_unreachable_daemon_names_the_flag_to_check(self):
        result = self.invoke("status", "--address", "127.0.0.1:1")
        self.assertIn("--admin-address", result.exception.format_message())
        self.assertEqual(result.exception.exit_code, exceptions.EXIT_UNREACHABLE)

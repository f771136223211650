"""Structured log lines: format, rate limits and non-blocking writes."""

import json
import logging
import os
import unittest

from jackdawlanding.mesh import logs


class LineHandlerTest(unittest.TestCase):
    def setUp(self):
        self.reading, writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, writing)
        os.set_blocking(self.reading, False)
        self.handler = logs.LineHandler(descriptor=writing, instance="one")
        self.logger = logging.Logger("test")
        self.logger.addHandler(self.handler)

    def read(self):
        try:
            return os.read(self.reading, 1 << 20).decode()
        except BlockingIOError:
            return ""

    def test_a_line_has_its_part_text_and_fields(self):
        self.logger.info("%s: %s", "host", "Lost.", extra={"fields": {"request": "r"}})
        line = json.loads(self.read())
        self.assertEqual((line["daemon"], line["part"]), ("one", "host"))
        self.assertEqual((line["text"], line["request"]), ("Lost.", "r"))

    def test_warnings_and_errors_have_a_level(self):
        try:
            raise ValueError("broken")
        except ValueError:
            self.logger.exception("loop: a handler failed.")
        line = json.loads(self.read())
        self.assertEqual(line["level"], "error")
        self.assertIn("broken", line["error"])

    def test_a_traceback_of_a_long_exception_is_cut_short(self):
        try:
            raise ValueError("x" * 10**6)
        except ValueError:
            self.logger.exception("loop: a handler failed.")
        self.assertLess(len(self.read()), 10_000)

    def test_a_stalled_reader_does_not_block(self):
        for _ in range(int(logs.LINES_BURST) - 1):
            self.logger.info("host: %s", "x" * 200)
        self.assertGreater(self.handler.dropped, 0)
        for line in self.read().splitlines()[:-1]:
            json.loads(line)

    def test_a_burst_is_limited_and_counted(self):
        for _ in range(3000):
            self.logger.info("host: x")
            self.read()
        self.assertGreater(self.handler.dropped, 1000)


class LogTest(unittest.TestCase):
    def test_only_lines_about_requests_share_a_rate(self):
        log = logs.Log()
        with self.assertLogs(logs.logger, "INFO") as caught:
            for number in range(300):
                log.note("entry", "A request was answered.", request=f"r{number}")
            log.note("config", "A configuration is in force.", version=3)
        self.assertGreater(log.suppressed_count, 150)
        self.assertIn("in force", caught.output[-1])


if __name__ == "__main__":
    unittest.main()

"""Structured log lines on standard output: bounded, and never blocking."""

import json
import logging
import os
import time

logger = logging.getLogger("jackdaw.mesh")

STANDARD_OUTPUT = 1
# Lines about requests share this rate; changes of belief are not bounded by it.
REQUEST_LINES_PER_SECOND = 20.0
REQUEST_LINES_BURST = 100.0
# All lines together, so that a storm of changes can't fill a pipe.
LINES_PER_SECOND = 200.0
LINES_BURST = 1000.0
DROPPED_REPORT_SECONDS = 5.0


class _Budget:
    """A token bucket that counts what it turned away."""

    def __init__(self, *, rate, burst):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = time.monotonic()

    def take(self):
        now = time.monotonic()
        grown = (now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + grown)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LineHandler(logging.Handler):
    """Writes each record as one JSON line, or drops it and counts.

    :param descriptor: where to write; made non-blocking.
    """

    def __init__(self, *, descriptor=STANDARD_OUTPUT, instance=""):
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._instance = instance
        self._budget = _Budget(rate=LINES_PER_SECOND, burst=LINES_BURST)
        self._unwritten = b""
        self._reported_at = time.monotonic()
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write a record; called by ``logging``."""
        if not self._budget.take():
            self.dropped += 1
            return
        self._write(self._format(record))
        now = time.monotonic()
        if self.dropped and now - self._reported_at > DROPPED_REPORT_SECONDS:
            self._reported_at = now
            dropped, self.dropped = self.dropped, 0
            self._write(self._make_line("log", "Lines were dropped.", count=dropped))

    def _format(self, record):
        part, _, text = record.getMessage().partition(": ")
        fields = dict(getattr(record, "fields", None) or {})
        if record.levelno >= logging.WARNING:
            fields["level"] = record.levelname.lower()
        if record.exc_info:
            fields["error"] = logging.Formatter().formatException(record.exc_info)
        return self._make_line(part, text, **fields)

    def _make_line(self, part, text, **fields):
        line = {
            "at": round(time.time(), 4),
            "daemon": self._instance,
            "part": part,
            "text": text,
            **fields,
        }
        return json.dumps(line, default=str).encode() + b"\n"

    def _write(self, data):
        data = self._unwritten + data
        self._unwritten = b""
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; there is nowhere to say so.
            return
        if 0 < written < len(data):
            # The rest of a line that was cut goes out with the next one.
            self._unwritten = data[written:]
        elif written == 0:
            self.dropped += 1


class Log:
    """Notes decisions and changes of belief as structured lines.

    ``held_back`` counts lines about requests that were over their rate.
    """

    def __init__(self):
        self._budget = _Budget(rate=REQUEST_LINES_PER_SECOND, burst=REQUEST_LINES_BURST)
        self.held_back = 0

    def note(self, part, text, **fields):
        """Write a line: the part, a short sentence, and what decided it."""
        if "request" in fields and not self._budget.take():
            self.held_back += 1
            return
        logger.info("%s: %s", part, text, extra={"fields": fields})


def configure(*, instance):
    """Send log records to standard output; return the handler."""
    handler = LineHandler(instance=instance)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return handler

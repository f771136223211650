"""Structured log lines on standard output, rate-limited and non-blocking."""

import json
import logging
import os
import time

logger = logging.getLogger("jackdaw.mesh")

STANDARD_OUTPUT = 1
# Lines about requests share this limit; lines about state changes are exempt.
REQUEST_LINES_PER_SECOND = 20.0
REQUEST_LINES_BURST = 100.0
# The limit on all lines, so that a burst of changes does not fill the pipe.
LINES_PER_SECOND = 200.0
LINES_BURST = 1000.0
DROPPED_REPORT_INTERVAL_SECONDS = 5.0
# The most characters of a traceback: the last ones, which tell the exception.
MAXIMUM_TRACEBACK_CHARACTERS = 4000


class _TokenBucket:
    """A token bucket: ``rate`` tokens a second, at most ``burst``."""

    def __init__(self, *, rate, burst):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()

    def try_take(self):
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LineHandler(logging.Handler):
    """Writes each log record as one JSON line.

    ``dropped`` counts lines that were over the rate or could not be written since
    the last line that reported them.

    :param descriptor: the file descriptor to write to; it is made non-blocking.
    :param instance: the field ``daemon`` of each line.
    """

    def __init__(self, *, descriptor=STANDARD_OUTPUT, instance=""):
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._instance = instance
        self._bucket = _TokenBucket(rate=LINES_PER_SECOND, burst=LINES_BURST)
        self._unwritten = b""
        self._reported_at = time.monotonic()
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write a record; called by ``logging``."""
        if not self._bucket.try_take():
            self.dropped += 1
            return
        self._write(self._format(record))
        now = time.monotonic()
        if self.dropped and now - self._reported_at > DROPPED_REPORT_INTERVAL_SECONDS:
            self._reported_at = now
            dropped, self.dropped = self.dropped, 0
            self._write(self._make_line("log", "Lines were dropped.", count=dropped))

    def _format(self, record):
        part, _, text = record.getMessage().partition(": ")
        fields = dict(getattr(record, "fields", None) or {})
        if record.levelno >= logging.WARNING:
            fields["level"] = record.levelname.lower()
        if record.exc_info:
            traceback = logging.Formatter().formatException(record.exc_info)
            fields["error"] = traceback[-MAXIMUM_TRACEBACK_CHARACTERS:]
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
            # The reader of the log is gone; there is nowhere to report it.
            return
        if 0 < written < len(data):
            # The rest of a line that was written in part goes out with the next.
            self._unwritten = data[written:]
        elif written == 0:
            self.dropped += 1


class Log:
    """Logs decisions and state changes as structured lines.

    ``suppressed_count`` counts lines about requests that were over their rate.
    """

    def __init__(self):
        self._bucket = _TokenBucket(
            rate=REQUEST_LINES_PER_SECOND, burst=REQUEST_LINES_BURST
        )
        self.suppressed_count = 0

    def note(self, part, text, **fields):
        """Log a line.

        :param part: the component that logs.
        :param text: a short sentence.
        :param fields: the values behind the event; lines with a field ``request`` are
            rate-limited.
        """
        if "request" in fields and not self._bucket.try_take():
            self.suppressed_count += 1
            return
        logger.info("%s: %s", part, text, extra={"fields": fields})


def configure(*, instance):
    """Route all log records to standard output; return the handler."""
    handler = LineHandler(instance=instance)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return handler

"""Configures logging to standard error, as text or as JSON lines."""

import enum
import json
import logging
import time


class Format(enum.StrEnum):
    """Format of the log lines."""

    TEXT = "text"
    JSON = "json"


class JsonFormatter(logging.Formatter):
    """Formats a log record as one JSON object on one line."""

    def format(self, record):
        """Return the JSON text: UTC time, level, part, text, audit record and error."""
        prefix, _, text = record.getMessage().partition(": ")
        line = {
            "at": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "part": prefix,
            "text": text,
        }
        audit = getattr(record, "record", None)
        if audit:
            line["text"] = f"{audit['subject']} changed."
            line["record"] = audit
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line)


FORMATTERS = {
    Format.TEXT: lambda: logging.Formatter("%(asctime)s %(levelname)s %(message)s"),
    Format.JSON: JsonFormatter,
}


def configure(*, log_format, level):
    """Send log records of ``level`` and above to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(FORMATTERS[log_format]())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())

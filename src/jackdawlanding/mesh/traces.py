"""Traces one request through the daemons' log lines."""

import json
import typing

# Fields that are attributes of ``Line``, rather than entries of its ``fields``.
_COMMON = frozenset({"at", "daemon", "part", "text", "request"})


class Line(typing.NamedTuple):
    """Holds one log line.

    ``at`` is its time in Unix seconds, ``part`` the component that wrote it, and
    ``request`` a request id or ``""``.
    """

    at: float
    daemon: str
    part: str
    text: str
    request: str
    fields: dict


def parse(text):
    """Return a line of text as a :class:`Line`, or ``None`` if it is no log line.

    A prefix that a log collector wrote before the JSON object is ignored.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(text[start:])
        return Line(
            at=float(record["at"]),
            daemon=str(record["daemon"]),
            part=str(record["part"]),
            text=str(record["text"]),
            request=str(record.get("request", "")),
            fields={key: value for key, value in record.items() if key not in _COMMON},
        )
    except (ValueError, TypeError, KeyError):
        return None


def find(lines, request, *, around=0.0):
    """Return the lines of a request and its nested calls, sorted by time.

    :param lines: an iterable of text lines, in any order.
    :param request: the request id.
    :param around: if above 0, also return lines without a request that the same
        daemons wrote, from so many seconds before the first line of the request
        until its last.
    """
    parsed = [line for line in map(parse, lines) if line is not None]
    found = [line for line in parsed if _belongs(line.request, request)]
    if found and around > 0:
        first = min(line.at for line in found) - around
        last = max(line.at for line in found)
        daemons = {line.daemon for line in found}
        found += [
            line
            for line in parsed
            if not line.request and line.daemon in daemons and first <= line.at <= last
        ]
    return sorted(found, key=lambda line: line.at)


def format_lines(lines):
    """Return the lines as text, with milliseconds since the first.

    Lines about nested calls are indented by two columns for each level, and show
    the last part of the call's id.
    """
    if not lines:
        return []
    began = lines[0].at
    width = max(len(line.daemon) for line in lines)
    root = min((line.request.count(".") for line in lines if line.request), default=0)
    return [
        f"{(line.at - began) * 1000:9.1f} ms  {line.daemon:{width}}  "
        f"{_format_call(line.request, root)}{line.part}: {line.text}"
        f"{_format_fields(line.fields)}"
        for line in lines
    ]


def _belongs(line_request, request):
    """Return whether a line's request id is a request or a nested call of it."""
    return line_request == request or line_request.startswith(f"{request}.")


def _format_call(request, root):
    depth = request.count(".") - root
    if depth <= 0:
        return ""
    return f"{'  ' * depth}{request.rpartition('.')[2]} "


def _format_fields(fields):
    if not fields:
        return ""
    return "  " + " ".join(f"{key}={value}" for key, value in fields.items())

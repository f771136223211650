"""Finds one request's way in the daemons' log lines."""

import json
import typing

# Fields that each line has, or that are shown apart.
_COMMON = frozenset({"at", "daemon", "part", "text", "request"})


class Line(typing.NamedTuple):
    """One log line: Unix seconds, who wrote it, its part, text and fields."""

    at: float
    daemon: str
    part: str
    text: str
    request: str
    fields: dict


def parse(text):
    """Return the :class:`Line` of one line of text, or ``None`` if it is none.

    What a collector puts before the JSON object is passed over.
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
            fields={key: one for key, one in record.items() if key not in _COMMON},
        )
    except (ValueError, TypeError, KeyError):
        return None


def find(lines, request, *, around=0.0):
    """Return the lines of a request and of the calls made for it, by time.

    :param lines: an iterable of text lines, in any order.
    :param around: also return what the daemons concerned came to believe in so
        many seconds before the request's first line, and until its last.
    """
    parsed = [one for one in map(parse, lines) if one is not None]
    own = [one for one in parsed if _belongs(one.request, request)]
    if own and around > 0:
        first = min(one.at for one in own) - around
        last = max(one.at for one in own)
        daemons = {one.daemon for one in own}
        own += [
            one
            for one in parsed
            if not one.request and one.daemon in daemons and first <= one.at <= last
        ]
    return sorted(own, key=lambda one: one.at)


def format_lines(lines):
    """Return each line as text, with milliseconds since the first.

    Lines about calls are set in by two columns for each level below the request,
    and name the call by the last part of its id.
    """
    if not lines:
        return []
    began = lines[0].at
    width = max(len(one.daemon) for one in lines)
    root = min((one.request.count(".") for one in lines if one.request), default=0)
    return [
        f"{(one.at - began) * 1000:9.1f} ms  {one.daemon:{width}}  "
        f"{_format_call(one.request, root)}{one.part}: {one.text}"
        f"{_format_fields(one.fields)}"
        for one in lines
    ]


def _belongs(name, request):
    """Return whether a line is about a request or a call made for it."""
    return name == request or name.startswith(f"{request}.")


def _format_call(request, root):
    depth = request.count(".") - root
    if depth <= 0:
        return ""
    return f"{'  ' * depth}{request.rpartition('.')[2]} "


def _format_fields(fields):
    if not fields:
        return ""
    return "  " + " ".join(f"{key}={value}" for key, value in fields.items())

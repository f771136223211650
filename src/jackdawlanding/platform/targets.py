"""Request targets (paths and queries) of the platform's key-value store."""

import urllib.parse

from jackdawlanding.decisions import revisions

READINESS_PATH = "/jackdawlanding/readiness"
_RANGE_PATH = "/jackdawlanding/kv-range"
_WATCH_PATH = "/jackdawlanding/kv-watch"
MAXIMUM_WAIT_MILLIS = 30000


def format_range(prefix, *, after=""):
    """Return the target that lists the keys with a prefix.

    :param after: list only keys that sort after this one; half of a UTF-16 pair is
        written as if it were a character.
    """
    query = {"prefix": prefix}
    if after:
        query["after"] = after
    return f"{_RANGE_PATH}?{urllib.parse.urlencode(query, errors='surrogatepass')}"


def format_watch(prefix, *, revision, seconds):
    """Return the target that waits for changes to keys with a prefix.

    :param revision: wait for changes after this revision of the store; the store is
        asked for the number alone, and its answer tells the era.
    :param seconds: the longest wait, at most ``MAXIMUM_WAIT_MILLIS``.
    """
    millis = min(MAXIMUM_WAIT_MILLIS, max(1, int(seconds * 1000)))
    number = revisions.get_number(revision)
    query = {"prefix": prefix, "after": number, "waitMs": millis}
    return f"{_WATCH_PATH}?{urllib.parse.urlencode(query)}"

"""Progress of a listing of the store, whatever its pages hold."""

import enum

from jackdawlanding.decisions import revisions

# Pages in a row that bring a listing no further, before it ends in part.
MAXIMUM_STALLS = 3
# The design size, 9,600 backend servers, takes 192 pages of 50.
MAXIMUM_PAGES = 1000
# Sorts after all keys that go on with a character beyond ASCII.
_LAST_CHARACTER = "\U0010ffff"


class Step(enum.Enum):
    """What follows a page: the next one, one after a pause, or the end.

    With ``RESTORED`` the page is of another era than the first one, and all pages are
    read again.
    """

    NEXT = enum.auto()
    RESTORED = enum.auto()
    STALLED = enum.auto()
    COMPLETE = enum.auto()
    PARTIAL = enum.auto()


class Listing:
    """One listing, page by page.

    ``after`` is the key after which the next page begins, exactly as the store gave
    it. ``keys`` holds what was listed, and ``revision`` is the store's revision at the
    first page.
    """

    def __init__(self):
        self.after = ""
        self.keys = set()
        self.revision = 0
        self._pages = 0
        self._stalls = 0

    def add(self, page):
        """Record a ``documents.Page`` and move on; return the :class:`Step`."""
        if not self._pages:
            self.revision = page.revision
        if revisions.get_era(page.revision) != revisions.get_era(self.revision):
            return Step.RESTORED
        self._pages += 1
        keys = [item.key for item in page.items]
        self.keys.update(keys)
        if not page.has_more:
            return Step.COMPLETE
        if self._pages >= MAXIMUM_PAGES:
            return Step.PARTIAL
        if keys and keys[-1] > self.after:
            self.after = keys[-1]
            self._stalls = 0
            return Step.NEXT
        return self._stall(keys)

    def _stall(self, keys):
        self._stalls += 1
        if self._stalls > MAXIMUM_STALLS:
            return Step.PARTIAL
        greatest = max(keys, default="")
        self.after = greatest if greatest > self.after else _skip(self.after)
        return Step.STALLED


def _skip(key):
    """Return a key behind all that go on beyond ASCII where this one first does.

    None of them can name a backend server. An ASCII key is returned as it is.
    """
    for place, character in enumerate(key):
        if not character.isascii():
            return key[:place] + _LAST_CHARACTER
    return key

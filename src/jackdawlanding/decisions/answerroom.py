"""Whether there is room for the answer to one more request.

Answers that slow callers have not read stay in memory. The sizes of the last answers to
the same kind of request tell how much room the next one takes.
"""

# Small answers are not counted: their requests are never refused for room.
SMALL_BYTES = 65536
# The share of the difference by which an expected size follows larger answers, and
# smaller ones.
RISE_SHARE = 0.3
DECLINE_SHARE = 0.1


class AnswerRoom:
    """Room for answers, shared by all that are awaited or not read yet.

    :param maximum: the most bytes of both.
    """

    def __init__(self, *, maximum):
        self._maximum = maximum
        self._expected = {}
        self.reserved = 0

    def has_room(self, *, kind, held):
        """Return whether the answer to one more request of a kind most likely fits.

        :param held: the bytes of the answers that were not read yet.
        """
        expected = self._get_expected(kind)
        taken = held + self.reserved
        return not expected or taken < SMALL_BYTES or taken + expected <= self._maximum

    def reserve(self, kind):
        """Reserve room for an answer; return the bytes that :meth:`release` takes."""
        expected = self._get_expected(kind)
        self.reserved += expected
        return expected

    def release(self, reserved):
        """Release room: the answer is there, or nobody waits for it."""
        self.reserved -= reserved

    def record(self, kind, size):
        """Record the size of an answer, in bytes."""
        known = self._expected.get(kind, 0)
        share = RISE_SHARE if size > known else DECLINE_SHARE
        self._expected[kind] = known + int((size - known) * share)

    def _get_expected(self, kind):
        expected = self._expected.get(kind, 0)
        return expected if expected > SMALL_BYTES else 0

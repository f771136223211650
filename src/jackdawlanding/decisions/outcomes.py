"""Whether an attempt ran at a backend server: yes, no or unknown."""

import enum


class Outcome(enum.IntEnum):
    """Whether an attempt ran.

    ``NOT_RUN``: no byte of it reached a backend server, or the backend server
    said that it refused the attempt before running it.
    ``DONE``: a complete answer came back.
    ``UNKNOWN``: any other case.
    """

    NOT_RUN = 0
    DONE = 1
    UNKNOWN = 2

    @property
    def label(self):
        """Return the spelling used in headers, logs and metrics."""
        return _LABELS[self]


_LABELS = {
    Outcome.NOT_RUN: "not-run",
    Outcome.DONE: "done",
    Outcome.UNKNOWN: "unknown",
}

"""What is known about whether an attempt ran at a backend server."""

import enum


class Outcome(enum.IntEnum):
    """Whether an attempt ran.

    ``NOT_RUN``: no byte of it reached a backend server, or the backend server
    said that it refused it before running it.
    ``DONE``: a whole answer came back.
    ``UNKNOWN``: anything else.
    """

    NOT_RUN = 0
    DONE = 1
    UNKNOWN = 2

    @property
    def label(self):
        """The spelling used in headers, logs and metrics."""
        return _LABELS[self]


_LABELS = {
    Outcome.NOT_RUN: "not-run",
    Outcome.DONE: "done",
    Outcome.UNKNOWN: "unknown",
}

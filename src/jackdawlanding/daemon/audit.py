"""Audit trail of the changes that a daemon makes or observes, with their causes."""

import collections
import json
import logging
import threading
import time
import typing

logger = logging.getLogger("jackdaw.audit")

DEFAULT_CAPACITY = 1024


class Record(typing.NamedTuple):
    """One change: its subject, cause, old and new value, and version.

    ``at`` is in wall-clock seconds since the epoch.
    """

    number: int
    at: float
    subject: str
    cause: str
    before: str
    after: str
    version: int


class Trail:
    """The newest records, in a bounded buffer; each is also logged.

    :param capacity: the number of records kept.
    """

    def __init__(self, *, capacity=DEFAULT_CAPACITY):
        self._records = collections.deque(maxlen=capacity)
        self._count = 0
        self._lock = threading.Lock()

    def record(self, subject, *, cause, before="", after="", version=0):
        """Add a record of a change of ``subject``."""
        with self._lock:
            self._count += 1
            record = Record(
                number=self._count,
                at=time.time(),
                subject=subject,
                cause=cause,
                before=str(before),
                after=str(after),
                version=version,
            )
            self._records.append(record)
        logger.info(
            "audit: %s changed. %s",
            subject,
            json.dumps(record._asdict()),
            extra={"record": record._asdict()},
        )

    def list_records(self):
        """Return the stored records, oldest first."""
        with self._lock:
            return list(self._records)

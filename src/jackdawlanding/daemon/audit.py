"""Audit trail: every change that a daemon makes or sees, and why."""

import collections
import json
import logging
import threading
import time
import typing

logger = logging.getLogger("jackdaw.audit")

RING_RECORDS = 1024


class Record(typing.NamedTuple):
    """One change: what changed, why, from what to what, at which version."""

    number: int
    at: float
    subject: str
    cause: str
    before: str
    after: str
    version: int


class Trail:
    """A bounded ring of records, also written to the log.

    :param capacity: records kept.
    """

    def __init__(self, *, capacity=RING_RECORDS):
        self._records = collections.deque(maxlen=capacity)
        self._count = 0
        self._lock = threading.Lock()

    def record(self, subject, *, cause, before="", after="", version=0):
        """Add a record; ``at`` is wall-clock seconds."""
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
        """Return the records kept, oldest first."""
        with self._lock:
            return list(self._records)

"""Callers that send requests one after the other and record what they get."""

import http.client
import itertools
import threading
import time
import typing

_numbers = itertools.count(1)


class Record(typing.NamedTuple):
    """One request; ``status`` is ``None`` if its connection ended without an answer.

    Times are of the monotonic clock.
    """

    request_id: str
    host: str
    target: str
    sent_at: float
    ended_at: float
    status: int | None
    body: bytes
    retry_after: str


class Caller:
    """Sends requests to one daemon on a kept connection until it is stopped.

    :param address: a pair of host and port.
    :param records: a list to which the records are appended.
    :param make_request: returns a method, a target and a body.
    :param interval: seconds between an answer and the next request.

    ``is_waiting`` is whether a request is sent and not answered.
    """

    def __init__(
        self, *, address, records, make_request, interval, deadline_millis=2500
    ):
        self._address = address
        self._records = records
        self._make_request = make_request
        self._interval = interval
        self._deadline_millis = deadline_millis
        self.is_waiting = False
        self._stopping = threading.Event()
        self._connection = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start to send."""
        self._thread.start()
        return self

    def request_stop(self):
        """Send no further request; do not wait for the current one."""
        self._stopping.set()

    def wait_stopped(self):
        """Wait until the last request has ended."""
        self._thread.join(10)

    def _run(self):
        while not self._stopping.is_set():
            self.is_waiting = True
            self._records.append(self._send())
            self.is_waiting = False
            self._stopping.wait(self._interval)
        self._drop()

    def _send(self):
        method, target, body = self._make_request()
        request_id = f"{next(_numbers):016x}"
        status, answer, retry_after = None, b"", ""
        sent_at = time.monotonic()
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection(
                    *self._address, timeout=self._deadline_millis / 1000 + 0.5
                )
            self._connection.request(
                method,
                target,
                body=body,
                headers={
                    "Host": f"{target.split('/')[1]}.example",
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": str(self._deadline_millis),
                },
            )
            response = self._connection.getresponse()
            answer = response.read()
            status = response.status
            retry_after = response.getheader("Retry-After", "")
            if response.will_close:
                self._drop()
        except (OSError, http.client.HTTPException):
            self._drop()
        return Record(
            request_id=request_id,
            host=self._address[0],
            target=target,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            body=answer,
            retry_after=retry_after,
        )

    def _drop(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def stop_all(senders):
    """Stop callers, and wait until their last requests have ended."""
    for sender in senders:
        sender.request_stop()
    for sender in senders:
        sender.wait_stopped()

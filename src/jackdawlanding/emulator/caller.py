"""Emulates callers, which send requests at a given rate and retry failed ones."""

import collections
import io
import json
import queue
import threading
import time
import typing
import uuid

import pycurl
from hdrh import histogram

MICROS_PER_SECOND = 1_000_000
# The range of the latency histograms.
LOWEST_MICROS = 10
HIGHEST_MICROS = 120_000_000
SIGNIFICANT_DIGITS = 3
OK_STATUS = 200


def make_headers(target, nonce, attempt):
    """Return the header lines of an attempt through the daemons' HTTP interface."""
    return [f"X-Nonce: {nonce}"]


class Kind(typing.NamedTuple):
    """One kind of work as callers send it.

    :param ports: ports of the daemons that callers send to; each request and each
        retry takes the next one.
    :param rate: a function of seconds since the start to requests a second.
    :param patience: seconds after which a caller gives up on a request.
    :param resends: how often a caller retries a failed request.
    :param pause: seconds between a failure and the retry.
    :param has_key: whether requests carry an idempotency key.
    :param callers: number of caller names that the requests are spread over.
    :param threads: most requests of the kind in flight.
    :param address: IP address of the daemons.
    :param make_headers: returns the header lines for target, nonce and attempt.
    """

    name: str
    rank: int
    ports: tuple
    method: str
    target: str
    rate: typing.Callable
    patience: float = 2.0
    resends: int = 3
    pause: float = 0.05
    has_key: bool = False
    callers: int = 8
    threads: int = 64
    address: str = "127.0.0.1"
    make_headers: typing.Callable = make_headers


class Tally:
    """Counts the outcomes of the requests of one kind.

    An answer is whole when it arrived complete with status 200 and carries the
    nonce of its request; with another nonce it is wrong. The timelines count
    whole and offered requests by time of arrival, in steps of ``TICK_SECONDS``;
    ``latency`` has microseconds from arrival to the whole answer, retries included.
    """

    def __init__(self):
        self.offered = 0
        self.whole = 0
        self.wrong = 0
        self.attempts = 0
        self.refusals = collections.Counter()
        self.keys = []
        self.timeline = collections.Counter()
        self.offered_timeline = collections.Counter()
        self.latency = histogram.HdrHistogram(
            LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS
        )
        self.lock = threading.Lock()

    @property
    def share(self):
        """Return whole requests over offered ones; 1 without any."""
        return self.whole / self.offered if self.offered else 1.0

    def count_between(self, start, end):
        """Return offered and whole requests that arrived in ``[start, end)``."""
        offered = sum(
            count for at, count in self.offered_timeline.items() if start <= at < end
        )
        whole = sum(count for at, count in self.timeline.items() if start <= at < end)
        return offered, whole


class _Arrival(typing.NamedTuple):
    """A request to send, due so many seconds after the start."""

    kind: Kind
    due: float
    number: int


TICK_SECONDS = 0.1


class Load:
    """Sends kinds of work for a bounded time from a bounded pool of threads.

    :param kinds: the :class:`Kind` s.
    """

    def __init__(self, *, kinds):
        self.tallies = {kind.name: Tally() for kind in kinds}
        self._kinds = list(kinds)
        self._queues = {kind.name: queue.SimpleQueue() for kind in kinds}
        self._started_at = 0.0

    def run(self, seconds, *, on_second=None):
        """Send requests for ``seconds``, and wait until all have ended.

        :param on_second: called about once a second with the whole seconds since
            the start.
        :returns: a :class:`Tally` for each kind, by name.
        """
        workers = [
            threading.Thread(
                target=self._send_arrivals, args=(self._queues[kind.name],), daemon=True
            )
            for kind in self._kinds
            for _ in range(kind.threads)
        ]
        for worker in workers:
            worker.start()
        self._started_at = time.monotonic()
        self._schedule_arrivals(seconds, on_second)
        for kind in self._kinds:
            for _ in range(kind.threads):
                self._queues[kind.name].put(None)
        for worker in workers:
            worker.join()
        return self.tallies

    def _schedule_arrivals(self, seconds, on_second):
        """Put arrivals into the queues when they are due, evenly spaced."""
        due_counts = dict.fromkeys(self.tallies, 0.0)
        last_numbers = dict.fromkeys(self.tallies, 0)
        step_seconds = 0.005
        elapsed, last_second = 0.0, -1
        while elapsed < seconds:
            for kind in self._kinds:
                due_counts[kind.name] += kind.rate(elapsed) * step_seconds
                while due_counts[kind.name] >= 1.0:
                    due_counts[kind.name] -= 1.0
                    last_numbers[kind.name] += 1
                    self._queues[kind.name].put(
                        _Arrival(kind, elapsed, last_numbers[kind.name])
                    )
            if on_second and int(elapsed) > last_second:
                last_second = int(elapsed)
                on_second(last_second)
            elapsed += step_seconds
            time.sleep(max(0.0, self._started_at + elapsed - time.monotonic()))

    def _send_arrivals(self, arrivals):
        """Send requests on one thread until ``None`` arrives."""
        curl = pycurl.Curl()
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        while (arrival := arrivals.get()) is not None:
            self._send_with_retries(curl, arrival)
        curl.close()

    def _send_with_retries(self, curl, arrival):
        """Send a request until it has a whole answer or the caller gives up."""
        kind = arrival.kind
        tally = self.tallies[kind.name]
        nonce = uuid.uuid4().hex
        due_at = self._started_at + arrival.due
        deadline = due_at + kind.patience
        is_whole, attempts, reason = False, 0, "impatient"
        while attempts <= kind.resends and time.monotonic() < deadline:
            if attempts:
                time.sleep(kind.pause)
            port = kind.ports[(arrival.number + attempts) % len(kind.ports)]
            attempts += 1
            headers = kind.make_headers(kind.target, nonce, attempts)
            is_whole, reason = self._send(curl, arrival, port, nonce, headers, deadline)
            if is_whole:
                break
        self._record(tally, arrival, nonce, attempts, is_whole, reason, due_at)

    def _record(self, tally, arrival, nonce, attempts, is_whole, reason, due_at):
        """Count a request that has ended."""
        tick = int(arrival.due / TICK_SECONDS) * TICK_SECONDS
        micros = int((time.monotonic() - due_at) * MICROS_PER_SECOND)
        with tally.lock:
            tally.offered += 1
            tally.offered_timeline[tick] += 1
            tally.attempts += attempts
            if arrival.kind.has_key:
                tally.keys.append(nonce)
            if is_whole:
                tally.whole += 1
                tally.timeline[tick] += 1
                tally.latency.record_value(max(LOWEST_MICROS, micros))
            else:
                tally.refusals[reason] += 1
            if reason == "wrong":
                tally.wrong += 1

    def _send(self, curl, arrival, port, nonce, headers, deadline):
        """Send once; return whether the answer is whole, and the reason if not."""
        kind = arrival.kind
        buffer = io.BytesIO()
        headers = [*headers, f"X-Caller: c{arrival.number % kind.callers}"]
        if kind.has_key:
            headers.append(f"Idempotency-Key: {nonce}")
        curl.setopt(pycurl.URL, f"http://{kind.address}:{port}{kind.target}")
        curl.setopt(pycurl.HTTPHEADER, headers)
        curl.setopt(pycurl.WRITEDATA, buffer)
        remaining_ms = max(1, int((deadline - time.monotonic()) * 1000))
        curl.setopt(pycurl.TIMEOUT_MS, remaining_ms)
        if kind.method == "POST":
            curl.setopt(pycurl.POSTFIELDS, nonce)
        else:
            curl.setopt(pycurl.HTTPGET, 1)
        try:
            curl.perform()
        except pycurl.error as error:
            return False, f"curl-{error.args[0]}"
        return _classify(curl.getinfo(pycurl.RESPONSE_CODE), buffer.getvalue(), nonce)


def _classify(status, body, nonce):
    """Return whether an answer is whole, and the reason if not.

    The reason is ``cut`` for a 200 whose body is incomplete, else the last part of
    the error document's type, or the status.
    """
    try:
        document = json.loads(body)
    except ValueError:
        return False, "cut" if status == OK_STATUS else str(status)
    if status != OK_STATUS:
        error_type = document.get("type", "") if isinstance(document, dict) else ""
        return False, error_type.rpartition(":")[2] or str(status)
    return (True, "") if document.get("nonce") == nonce else (False, "wrong")

"""Stand-in callers: they arrive at their own pace and resend hard."""

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

MICROS = 1_000_000
LOWEST_MICROS = 10
HIGHEST_MICROS = 120_000_000
DIGITS = 3
OK_STATUS = 200


def make_headers(target, nonce, attempt):
    """Return the header lines of an attempt at the product's own interface."""
    return [f"X-Nonce: {nonce}"]


class Kind(typing.NamedTuple):
    """One kind of work as callers send it.

    :param ports: entry daemons; each request takes the next, resends another.
    :param rate: a function of seconds since the start to requests a second.
    :param patience: seconds for which an answer is worth having.
    :param resends: how often a caller sends a failed request again.
    :param pause: seconds between a failure and the next send.
    :param has_key: whether requests carry an idempotency key.
    :param callers: how many identities share the kind.
    :param threads: most requests of the kind in flight.
    :param address: IP number of the entry daemons.
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
    """What became of one kind's requests."""

    def __init__(self):
        self.offered = 0
        self.whole = 0
        self.wrong = 0
        self.attempts = 0
        self.refusals = collections.Counter()
        self.keys = []
        self.timeline = collections.Counter()
        self.offered_timeline = collections.Counter()
        self.latency = histogram.HdrHistogram(LOWEST_MICROS, HIGHEST_MICROS, DIGITS)
        self.lock = threading.Lock()

    @property
    def share(self):
        """Whole requests over offered ones."""
        return self.whole / self.offered if self.offered else 1.0

    def count_between(self, start, end):
        """Return offered and whole requests that arrived in ``[start, end)``."""
        offered = sum(n for at, n in self.offered_timeline.items() if start <= at < end)
        whole = sum(n for at, n in self.timeline.items() if start <= at < end)
        return offered, whole


class _Arrival(typing.NamedTuple):
    kind: Kind
    due: float
    number: int


TICK_SECONDS = 0.1


class Load:
    """Offers kinds of work for a bounded time on a bounded pool of threads.

    :param kinds: the :class:`Kind` s.
    """

    def __init__(self, *, kinds):
        self.tallies = {kind.name: Tally() for kind in kinds}
        self._kinds = list(kinds)
        self._queues = {kind.name: queue.SimpleQueue() for kind in kinds}
        self._began = 0.0

    def run(self, seconds, *, on_second=None):
        """Offer load for ``seconds``; return the tallies once all have ended.

        :param on_second: called about once a second with seconds since start.
        """
        workers = [
            threading.Thread(
                target=self._work, args=(self._queues[kind.name],), daemon=True
            )
            for kind in self._kinds
            for _ in range(kind.threads)
        ]
        for worker in workers:
            worker.start()
        self._began = time.monotonic()
        self._arrive(seconds, on_second)
        for kind in self._kinds:
            for _ in range(kind.threads):
                self._queues[kind.name].put(None)
        for worker in workers:
            worker.join()
        return self.tallies

    def _arrive(self, seconds, on_second):
        """Put arrivals into the queue when they are due, evenly spaced."""
        debts = dict.fromkeys(self.tallies, 0.0)
        numbers = dict.fromkeys(self.tallies, 0)
        step = 0.005
        at, told = 0.0, -1
        while at < seconds:
            for kind in self._kinds:
                debts[kind.name] += kind.rate(at) * step
                while debts[kind.name] >= 1.0:
                    debts[kind.name] -= 1.0
                    numbers[kind.name] += 1
                    self._queues[kind.name].put(_Arrival(kind, at, numbers[kind.name]))
            if on_second and int(at) > told:
                told = int(at)
                on_second(told)
            at += step
            time.sleep(max(0.0, self._began + at - time.monotonic()))

    def _work(self, arrivals):
        curl = pycurl.Curl()
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        while (arrival := arrivals.get()) is not None:
            self._serve(curl, arrival)
        curl.close()

    def _serve(self, curl, arrival):
        kind = arrival.kind
        tally = self.tallies[kind.name]
        nonce = uuid.uuid4().hex
        due = self._began + arrival.due
        end = due + kind.patience
        is_whole, attempts, reason = False, 0, "impatient"
        while attempts <= kind.resends and time.monotonic() < end:
            if attempts:
                time.sleep(kind.pause)
            port = kind.ports[(arrival.number + attempts) % len(kind.ports)]
            attempts += 1
            headers = kind.make_headers(kind.target, nonce, attempts)
            is_whole, reason = self._send(curl, arrival, port, nonce, headers, end)
            if is_whole:
                break
        self._note(tally, arrival, nonce, attempts, is_whole, reason, due)

    def _note(self, tally, arrival, nonce, attempts, is_whole, reason, due):
        tick = int(arrival.due / TICK_SECONDS) * TICK_SECONDS
        micros = int((time.monotonic() - due) * MICROS)
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

    def _send(self, curl, arrival, port, nonce, headers, end):
        """Send once; return whether the answer is whole and right, and why not."""
        kind = arrival.kind
        buffer = io.BytesIO()
        headers = [*headers, f"X-Caller: c{arrival.number % kind.callers}"]
        if kind.has_key:
            headers.append(f"Idempotency-Key: {nonce}")
        curl.setopt(pycurl.URL, f"http://{kind.address}:{port}{kind.target}")
        curl.setopt(pycurl.HTTPHEADER, headers)
        curl.setopt(pycurl.WRITEDATA, buffer)
        left = max(1, int((end - time.monotonic()) * 1000))
        curl.setopt(pycurl.TIMEOUT_MS, left)
        if kind.method == "POST":
            curl.setopt(pycurl.POSTFIELDS, nonce)
        else:
            curl.setopt(pycurl.HTTPGET, 1)
        try:
            curl.perform()
        except pycurl.error as error:
            return False, f"curl-{error.args[0]}"
        return _judge(curl.getinfo(pycurl.RESPONSE_CODE), buffer.getvalue(), nonce)


def _judge(status, body, nonce):
    try:
        document = json.loads(body)
    except ValueError:
        return False, "cut" if status == OK_STATUS else str(status)
    if status != OK_STATUS:
        kind = document.get("type", "") if isinstance(document, dict) else ""
        return False, kind.rpartition(":")[2] or str(status)
    return (True, "") if document.get("nonce") == nonce else (False, "wrong")

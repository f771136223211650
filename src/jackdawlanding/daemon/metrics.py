"""Metrics: calls by rank and outcome, and latencies by hdrhistogram."""

import threading

from hdrh import histogram

LOWEST_MICROS = 10
HIGHEST_MICROS = 60_000_000
DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
MICROS = 1_000_000


class Metrics:
    """Counters and latency histograms of one daemon."""

    def __init__(self):
        self._lock = threading.Lock()
        self._counts = {}
        self._latencies = {}
        self._events = {}

    def record_call(self, *, rank, outcome, reason, seconds):
        """Count a call and its latency. ``outcome`` is a label."""
        key = (rank, outcome, reason)
        with self._lock:
            self._counts[key] = self._counts.get(key, 0) + 1
            if rank not in self._latencies:
                self._latencies[rank] = histogram.HdrHistogram(
                    LOWEST_MICROS, HIGHEST_MICROS, DIGITS
                )
            self._latencies[rank].record_value(int(seconds * MICROS))

    def count(self, name, amount=1):
        """Add to a named event counter."""
        with self._lock:
            self._events[name] = self._events.get(name, 0) + amount

    def list_calls(self):
        """Return ``((rank, outcome, reason), count)`` pairs."""
        with self._lock:
            return sorted(self._counts.items())

    def list_events(self):
        """Return ``(name, count)`` pairs."""
        with self._lock:
            return sorted(self._events.items())

    def list_latencies(self):
        """Return ``(rank, quantile, seconds)`` triples."""
        with self._lock:
            return [
                (rank, quantile, one.get_value_at_percentile(quantile) / MICROS)
                for rank, one in sorted(self._latencies.items())
                for quantile in QUANTILES
            ]

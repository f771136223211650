"""Metrics: calls by rank and outcome, and latencies by hdrhistogram."""

import threading

from jackdawlanding import latencies


class Metrics:
    """Counters and latency histograms of one daemon, for many threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._counts = {}
        self._latencies = latencies.Latencies()
        self._events = {}

    def record_call(self, *, rank, outcome, reason, seconds):
        """Count a call and its latency. ``outcome`` is a label."""
        key = (rank, outcome, reason)
        with self._lock:
            self._counts[key] = self._counts.get(key, 0) + 1
            self._latencies.record(rank, seconds)

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
        """Return a ``latencies.Quantile`` for each rank and quantile."""
        with self._lock:
            return self._latencies.list_quantiles()

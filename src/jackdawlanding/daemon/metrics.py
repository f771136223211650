"""Metrics: counts of calls and events, and latency histograms."""

import threading

from jackdawlanding import latencies


class Metrics:
    """Thread-safe counters and latency histograms of one daemon."""

    def __init__(self):
        self._lock = threading.Lock()
        self._call_counts = {}
        self._latencies = latencies.Latencies()
        self._event_counts = {}

    def record_call(self, *, rank, outcome, reason, seconds):
        """Count a call and record its latency; ``outcome`` is an outcome's label."""
        key = (rank, outcome, reason)
        with self._lock:
            self._call_counts[key] = self._call_counts.get(key, 0) + 1
            self._latencies.record(rank, seconds)

    def count(self, name, amount=1):
        """Add ``amount`` to the counter of an event."""
        with self._lock:
            self._event_counts[name] = self._event_counts.get(name, 0) + amount

    def list_calls(self):
        """Return ``((rank, outcome, reason), count)`` pairs."""
        with self._lock:
            return sorted(self._call_counts.items())

    def list_events(self):
        """Return ``(name, count)`` pairs."""
        with self._lock:
            return sorted(self._event_counts.items())

    def list_latencies(self):
        """Return a ``latencies.Quantile`` for each rank and quantile."""
        with self._lock:
            return self._latencies.list_quantiles()

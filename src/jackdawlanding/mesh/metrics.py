"""Counters and latency quantiles, formatted as text."""

from jackdawlanding import latencies


class Metrics:
    """Holds the counters of one daemon and its latencies by rank."""

    def __init__(self):
        self._counts = {}
        self._latencies = latencies.Latencies()

    def count(self, name, amount=1):
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def get(self, name):
        """Return the value of a counter, 0 if nothing was counted."""
        return self._counts.get(name, 0)

    def record_latency(self, rank, seconds):
        """Record the latency in seconds of a request of a rank."""
        self._latencies.record(rank, seconds)

    def format(self, gauges):
        """Return all counters, ``gauges`` (numbers by name) and latencies as text."""
        lines = [
            f"jackdaw_{name.replace('-', '_')}_total {value}"
            for name, value in sorted(self._counts.items())
        ]
        lines += [f"jackdaw_{name} {value}" for name, value in sorted(gauges.items())]
        for quantile in self._latencies.list_quantiles():
            labels = f'rank="{quantile.rank}",quantile="{quantile.percent / 100}"'
            lines.append(f"jackdaw_latency_seconds{{{labels}}} {quantile.seconds}")
        for rank, count in self._latencies.list_counts():
            lines.append(f'jackdaw_latency_seconds_count{{rank="{rank}"}} {count}')
        return "\n".join(lines) + "\n"

"""Counters and latency histograms, served as text."""

from jackdawlanding import latencies


class Metrics:
    """Counters and latencies of one daemon; latencies are by rank."""

    def __init__(self):
        self._counts = {}
        self._latencies = latencies.Latencies()

    def count(self, name, amount=1):
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def get(self, name):
        """Return a counter, 0 if nothing was counted."""
        return self._counts.get(name, 0)

    def record_latency(self, rank, seconds):
        """Record the seconds that a request of a rank took."""
        self._latencies.record(rank, seconds)

    def format(self, gauges):
        """Return all as lines of text; ``gauges`` maps names to numbers."""
        lines = [
            f"jackdaw_{name.replace('-', '_')}_total {value}"
            for name, value in sorted(self._counts.items())
        ]
        lines += [f"jackdaw_{name} {value}" for name, value in sorted(gauges.items())]
        for one in self._latencies.list_quantiles():
            labels = f'rank="{one.rank}",quantile="{one.percent / 100}"'
            lines.append(f"jackdaw_latency_seconds{{{labels}}} {one.seconds}")
        for rank, count in self._latencies.list_counts():
            lines.append(f'jackdaw_latency_seconds_count{{rank="{rank}"}} {count}')
        return "\n".join(lines) + "\n"

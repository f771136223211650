"""Counters and latency histograms, served as text."""

from hdrh import histogram

LOWEST_MICROS = 100
HIGHEST_MICROS = 20_000_000
DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0)
MICROS = 1_000_000


class Metrics:
    """Counters and latencies of one daemon; latencies are by rank."""

    def __init__(self):
        self._counts = {}
        self._latencies = {}

    def count(self, name, amount=1):
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def get(self, name):
        """Return a counter, 0 if nothing was counted."""
        return self._counts.get(name, 0)

    def record_latency(self, rank, seconds):
        """Record the seconds that a request of a rank took."""
        if rank not in self._latencies:
            self._latencies[rank] = histogram.HdrHistogram(
                LOWEST_MICROS, HIGHEST_MICROS, DIGITS
            )
        self._latencies[rank].record_value(int(seconds * MICROS))

    def format(self, gauges):
        """Return all as lines of text; ``gauges`` maps names to numbers."""
        lines = [
            f"jackdaw_{name.replace('-', '_')}_total {value}"
            for name, value in sorted(self._counts.items())
        ]
        lines += [f"jackdaw_{name} {value}" for name, value in sorted(gauges.items())]
        for rank, one in sorted(self._latencies.items()):
            for quantile in QUANTILES:
                seconds = one.get_value_at_percentile(quantile) / MICROS
                labels = f'rank="{rank}",quantile="{quantile / 100}"'
                lines.append(f"jackdaw_latency_seconds{{{labels}}} {seconds}")
            count = one.get_total_count()
            lines.append(f'jackdaw_latency_seconds_count{{rank="{rank}"}} {count}')
        return "\n".join(lines) + "\n"

"""Latency histograms by rank, for the metrics of a daemon."""

import typing

from hdrh import histogram

# The range of the histograms: from the duration of a local call to the longest
# wait that a caller may ask for.
LOWEST_MICROS = 10
HIGHEST_MICROS = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTS = (50.0, 90.0, 99.0, 99.9)
MICROS_PER_SECOND = 1_000_000


class Quantile(typing.NamedTuple):
    """A quantile of the latency of a rank's requests; ``percent`` is 0 to 100."""

    rank: int
    percent: float
    seconds: float


class Latencies:
    """Holds a latency histogram for each rank."""

    def __init__(self):
        self._histograms = {}

    def record(self, rank, seconds):
        """Record the latency of a request of a rank, in seconds."""
        if rank not in self._histograms:
            self._histograms[rank] = histogram.HdrHistogram(
                LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS
            )
        self._histograms[rank].record_value(int(seconds * MICROS_PER_SECOND))

    def list_quantiles(self):
        """Return a :class:`Quantile` for each rank and each of ``PERCENTS``."""
        return [
            Quantile(
                rank=rank,
                percent=percent,
                seconds=rank_histogram.get_value_at_percentile(percent)
                / MICROS_PER_SECOND,
            )
            for rank, rank_histogram in sorted(self._histograms.items())
            for percent in PERCENTS
        ]

    def list_counts(self):
        """Return ``(rank, count)`` of the requests of each rank."""
        return [
            (rank, rank_histogram.get_total_count())
            for rank, rank_histogram in sorted(self._histograms.items())
        ]

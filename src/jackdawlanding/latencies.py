"""Latency histograms by rank, for the metrics of a daemon."""

import typing

from hdrh import histogram

# From what a local call takes to the longest wait that a caller may ask for.
LOWEST_MICROS = 10
HIGHEST_MICROS = 60_000_000
DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
MICROS = 1_000_000


class Quantile(typing.NamedTuple):
    """One point of a rank's histogram; ``percent`` is 0 to 100."""

    rank: int
    percent: float
    seconds: float


class Latencies:
    """A histogram for each rank."""

    def __init__(self):
        self._histograms = {}

    def record(self, rank, seconds):
        """Record the seconds that a request of a rank took."""
        if rank not in self._histograms:
            self._histograms[rank] = histogram.HdrHistogram(
                LOWEST_MICROS, HIGHEST_MICROS, DIGITS
            )
        self._histograms[rank].record_value(int(seconds * MICROS))

    def list_quantiles(self):
        """Return a :class:`Quantile` for each rank and each of ``QUANTILES``."""
        return [
            Quantile(
                rank=rank,
                percent=percent,
                seconds=one.get_value_at_percentile(percent) / MICROS,
            )
            for rank, one in sorted(self._histograms.items())
            for percent in QUANTILES
        ]

    def list_counts(self):
        """Return ``(rank, count)`` pairs."""
        return [
            (rank, one.get_total_count())
            for rank, one in sorted(self._histograms.items())
        ]

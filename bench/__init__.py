"""Experiments that measure overload, recovery, latency and cost slopes."""

"""Experiments: load, overload, recovery, latency and slopes."""

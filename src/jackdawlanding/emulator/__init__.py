"""Emulates what the daemons work with: platform, backend servers and callers."""

"""Declarations, publications and the daemon's own settings."""

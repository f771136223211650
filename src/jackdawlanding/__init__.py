"""Overload control for service call graphs."""

__version__ = "0.1.0"

"""Declarations of services, their published form, and the settings of daemons."""

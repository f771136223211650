"""Command-line programs: the daemon and the operators' tool."""

"""The adapter to the users' platform: its names and formats; makes no decisions."""

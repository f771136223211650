"""The adapter to the users' platform: its names and formats; takes no decisions."""

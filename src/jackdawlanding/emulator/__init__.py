"""Stand-ins for what surrounds the system: platform, backend server, caller."""

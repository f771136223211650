"""Stand-ins for the users' platform, backend servers, callers and network."""

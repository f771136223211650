"""The daemon beside a backend server: its sockets, threads and readers."""

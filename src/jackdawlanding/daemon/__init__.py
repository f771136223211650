"""The threaded daemon that runs beside a backend server."""

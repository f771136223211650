"""The daemon that serves a mesh of services: one event loop, no worker threads."""

"""The daemon of a service mesh, on one event loop without worker threads."""

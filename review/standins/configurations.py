"""Configurations as the operator writes them."""

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 10000,
}


def make_route(name, *, service, kind, prefix=None, timeout=2500, attempts=2):
    """Return a route of the host ``NAME.example``, by default for all ``/NAME/``."""
    spec = {
        "host": f"{name}.example",
        "prefix": prefix or f"/{name}/",
        "routeType": kind,
        "timeoutMs": timeout,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
    }
    return {"entryKind": "routes", "metadata": {"name": f"r-{name}"}, "spec": spec}


def make(version, *routes, services):
    """Return a configuration."""
    resources = list(routes)
    for name in services:
        spec = {"healthCheckPath": "/healthz", "maxConnections": 532}
        resources.append(
            {"entryKind": "services", "metadata": {"name": name}, "spec": spec}
        )
    resources.append({"entryKind": "limits", "metadata": {}, "spec": LIMITS})
    return {
        "version": f"{version:08x}",
        "baseVersion": f"{version - 1:08x}",
        "resources": resources,
    }

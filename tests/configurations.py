"""Configurations in the format that operators write."""


def make_route(name, *, service=None, split=None, kind="safe", timeout=3000, **fields):
    """Return a route for host ``NAME.example`` and path prefix ``/NAME/``."""
    spec = {
        "host": f"{name}.example",
        "prefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": timeout,
        "targetLatencyMs": 1000,
        "priority": 1,
        "maxAttempts": 2,
    }
    if split:
        spec["trafficSplit"] = [{"service": s, "weight": w} for s, w in split.items()]
    else:
        spec["service"] = service
    spec.update(fields)
    return {"entryKind": "routes", "metadata": {"name": name}, "spec": spec}


def make(version, *routes, services=("desk",)):
    """Return a configuration in the format that operators write."""
    resources = list(routes)
    for name in services:
        spec = {"healthCheckPath": "/healthz", "maxConnections": 100}
        resources.append(
            {"entryKind": "services", "metadata": {"name": name}, "spec": spec}
        )
    limits = {
        "maxHeaderBytes": 4096,
        "maxBodyBytes": 65536,
        "headerTimeoutMs": 500,
        "idleTimeoutMs": 1500,
    }
    resources.append({"entryKind": "limits", "metadata": {}, "spec": limits})
    return {"version": f"{version:08x}", "baseVersion": "0", "resources": resources}

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


def make(version, *routes, services=("desk",), limits=None):
    """Return a configuration in the format that operators write.

    :param limits: replace some of the limits.
    """
    resources = list(routes)
    for name in services:
        spec = {"healthCheckPath": "/healthz", "maxConnections": 100}
        resources.append(
            {"entryKind": "services", "metadata": {"name": name}, "spec": spec}
        )
    all_limits = {
        "maxHeaderBytes": 4096,
        "maxBodyBytes": 65536,
        "headerTimeoutMs": 500,
        "idleTimeoutMs": 1500,
        **(limits or {}),
    }
    resources.append({"entryKind": "limits", "metadata": {}, "spec": all_limits})
    return {"version": f"{version:08x}", "baseVersion": "0", "resources": resources}

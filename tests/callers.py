"""A caller that sends single requests."""

import http.client
import itertools

_numbers = itertools.count(1)


def call_at(
    address,
    port,
    *,
    target,
    method="GET",
    body=None,
    deadline=3000,
    number=None,
    extra=(),
):
    """Send one request and return the response's status, headers and body.

    The ``Host`` header is the first path segment of ``target`` plus ``.example``;
    ``deadline`` is in milliseconds.
    """
    connection = http.client.HTTPConnection(address, port, timeout=8)
    headers = {
        "Host": f"{target.split('/')[1]}.example",
        "X-Request-Id": number or f"request-{next(_numbers)}",
        "X-Deadline-Ms": str(deadline),
        **dict(extra),
    }
    try:
        connection.request(method, target, body=body, headers=headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()

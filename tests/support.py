"""Declarations and helpers that several tests use."""

import http.client
import json
import typing

from jackdawlanding.settings import declarations

PAYOUTS = """
service = "payouts"
calls = ["awards"]

[limit]
minimum = 2
maximum = 8
queue = 16

[leaving]
grace_seconds = 10

[[work]]
name = "payout"
method = "POST"
path = "/payouts"
rank = 0
protected = true
once_only = true
repeat_horizon_seconds = 60

[[work]]
name = "status"
method = "GET"
path = "/*"
rank = 3
repeatable = true
"""

AWARDS = """
service = "awards"

[limit]
minimum = 2
maximum = 8
queue = 16

[[work]]
name = "lookup"
method = "GET"
path = "/*"
rank = 3
repeatable = true
"""


class Reply(typing.NamedTuple):
    """What a caller got."""

    status: int
    headers: dict
    body: bytes

    @property
    def outcome(self):
        return self.headers.get("Jackdaw-Outcome", "")

    @property
    def reason(self):
        return self.headers.get("Jackdaw-Reason", "")

    @property
    def document(self):
        return json.loads(self.body)


def declare(text):
    """Return the declaration of a TOML text that has no faults."""
    result = declarations.parse(text)
    if result.is_error():
        raise AssertionError(result.error)
    return result.ok


def call(port, method, target, *, body=None, headers=None, timeout=10):
    """Make one call on a connection of its own."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        response = connection.getresponse()
        return Reply(
            status=response.status,
            headers=dict(response.getheaders()),
            body=response.read(),
        )
    finally:
        connection.close()

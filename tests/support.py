"""Declarations and helpers that several test modules use."""

import http.client
import json
import threading
import time
import typing

from jackdawlanding.daemon import app
from jackdawlanding.emulator import backend, platform
from jackdawlanding.settings import declarations, options, publications

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
    """The answer that a caller received."""

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
    """Make one call on a new connection; return its :class:`Reply`."""
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


class Node:
    """A daemon in this process, beside an emulated backend server.

    :param values: settings of the daemon that differ from the defaults here.
    """

    def __init__(self, *, service, platform, behaviour=None, name=None, **values):
        self.backend = backend.BackendServer(
            behaviour=behaviour or backend.Behaviour(service_seconds=0.0)
        )
        any_port = "127.0.0.1:0"
        fields = {
            "instance": name or f"{service}-0",
            "service": service,
            "region": "r1",
            "failure_domain": "a",
            "caller_address": any_port,
            "local_address": any_port,
            "peer_address": any_port,
            "admin_address": any_port,
            "backend_address": self.backend.address,
            "platform_address": platform.address,
            "threads": 24,
            "settle_seconds": 0.1,
            **values,
        }
        self.daemon = app.Daemon(settings=options.make(fields))
        self.platform = platform
        self.backend.local_address = f"127.0.0.1:{self.daemon.ports['local']}"
        self._thread = threading.Thread(target=self.daemon.run, daemon=True)

    @property
    def port(self):
        """Return the port that callers connect to."""
        return self.daemon.ports["callers"]

    def start(self):
        """Serve and list the instance; wait until its view is established."""
        settings = self.daemon.settings
        self.backend.start()
        self._thread.start()
        self.platform.list_instance(
            settings.service,
            {
                "instance": settings.instance,
                "address": f"127.0.0.1:{self.daemon.ports['peers']}",
                "region": settings.region,
                "failure_domain": settings.failure_domain,
            },
        )
        wait_until(lambda: self.daemon.once_only.ownership.is_established)
        return self

    def stop(self):
        self.daemon._stopped.set()
        self._thread.join(5)
        self.backend.stop()


def start_platform(*texts, created=None):
    """Return a started emulated platform that publishes declarations."""
    emulated_platform = platform.Platform()
    emulated_platform.start()
    for text in texts:
        publish(emulated_platform, text, version=1, created=created)
    return emulated_platform


def publish(emulated_platform, text, *, version, created=None):
    """Publish a declaration from its TOML text.

    :param created: Unix seconds; now by default.
    """
    declaration = declare(text)
    publication = publications.Publication(
        service=declaration.service,
        version=version,
        created=int(time.time() if created is None else created),
        declaration=declaration,
    )
    emulated_platform.publish(declaration.service, publications.encode(publication))


def wait_until(condition, *, seconds=10.0):
    """Wait until a condition holds; fail after ``seconds``."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"the condition did not hold within {seconds} s")
        time.sleep(0.02)

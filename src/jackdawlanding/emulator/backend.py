"""A stand-in for a backend server with slots, a service time and inner calls.

It speaks HTTP/1.1 through ``http.server``. What it does with a request is set
by headers of the request or by its own state: it can drain, start cold, shed,
slow down, cut an answer short, and die.
"""

import collections
import http.client
import http.server
import json
import os
import socket
import threading
import time
import typing

CALL_HEADER = "Jackdaw-Call"
NONCE_HEADER = "X-Nonce"
CONTROL_PREFIX = "/-/"


class Behaviour(typing.NamedTuple):
    """How a backend server behaves.

    :param slots: requests that run at once; others wait.
    :param service_seconds: time that one request takes.
    :param inner: ``(service, target)`` of the calls that each request makes.
    :param queue: requests that may wait; more are shed with 503.
    """

    slots: int = 8
    service_seconds: float = 0.005
    inner: tuple = ()
    queue: int = 64


class BackendServer:
    """One backend server on a port of its own.

    :param local_address: ``host:port`` of the daemon's side for inner calls.
    """

    def __init__(self, *, behaviour, local_address="", host="127.0.0.1", port=0):
        self.behaviour = behaviour
        self.local_address = local_address
        self.slowdown = 1.0
        self.in_flight = 0
        self.runs = collections.Counter()
        self.started = 0
        self.answered = 0
        self.busy_seconds = 0.0
        self.on_death = lambda: os._exit(1)
        self._slots = threading.Semaphore(behaviour.slots)
        self._lock = threading.Lock()
        self._connections = threading.local()
        self._server = _Server((host, port), self)
        self.port = self._server.server_port

    @property
    def address(self):
        """Where it listens, ``host:port``."""
        return f"127.0.0.1:{self.port}"

    def start(self):
        """Serve on a thread of its own."""
        threading.Thread(
            target=self._server.serve_forever, name="backend", daemon=True
        ).start()

    def stop(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def handle(self, handler, body):
        """Run one request; called by the HTTP handler's thread."""
        with self._lock:
            self.in_flight += 1
            waiting = self.in_flight - self.behaviour.slots
        try:
            if waiting > self.behaviour.queue:
                handler.respond(503, b"shed", {"Jackdaw-Outcome": "not-run"})
                return
            with self._slots:
                self._run(handler, body)
        finally:
            with self._lock:
                self.in_flight -= 1

    def handle_control(self, handler, body):
        """Let an experiment set the slowdown and read the counters."""
        if body:
            self.slowdown = json.loads(body)["slowdown"]
        counters = {
            "started": self.started,
            "answered": self.answered,
            "busy_seconds": self.busy_seconds,
            "runs": dict(self.runs),
        }
        handler.respond(200, json.dumps(counters).encode(), {})

    def _run(self, handler, body):
        key = handler.headers.get("Idempotency-Key", "")
        with self._lock:
            self.started += 1
            if key:
                self.runs[key] += 1
        if "X-Crash" in handler.headers or "crash" in handler.path:
            self.on_death()
            handler.drop()
            return
        seconds = self.behaviour.service_seconds * self.slowdown
        time.sleep(seconds)
        with self._lock:
            self.busy_seconds += seconds
        inner = [self._call_inner(handler, *one) for one in self.behaviour.inner]
        failed = [status for status, _ in inner if status >= 400]
        answer = {
            "path": handler.path,
            "nonce": handler.headers.get(NONCE_HEADER, ""),
            "body": body.decode("latin-1"),
            "inner": [text for _, text in inner],
        }
        handler.respond(503 if failed else 200, json.dumps(answer).encode(), {})
        with self._lock:
            self.answered += 1

    def _call_inner(self, handler, service, target):
        """Make an inner call through the daemon; return status and text."""
        headers = {
            "Host": service,
            CALL_HEADER: handler.headers.get(CALL_HEADER, ""),
            NONCE_HEADER: handler.headers.get(NONCE_HEADER, ""),
        }
        try:
            connection = self._connect()
            connection.request("GET", target, headers=headers)
            response = connection.getresponse()
            return response.status, response.read().decode("latin-1")
        except (OSError, http.client.HTTPException):
            self._connections.own = None
            return 502, ""

    def _connect(self):
        connection = getattr(self._connections, "own", None)
        if connection is None:
            host, _, port = self.local_address.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=10)
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.own = connection
        return connection


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def __init__(self, address, owner):
        self.owner = owner
        super().__init__(address, _Handler)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_GET(self):
        """Run a request without a body."""
        self._handle()

    def do_POST(self):
        """Run a request with a body."""
        self._handle()

    def respond(self, status, body, headers):
        """Send a whole answer, or cut it short where the request asks for it."""
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if "X-Cut" in self.headers:
            self.wfile.write(body[: len(body) // 2])
            self.drop()
            return
        self.wfile.write(body)
        self.wfile.flush()

    def drop(self):
        """Close the connection without more bytes."""
        self.wfile.flush()
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)

    def log_message(self, format, *arguments):
        """Log nothing."""

    def _handle(self):
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        if self.path.startswith(CONTROL_PREFIX):
            self.server.owner.handle_control(self, body)
        else:
            self.server.owner.handle(self, body)

"""Emulates a backend server with slots, a service time and nested calls.

It speaks HTTP/1.1 through ``http.server``. It sheds requests when its queue is
full and can be slowed down. The header ``X-Cut`` makes it cut the answer short;
the header ``X-Crash`` or ``crash`` in the path makes it crash.
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
    """Capacity, speed and nested calls of a backend server.

    :param slots: requests that run at once; others wait.
    :param service_seconds: time that one request takes.
    :param nested_calls: ``(service, target)`` of each call that a request makes.
    :param queue_length: requests that may wait; more are shed with 503.
    """

    slots: int = 8
    service_seconds: float = 0.005
    nested_calls: tuple = ()
    queue_length: int = 64


class BackendServer:
    """Serves HTTP requests and counts them, and how often each key has run.

    ``slowdown`` multiplies the service time; ``on_crash`` is called where a request
    crashes the backend server, and ends the process by default.

    :param local_address: ``host:port`` where the daemon takes nested calls.
    :param port: port to listen on; 0 chooses a free one.
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
        self.on_crash = lambda: os._exit(1)
        self._slots = threading.Semaphore(behaviour.slots)
        self._lock = threading.Lock()
        self._connections = threading.local()
        self._server = _Server((host, port), self)
        self.port = self._server.server_port

    @property
    def address(self):
        """Return the address that it listens on, as ``host:port``."""
        return f"127.0.0.1:{self.port}"

    def start(self):
        """Start to serve on a background thread."""
        threading.Thread(
            target=self._server.serve_forever, name="backend", daemon=True
        ).start()

    def stop(self):
        """Stop serving and close the listening socket."""
        self._server.shutdown()
        self._server.server_close()

    def handle(self, handler, body):
        """Run one request, or shed it where the queue is full.

        Called on the thread of the HTTP handler.
        """
        with self._lock:
            self.in_flight += 1
            waiting = self.in_flight - self.behaviour.slots
        try:
            if waiting > self.behaviour.queue_length:
                handler.respond(503, b"shed", {"Jackdaw-Outcome": "not-run"})
                return
            with self._slots:
                self._run(handler, body)
        finally:
            with self._lock:
                self.in_flight -= 1

    def handle_control(self, handler, body):
        """Set the slowdown where the body has one, and answer with the counters."""
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
            self.on_crash()
            handler.drop()
            return
        seconds = self.behaviour.service_seconds * self.slowdown
        time.sleep(seconds)
        with self._lock:
            self.busy_seconds += seconds
        replies = [
            self._call_nested(handler, *call) for call in self.behaviour.nested_calls
        ]
        failed = [status for status, _ in replies if status >= 400]
        answer = {
            "path": handler.path,
            "nonce": handler.headers.get(NONCE_HEADER, ""),
            "body": body.decode("latin-1"),
            "inner": [text for _, text in replies],
        }
        handler.respond(503 if failed else 200, json.dumps(answer).encode(), {})
        with self._lock:
            self.answered += 1

    def _call_nested(self, handler, service, target):
        """Make a nested call through the daemon; return its status and text.

        The status is 502 where the daemon can't be reached or its answer is cut.
        """
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
            self._connections.connection = None
            return 502, ""

    def _connect(self):
        """Return this thread's connection to the daemon; make it where missing."""
        connection = getattr(self._connections, "connection", None)
        if connection is None:
            host, _, port = self.local_address.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=10)
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.connection = connection
        return connection


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def __init__(self, address, backend_server):
        self.backend_server = backend_server
        super().__init__(address, _Handler)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_GET(self):
        """Handle a GET request."""
        self._handle()

    def do_POST(self):
        """Handle a POST request."""
        self._handle()

    def respond(self, status, body, headers):
        """Send the answer; cut it short where the request has ``X-Cut``."""
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
        """Close the connection without sending more."""
        self.wfile.flush()
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)

    def log_message(self, format, *arguments):
        """Log nothing."""

    def _handle(self):
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        if self.path.startswith(CONTROL_PREFIX):
            self.server.backend_server.handle_control(self, body)
        else:
            self.server.backend_server.handle(self, body)

"""A stand-in for a sound backend server (an upstream of the users' pages)."""

import http.server
import threading
import time

ENTRY_DEFAULTS = {"version": "v1", "warmupRemainingMs": 0, "sequence": 1}


class BackendServer:
    """Runs requests that expect it, rejects others with 421, and records both.

    ``runs`` holds ``(time, request id, caller service, method, path, body)`` of each
    request that began to run; the times are of the monotonic clock.

    :param host: its loopback address.
    :param slots: how many requests it runs at once; it sheds all others.
    :param seconds: how long each request takes.
    """

    def __init__(self, *, instance, service, zone, host, slots=72, seconds=0.05):
        self.instance = instance
        self.service = service
        self.zone = zone
        self.host = host
        self.slots = slots
        self.seconds = seconds
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []
        self.misdirected = []
        self._running = 0
        self._lock = threading.Lock()
        backend_server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def answer(self):
                backend_server._answer(self)

            do_GET = do_POST = do_PUT = do_DELETE = answer

            def log_message(self, *arguments):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 1024

            def handle_error(self, request, client_address):
                pass

        self._server = Server((host, 0), Handler)
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def make_entry(self):
        """Return its entry in the store."""
        return {
            **ENTRY_DEFAULTS,
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "maxConcurrency": self.slots,
            "state": self.state,
            "born": self.born,
        }

    def stop(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def _answer(self, handler):
        body = handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        request_id = handler.headers.get("X-Request-Id", "")
        if handler.path == "/healthz":
            is_ready = self.state == "ready"
            headers = {"X-Instance-Id": self.instance}
            self._send(handler, 200 if is_ready else 503, b"", headers)
            return
        headers = {"X-Request-Id": request_id}
        if handler.headers.get("X-Expected-Instance") not in (None, self.instance):
            self.misdirected.append((time.monotonic(), request_id))
            headers["X-Instance-Id"] = self.instance
            self._send(handler, 421, b"", headers)
            return
        with self._lock:
            has_room = self._running < self.slots
            if has_room:
                self._running += 1
                self.runs.append(
                    (
                        time.monotonic(),
                        request_id,
                        handler.headers.get("X-Caller-Service", ""),
                        handler.command,
                        handler.path,
                        body,
                    )
                )
        if not has_room:
            self._send(handler, 503, b"", {**headers, "X-Not-Executed": "1"})
            return
        try:
            time.sleep(self.seconds)
        finally:
            with self._lock:
                self._running -= 1
        headers["X-Server-Signature"] = f"{self.instance}.{request_id}"
        self._send(handler, 200, b"ran " + request_id.encode(), headers)

    def _send(self, handler, status, body, headers):
        handler.send_response(status)
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        if self.state == "draining":
            handler.send_header("Connection", "close")
            handler.close_connection = True
        handler.end_headers()
        handler.wfile.write(body)

"""A backend server for a mesh, with slots and a service time, run as a process."""

import http.server
import json
import sys
import threading
import time

REQUEST_ID_HEADER = "X-Request-Id"


class Server(http.server.ThreadingHTTPServer):
    """Runs up to ``slots`` requests at once, each for ``seconds``."""

    daemon_threads = True
    request_queue_size = 512

    def __init__(self, address, *, slots, seconds):
        super().__init__(address, Handler)
        self.slots = threading.Semaphore(slots)
        self.seconds = seconds


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers with the caller's nonce and a signature after the service time."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_GET(self):
        """Wait for a slot, run the request and answer it."""
        with self.server.slots:
            time.sleep(self.server.seconds)
        body = json.dumps({"nonce": self.headers.get("X-Nonce", "")}).encode()
        self.send_response_only(200)
        self.send_header(REQUEST_ID_HEADER, self.headers.get(REQUEST_ID_HEADER, ""))
        self.send_header("X-Server-Signature", "bench")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *arguments):
        """Log nothing."""


if __name__ == "__main__":
    host, port, slots, seconds = sys.argv[1:]
    Server((host, int(port)), slots=int(slots), seconds=float(seconds)).serve_forever()

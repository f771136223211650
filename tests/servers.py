"""The HTTP server of the fakes."""

import http.server


class Server(http.server.ThreadingHTTPServer):
    """Serves each connection on its own daemon thread."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Print nothing: tests break connections on purpose."""


def send(handler, status, body, headers=()):
    """Send a complete response."""
    handler.send_response(status)
    for name, value in dict(headers).items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)

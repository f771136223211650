"""A backend server that answers at once; run as a process of its own.

A request with an id gets it back with a signature, as the mesh expects it.
"""

import re
import socket
import sys
import threading

HEAD_END = b"\r\n\r\n"
REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: *([^\r]*)")
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
MARKS = b"X-Request-Id: %s\r\nX-Server-Signature: echo\r\n"
REST = b"Content-Length: 200\r\n\r\n" + b"x" * 200


def serve(host, port):
    """Answer every request on an address until the process is ended."""
    listener = socket.create_server((host, port), backlog=128)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=_answer, args=(sock,), daemon=True).start()


def _answer(sock):
    """Answer requests without a body, one after another."""
    while data := sock.recv(65536):
        if data.endswith(HEAD_END):
            found = REQUEST_ID.search(data)
            marks = MARKS % found[1] if found else b""
            sock.sendall(STATUS_LINE + marks + REST)


if __name__ == "__main__":
    serve(sys.argv[1], int(sys.argv[2]))

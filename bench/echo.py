"""A backend server that answers immediately, run as a separate process.

The answer to a request with an id carries this id and a signature, which the mesh
requires.
"""

import re
import socket
import sys
import threading

HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: *([^\r]*)")
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
SIGNATURE_HEADERS = b"X-Request-Id: %s\r\nX-Server-Signature: echo\r\n"
LENGTH_AND_BODY = b"Content-Length: 200\r\n\r\n" + b"x" * 200


def serve(host, port):
    """Answer every request on an address until the process ends."""
    listener = socket.create_server((host, port), backlog=128)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=_answer, args=(sock,), daemon=True).start()


def _answer(sock):
    """Answer a connection's requests one after another."""
    while data := sock.recv(65536):
        head, _, body = data.partition(HEAD_END)
        length = CONTENT_LENGTH.search(head)
        if length and not _skip(sock, int(length[1]) - len(body)):
            return
        request_id = REQUEST_ID.search(head)
        headers = SIGNATURE_HEADERS % request_id[1] if request_id else b""
        sock.sendall(STATUS_LINE + headers + LENGTH_AND_BODY)


def _skip(sock, count):
    """Receive ``count`` bytes; return whether they came."""
    while count > 0:
        data = sock.recv(65536)
        count -= len(data)
        if not data:
            return False
    return True


if __name__ == "__main__":
    serve(sys.argv[1], int(sys.argv[2]))

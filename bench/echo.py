"""A backend server that answers at once; run as a process of its own."""

import socket
import sys
import threading

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + b"x" * 200
HEAD_END = b"\r\n\r\n"


def serve(port):
    """Answer every request on ``port`` until the process is ended."""
    listener = socket.create_server(("127.0.0.1", port), backlog=128)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=_answer, args=(sock,), daemon=True).start()


def _answer(sock):
    """Answer requests without a body, one after another."""
    while data := sock.recv(65536):
        if data.endswith(HEAD_END):
            sock.sendall(ANSWER)


if __name__ == "__main__":
    serve(int(sys.argv[1]))

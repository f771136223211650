"""Fake peers: many listed instances that answer sync messages, in one thread."""

import selectors
import socket
import threading

from jackdawlanding.wire import codec, framing


class FakePeers:
    """Listens on one port an instance and agrees with whatever view is asked.

    :param service: the service whose instances they are.
    :param count: how many.
    """

    def __init__(self, *, service, count):
        self._selector = selectors.DefaultSelector()
        self._stopped = False
        self.entries = []
        for number in range(count):
            listener = socket.create_server(("127.0.0.1", 0))
            name = f"fake-{number}"
            self._selector.register(listener, selectors.EVENT_READ, (name, None))
            self.entries.append(
                {
                    "instance": name,
                    "address": f"127.0.0.1:{listener.getsockname()[1]}",
                    "region": "r1",
                    "failure_domain": "a",
                }
            )
        self._service = service

    def start(self):
        """Answer on a thread of its own."""
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self):
        """Stop answering."""
        self._stopped = True

    def _serve(self):
        while not self._stopped:
            for key, _ in self._selector.select(0.2):
                name, reader = key.data
                if reader is None:
                    sock, _ = key.fileobj.accept()
                    data = (name, framing.FrameReader())
                    self._selector.register(sock, selectors.EVENT_READ, data)
                else:
                    self._answer(key.fileobj, name, reader)

    def _answer(self, sock, name, reader):
        data = sock.recv(65536)
        if not data:
            self._selector.unregister(sock)
            sock.close()
            return
        reader.feed(data)
        while frame := reader.read_frame():
            asked = codec.decode_sync(frame.message)
            answer = codec.SyncMessage(
                id=asked.id,
                instance=name,
                incarnation="f",
                service=self._service,
                view_hash=asked.view_hash,
                publications=asked.publications,
                agrees=True,
                pending=(("someone",),) if asked.wants_keys else (),
                has_kept_up=True,
            )
            message = codec.encode_sync(answer)
            sock.sendall(
                framing.encode_frame(kind=framing.Kind.SYNCED, message=message)
            )

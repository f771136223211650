"""Fake peers: many listed instances that answer sync messages on one thread."""

import selectors
import socket
import threading

from jackdawlanding.wire import codec, framing


class FakePeers:
    """Listens on one port per instance and agrees with the view of every request.

    ``platform_entries`` holds what the platform lists of the instances.

    :param service: the service that the instances belong to.
    :param count: how many instances.
    """

    def __init__(self, *, service, count):
        self._selector = selectors.DefaultSelector()
        self._stopped = False
        self.platform_entries = []
        for number in range(count):
            listener = socket.create_server(("127.0.0.1", 0))
            name = f"fake-{number}"
            self._selector.register(listener, selectors.EVENT_READ, (name, None))
            self.platform_entries.append(
                {
                    "instance": name,
                    "address": f"127.0.0.1:{listener.getsockname()[1]}",
                    "region": "r1",
                    "failure_domain": "a",
                }
            )
        self._service = service

    def start(self):
        """Start answering on a background thread."""
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self):
        """Tell the thread to stop answering."""
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
            request = codec.decode_sync(frame.message)
            reply = codec.SyncMessage(
                id=request.id,
                instance=name,
                incarnation="f",
                service=self._service,
                view_hash=request.view_hash,
                publications=request.publications,
                agrees=True,
                pending=(("someone",),) if request.wants_keys else (),
                has_kept_up=True,
            )
            message = codec.encode_sync(reply)
            sock.sendall(
                framing.encode_frame(kind=framing.Kind.SYNCED, message=message)
            )

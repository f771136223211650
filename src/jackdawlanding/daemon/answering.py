"""Answers the calls and sync messages that other daemons send."""

import logging
import threading

from jackdawlanding.daemon import cancellations, reactor
from jackdawlanding.wire import codec, framing

logger = logging.getLogger("jackdaw.answering")

WRITE_TIMEOUT_SECONDS = 5.0
MAXIMUM_CALLS_PER_CONNECTION = 1024
READ_BYTES = 65536


class PeerHandler:
    """The answering side of a connection from one peer; a reactor's handler.

    :param watcher: the :class:`reactor.Reactor` that watches the socket.
    :param serve_call: called with a call message, its body and a
        ``cancellations.Cancellation``; returns an answer message and a body.
    :param serve_sync: called with a sync message and its body; returns the same.
    :param on_closed: called once when the connection closes.
    """

    def __init__(self, *, sock, watcher, serve_call, serve_sync, on_closed):
        self.sock = sock
        self._watcher = watcher
        self._serve_call = serve_call
        self._serve_sync = serve_sync
        self._on_closed = on_closed
        self._reader = framing.FrameReader()
        self._write_lock = threading.Lock()
        self._cancellations = {}
        self._is_closed = False
        sock.settimeout(WRITE_TIMEOUT_SECONDS)

    def on_readable(self):
        """Read frames; serve the last on this thread, the others on extra threads."""
        data = self.sock.recv(READ_BYTES)
        if not data:
            return reactor.SocketAction.CLOSE
        try:
            self._reader.feed(data)
            requests = self._read_requests()
        except (framing.FrameError, codec.MessageError) as error:
            logger.warning("answering: closing the connection of a peer: %s.", error)
            return reactor.SocketAction.CLOSE
        if not requests:
            return reactor.SocketAction.WATCH
        for serve, message, body in requests[:-1]:
            self._watcher.spawn(serve, message, body)
        # Watched again before serving, so that later frames do not wait for this one.
        self._watcher.rearm(self)
        serve, message, body = requests[-1]
        serve(message, body)
        return reactor.SocketAction.DETACH

    def is_overdue(self, now):
        """Return ``False``: an idle connection of a peer stays open."""
        return False

    def on_overdue(self):
        """Do nothing; a peer's connection is never overdue."""

    def close(self):
        """Close the socket, once."""
        if self._is_closed:
            return
        self._is_closed = True
        self.sock.close()
        self._on_closed()

    def _read_requests(self):
        requests = []
        while frame := self._reader.read_frame():
            if frame.kind == framing.Kind.CALL:
                message = codec.decode_call(frame.message)
                requests.append((self._answer_call, message, frame.body))
            elif frame.kind == framing.Kind.SYNC:
                message = codec.decode_sync(frame.message)
                requests.append((self._answer_sync, message, frame.body))
            elif frame.kind == framing.Kind.CANCEL:
                message = codec.decode_cancel(frame.message)
                # A call that is cancelled before it has begun is dropped.
                requests = [
                    request for request in requests if not _is_call(request, message.id)
                ]
                self._cancel(message)
            else:
                raise framing.FrameError(
                    f"frame kind {frame.kind} is not CALL, SYNC or CANCEL"
                )
        return requests

    def _cancel(self, message):
        cancellation = self._cancellations.get(message.id)
        if cancellation:
            cancellation.cancel()

    def _answer_call(self, message, body):
        if len(self._cancellations) >= MAXIMUM_CALLS_PER_CONNECTION:
            answer = codec.AnswerMessage(id=message.id, status=503, reason="over-limit")
            self._send(framing.Kind.ANSWER, codec.encode_answer(answer), b"")
            return
        cancellation = cancellations.Cancellation()
        self._cancellations[message.id] = cancellation
        try:
            answer, answer_body = self._serve_call(message, body, cancellation)
        finally:
            self._cancellations.pop(message.id, None)
        self._send(framing.Kind.ANSWER, codec.encode_answer(answer), answer_body)

    def _answer_sync(self, message, body):
        answer, answer_body = self._serve_sync(message, body)
        self._send(framing.Kind.SYNCED, codec.encode_sync(answer), answer_body)

    def _send(self, kind, message, body):
        data = framing.encode_frame(kind=kind, message=message, body=body)
        with self._write_lock:
            try:
                self.sock.sendall(data)
            except OSError:
                logger.info(
                    "answering: an answer was dropped because its connection is closed."
                )


def _is_call(request, message_id):
    _, message, _ = request
    return isinstance(message, codec.CallMessage) and message.id == message_id

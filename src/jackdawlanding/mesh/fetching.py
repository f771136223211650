"""Reads over one kept HTTP connection, one at a time, each with a time limit."""

from jackdawlanding.mesh import streams
from jackdawlanding.wire import http


class Fetcher:
    """Sends GET requests to one address.

    :param loop: the event loop.
    :param address: a pair of host and port.
    """

    def __init__(self, *, loop, address):
        self._loop = loop
        self._address = address
        self._stream = None
        self._reader = None
        self._done = None
        self._timer = None

    @property
    def is_busy(self):
        """Whether a read is under way."""
        return self._done is not None

    def get(self, target, *, seconds, done):
        """Read a target; ``done(response)`` gets ``None`` where it failed."""
        self._done = done
        self._timer = self._loop.call_later(seconds, self._fail)
        stream = self._stream
        if stream is None or not stream.is_open or streams.has_unread(stream.sock):
            self._connect()
        headers = [(b"Host", f"{self._address[0]}:{self._address[1]}".encode())]
        self._stream.write(
            http.format_request(
                method="GET", target=target, headers=headers, body=b"", has_body=False
            )
        )

    def close(self):
        """Close the connection; a read under way tells nothing."""
        self._done = None
        self._drop()

    def _connect(self):
        self._drop()
        self._reader = http.ResponseReader()
        self._stream = streams.connect(loop=self._loop, address=self._address)
        self._stream.on_data = self._take
        self._stream.on_closed = lambda was_reset: self._fail()

    def _take(self, data):
        try:
            self._reader.feed(data)
        except http.ResponseError:
            self._fail()
            return
        ready, self._reader.ready = self._reader.ready, []
        if not ready:
            return
        if self._done is None or not self._reader.is_reusable:
            self._drop()
        if self._done is not None:
            self._finish(ready[0])

    def _fail(self):
        self._drop()
        if self._done is not None:
            self._finish(None)

    def _finish(self, response):
        self._timer.cancel()
        done, self._done = self._done, None
        done(response)

    def _drop(self):
        if self._stream is not None:
            self._stream.close()
            self._stream = None

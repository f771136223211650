"""HTTP GET requests over one persistent connection, one at a time."""

import time

from jackdawlanding.mesh import streams
from jackdawlanding.wire import http, sockets

# A connection that was idle for longer may have gone silent: a new one is opened.
MAXIMUM_IDLE_SECONDS = 5.0


class Fetcher:
    """Sends GET requests to one address, each with a timeout.

    :param loop: the event loop.
    :param address: a pair of host and port.
    """

    def __init__(self, *, loop, address):
        self._loop = loop
        self._address = address
        self._stream = None
        self._reader = None
        self._on_response = None
        self._timer = None
        self._used_at = 0.0

    @property
    def is_busy(self):
        """Whether a request is in flight."""
        return self._on_response is not None

    def get(self, target, *, seconds, on_response):
        """Send a request; ``on_response(response)`` is called once.

        :param seconds: the timeout.
        :param on_response: gets the response, or ``None`` if the request failed.
        """
        self._on_response = on_response
        self._timer = self._loop.call_later(seconds, self._fail)
        if not self._can_reuse():
            self._connect()
        headers = [(b"Host", f"{self._address[0]}:{self._address[1]}".encode())]
        self._stream.write(
            http.format_request(
                method="GET", target=target, headers=headers, body=b"", has_body=False
            )
        )

    def close(self):
        """Close the connection; ``on_response`` of a request in flight isn't called."""
        self._on_response = None
        self._disconnect()

    def _can_reuse(self):
        stream = self._stream
        return (
            stream is not None
            and stream.is_open
            and time.monotonic() - self._used_at <= MAXIMUM_IDLE_SECONDS
            and not sockets.has_unread(stream.sock)
        )

    def _connect(self):
        self._disconnect()
        self._reader = http.ResponseReader()
        self._stream = streams.connect(loop=self._loop, address=self._address)
        self._stream.on_data = self._on_data
        self._stream.on_closed = lambda was_reset: self._fail()

    def _on_data(self, data):
        try:
            self._reader.feed(data)
        except http.ResponseError:
            self._fail()
            return
        ready, self._reader.ready = self._reader.ready, []
        if not ready:
            return
        if self._on_response is None or not self._reader.is_reusable:
            self._disconnect()
        if self._on_response is not None:
            self._finish(ready[0])

    def _fail(self):
        self._disconnect()
        if self._on_response is not None:
            self._finish(None)

    def _finish(self, response):
        self._timer.cancel()
        self._used_at = time.monotonic()
        on_response, self._on_response = self._on_response, None
        on_response(response)

    def _disconnect(self):
        if self._stream is not None:
            self._stream.close()
            self._stream = None

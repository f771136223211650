"""A stand-in for the platform's store, which daemons can only read."""

import base64
import http.server
import json
import threading
import time
import urllib.parse

HISTORY_SECONDS = 20.0
PAGE_ITEMS = 500
MAXIMUM_WAIT_SECONDS = 30.0


class Store:
    """Serves ranges and watches of its items, with a history of 20 s.

    :param host: the loopback address to listen on.
    """

    def __init__(self, *, host="127.0.0.1"):
        self.revision = 100
        self._items = {}
        # Pairs of the time of a change and its event.
        self._events = []
        self._forgotten = self.revision
        self._changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):
                store._answer(self)

            def log_message(self, *arguments):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                pass

        self._server = Server((host, 0), Handler)
        self.address = f"{host}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Write an object, bytes, or ``None`` to remove; return when it was accepted.

        The time is that of the monotonic clock.
        """
        with self._changed:
            self.revision += 1
            if value is None:
                self._items.pop(key, None)
                event = {"key": key, "revision": self.revision, "removed": True}
            else:
                data = value if isinstance(value, bytes) else json.dumps(value).encode()
                known = self._items.get(key)
                event = self._items[key] = {
                    "key": key,
                    "value": base64.b64encode(data).decode(),
                    "revision": self.revision,
                    "created": known["created"] if known else self.revision,
                    "lease": 0,
                }
            self._events.append((time.monotonic(), event))
            self._changed.notify_all()
        return time.monotonic()

    def stop(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def _answer(self, handler):
        path, _, query = handler.path.partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/jackdawlanding/kv-range":
            self._send(handler, 200, self._list(values))
        elif path == "/jackdawlanding/kv-watch":
            page = self._watch(values)
            self._send(handler, 410 if page is None else 200, page or {})
        else:
            self._send(handler, 404, {})

    def _list(self, values):
        with self._changed:
            found = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(values["prefix"]) and key > values.get("after", "")
            ]
            return {
                "items": found[:PAGE_ITEMS],
                "hasMore": len(found) > PAGE_ITEMS,
                "at": self.revision,
            }

    def _watch(self, values):
        after = int(values["after"])
        wait = min(MAXIMUM_WAIT_SECONDS, int(values["waitMs"]) / 1000)
        end = time.monotonic() + wait
        with self._changed:
            while True:
                self._forget()
                if after < self._forgotten:
                    return None
                events = [
                    event
                    for _, event in self._events
                    if event["revision"] > after
                    and event["key"].startswith(values["prefix"])
                ]
                remaining = end - time.monotonic()
                if events or remaining <= 0:
                    return {"events": events, "at": self.revision}
                self._changed.wait(remaining)

    def _forget(self):
        while self._events and time.monotonic() - self._events[0][0] > HISTORY_SECONDS:
            self._forgotten = self._events.pop(0)[1]["revision"]

    def _send(self, handler, status, document):
        body = json.dumps(document).encode()
        handler.send_response(status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

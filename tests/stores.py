"""A fake of the platform's store."""

import base64
import http.server
import json
import threading
import time
import urllib.parse

from tests import servers


class Store:
    """Serves items with revisions over HTTP: ranges and watches.

    ``failure`` is a status that all requests get, ``None`` for proper answers, and
    ``page_size`` the most items of a page.
    """

    def __init__(self):
        self.revision = 10
        self.history_from = 0
        self.items = {}
        self.events = []
        self.calls = []
        self.failure = None
        self.page_size = 500
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                store.answer(self)

            def log_message(self, *arguments):
                pass

        self._server = servers.Server(("127.0.0.1", 0), Handler)
        self.bound_address = self._server.server_address
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.01,), daemon=True
        ).start()

    def stop(self):
        self._server.shutdown()
        self._server.server_close()

    def put(self, key, value):
        """Write a value and return the new revision.

        :param value: bytes, an object to encode as JSON, or ``None`` to remove.
        """
        with self.changed:
            self.revision += 1
            if value is None:
                self.items.pop(key, None)
                event = {"key": key, "revision": self.revision, "removed": True}
            else:
                data = value if isinstance(value, bytes) else json.dumps(value).encode()
                event = {
                    "key": key,
                    "value": base64.b64encode(data).decode(),
                    "revision": self.revision,
                    "created": self.revision,
                    "lease": 0,
                }
                self.items[key] = event
            self.events.append(event)
            self.changed.notify_all()
            return self.revision

    def forget_history(self):
        with self.changed:
            self.history_from = self.revision
            self.events.clear()

    def answer(self, handler):
        path, _, query = handler.path.partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.calls.append(path)
        if self.failure is not None:
            servers.send(handler, self.failure, b"{}")
        elif path.endswith("kv-range"):
            self._send_range(handler, values)
        elif path.endswith("kv-watch"):
            self._send_watch(handler, values)
        else:
            servers.send(handler, 404, b"{}")

    def _send_range(self, handler, values):
        with self.changed:
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(values["prefix"]) and key > values.get("after", "")
            ]
            page = {
                "items": items[: self.page_size],
                "hasMore": len(items) > self.page_size,
                "at": self.revision,
            }
        servers.send(handler, 200, json.dumps(page).encode())

    def _send_watch(self, handler, values):
        after = int(values["after"])
        end = time.monotonic() + int(values["waitMs"]) / 1000
        with self.changed:
            while True:
                if after < self.history_from:
                    break
                events = [event for event in self.events if event["revision"] > after]
                remaining = end - time.monotonic()
                if events or remaining <= 0:
                    break
                self.changed.wait(remaining)
            page = {
                "events": events if after >= self.history_from else [],
                "at": self.revision,
            }
            is_history_gone = after < self.history_from
        servers.send(
            handler, 410 if is_history_gone else 200, json.dumps(page).encode()
        )

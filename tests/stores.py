"""A fake of the platform's store."""

import base64
import http.server
import json
import threading
import time
import urllib.parse

from jackdawlanding.decisions import revisions
from tests import servers


class Store:
    """Serves items with revisions over HTTP: ranges and watches.

    ``failure`` is a status that all requests get, ``None`` for proper answers, and
    ``page_size`` the most items of a page. ``era`` rises with each restore from a copy.
    """

    def __init__(self):
        self.revision = 10
        self.history_from = 0
        self.era = 1
        self.restored_at = 0
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

    @property
    def full_revision(self):
        """The revision as daemons hold it, with its era."""
        return revisions.make(era=self.era, number=self.revision)

    def copy(self):
        """Return what :meth:`restore` takes."""
        with self.changed:
            return self.revision, dict(self.items), list(self.events)

    def restore(self, copy):
        """Go back to a copy; return the last event of each key that is lost by it."""
        with self.changed:
            self.revision, items, events = copy
            self.restored_at = self.revision
            lost = {
                event["key"]: event
                for event in self.events
                if event["revision"] > self.revision
            }
            self.items, self.events = dict(items), list(events)
            self.era += 1
            self.changed.notify_all()
            return lost

    def write_again(self, event):
        """Write what a lost event held, unless its key was written since."""
        with self.changed:
            key, value = event["key"], event.get("value")
            written = {
                known["key"]
                for known in self.events
                if known["revision"] > self.restored_at
            }
            if key not in written:
                self.put(key, value and base64.b64decode(value))

    def forget_history(self):
        with self.changed:
            self.history_from = self.revision
            self.events.clear()

    def answer(self, handler):
        path, _, query = handler.path.partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.calls.append(path)
        if self.failure is not None:
            self._send(handler, self.failure, {})
        elif path.endswith("kv-range"):
            self._send_range(handler, values)
        elif path.endswith("kv-watch"):
            self._send_watch(handler, values)
        else:
            self._send(handler, 404, {})

    def _send(self, handler, status, document):
        headers = {"Store-Era": str(self.era)}
        servers.send(handler, status, json.dumps(document).encode(), headers)

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
        self._send(handler, 200, page)

    def _send_watch(self, handler, values):
        after, era = int(values["after"]), self.era
        end = time.monotonic() + int(values["waitMs"]) / 1000
        with self.changed:
            while True:
                if self.era != era:
                    # A watch that was waiting is cut.
                    handler.close_connection = True
                    return
                if after < self.history_from or after > self.revision:
                    break
                events = [event for event in self.events if event["revision"] > after]
                remaining = end - time.monotonic()
                if events or remaining <= 0:
                    break
                self.changed.wait(remaining)
            is_history_gone = not self.history_from <= after <= self.revision
            page = {"events": [] if is_history_gone else events, "at": self.revision}
        self._send(handler, 410 if is_history_gone else 200, page)

"""A stand-in for the platform: published values and lists of instances.

Tests publish into it directly; daemons can only read. It can be down, serve
old data, and list late.
"""

import threading
import time

import msgspec
from werkzeug import exceptions, routing, serving, wrappers


class Platform:
    """Holds values and instances; answers reads over HTTP.

    :param lag: seconds after which a change of the list is seen by readers.
    """

    def __init__(self, *, host="127.0.0.1", port=0, lag=0.0):
        self.lag = lag
        self.is_down = False
        self.reads = 0
        self._values = {}
        self._old_values = {}
        self._serves_old = False
        self._lists = {}
        self._lock = threading.Lock()
        self._urls = routing.Map(
            [
                routing.Rule("/v1/values/<service>", endpoint=self._read_value),
                routing.Rule("/v1/instances/<service>", endpoint=self._read_list),
            ]
        )
        self._server = serving.make_server(
            host, port, self._respond, threaded=True, request_handler=_QuietHandler
        )
        self.address = f"{host}:{self._server.server_port}"

    def start(self):
        """Serve on a thread of its own."""
        threading.Thread(
            target=self._server.serve_forever, name="platform", daemon=True
        ).start()

    def stop(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def publish(self, service, data):
        """Publish a service's value."""
        with self._lock:
            self._old_values.setdefault(service, self._values.get(service, data))
            self._values[service] = data

    def freeze(self):
        """Remember today's values as the old data that may be served later."""
        with self._lock:
            self._old_values = dict(self._values)

    def serve_old(self, does):
        """Serve the values of the last :meth:`freeze`, or the latest again."""
        self._serves_old = does

    def list_instance(self, service, entry):
        """List an instance; ``entry`` has the fields of the platform's page."""
        with self._lock:
            entries = dict(self._current(service))
            entries[entry["instance"]] = entry
            self._change(service, entries)

    def unlist_instance(self, service, instance):
        """Take an instance off the list."""
        with self._lock:
            entries = dict(self._current(service))
            entries.pop(instance, None)
            self._change(service, entries)

    def _current(self, service):
        changes = self._lists.get(service)
        return changes[-1][1] if changes else {}

    def _change(self, service, entries):
        self._lists.setdefault(service, []).append((time.monotonic(), entries))

    def _respond(self, environ, start_response):
        self.reads += 1
        try:
            if self.is_down:
                raise exceptions.ServiceUnavailable
            endpoint, arguments = self._urls.bind_to_environ(environ).match()
            response = endpoint(**arguments)
        except exceptions.HTTPException as error:
            response = error
        return response(environ, start_response)

    def _read_value(self, service):
        values = self._old_values if self._serves_old else self._values
        if service not in values:
            raise exceptions.NotFound
        return wrappers.Response(values[service], mimetype="application/json")

    def _read_list(self, service):
        now = time.monotonic()
        entries = {}
        with self._lock:
            for at, one in self._lists.get(service, []):
                if now - at >= self.lag:
                    entries = one
        data = msgspec.json.encode(list(entries.values()))
        return wrappers.Response(data, mimetype="application/json")


class _QuietHandler(serving.WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def log(self, kind, message, *arguments):
        """Log nothing."""

"""Emulates the platform: published values and lists of instances.

Tests publish into it directly; daemons can only read. It can be down, serve
old values, and delay changes of the lists.
"""

import threading
import time

import msgspec
from werkzeug import exceptions, routing, serving, wrappers


class Platform:
    """Holds published values and lists of instances, and serves them over HTTP.

    While ``is_down`` is set, every read gets a 503. ``reads`` counts the reads.

    :param lag: seconds until readers see a change of a list.
    """

    def __init__(self, *, host="127.0.0.1", port=0, lag=0.0):
        self.lag = lag
        self.is_down = False
        self.reads = 0
        self._values = {}
        self._old_values = {}
        self._serves_old = False
        self._list_changes = {}
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
        """Start to serve on a background thread."""
        threading.Thread(
            target=self._server.serve_forever, name="platform", daemon=True
        ).start()

    def stop(self):
        """Stop serving and close the listening socket."""
        self._server.shutdown()
        self._server.server_close()

    def publish(self, service, data):
        """Publish the value of a service, as bytes."""
        with self._lock:
            self._old_values.setdefault(service, self._values.get(service, data))
            self._values[service] = data

    def freeze(self):
        """Save the current values as the ones that :meth:`serve_old` serves."""
        with self._lock:
            self._old_values = dict(self._values)

    def serve_old(self, is_enabled):
        """Serve the values of the last :meth:`freeze`, or the current ones again."""
        self._serves_old = is_enabled

    def list_instance(self, service, entry):
        """Add an instance to the list of a service, or replace its entry.

        :param entry: the instance's fields, as daemons read them.
        """
        with self._lock:
            entries = dict(self._get_entries(service))
            entries[entry["instance"]] = entry
            self._record_entries(service, entries)

    def unlist_instance(self, service, instance):
        """Remove an instance from the list of a service."""
        with self._lock:
            entries = dict(self._get_entries(service))
            entries.pop(instance, None)
            self._record_entries(service, entries)

    def _get_entries(self, service):
        """Return the latest entries of a service by instance."""
        changes = self._list_changes.get(service)
        return changes[-1][1] if changes else {}

    def _record_entries(self, service, entries):
        """Store new entries with their time, which delays readers by the lag."""
        self._list_changes.setdefault(service, []).append((time.monotonic(), entries))

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
            for changed_at, changed_entries in self._list_changes.get(service, []):
                if now - changed_at >= self.lag:
                    entries = changed_entries
        data = msgspec.json.encode(list(entries.values()))
        return wrappers.Response(data, mimetype="application/json")


class _QuietHandler(serving.WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def log(self, kind, message, *arguments):
        """Log nothing."""

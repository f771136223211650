"""Assembles a mesh daemon, runs it and shuts it down."""

import gc
import logging
import os
import random
import signal
import socket
import time

from jackdawlanding.decisions import revisions, routes
from jackdawlanding.mesh import (
    callers,
    dispatcher,
    eventloop,
    executor,
    gossip,
    links,
    logs,
    messages,
    metrics,
    serving,
    storereader,
    streams,
)
from jackdawlanding.platform import documents, targets
from jackdawlanding.settings import mesh_settings
from jackdawlanding.wire import http

logger = logging.getLogger("jackdaw.mesh")

INCARNATION_BYTES = 8
RELOAD_CHECK_SECONDS = 1.0
# Seconds after a shutdown request. Everything is served as before until the first:
# two readiness checks, a second apart, have failed by then. New requests of callers
# are refused after the second: they might not end within the grace period. In a short
# grace period both come sooner.
ACCEPT_SECONDS = 2.2
REFUSE_SECONDS = 3.0
ACCEPT_SHARE = 0.6
REFUSE_SHARE = 0.75
# Longer than a round trip between regions: calls that peers sent before they were
# notified of the shutdown are still answered.
LINGER_SECONDS = 0.4
# The share of the grace period in which running requests may end; those that have not
# are answered then. The daemon stops a little later, so that the answers are sent.
ANSWER_SHARE = 0.9
GRACE_SHARE = 0.93
SHUTDOWN_CHECK_SECONDS = 0.05
TICK_INTERVAL_SECONDS = 0.1


class MeshDaemon:
    """A daemon of the mesh, with all its components on one event loop.

    :param settings: a ``MeshSettings``.
    :param path: the settings file, which is reloaded when it changes.
    """

    def __init__(self, *, settings, path=None):
        self.settings = settings
        self._path = path
        self._file_stamp = _read_file_stamp(path)
        self._shutdown_at = None
        self.loop = eventloop.EventLoop()
        self.log = logs.Log()
        self.metrics = metrics.Metrics()
        self.incarnation = os.urandom(INCARNATION_BYTES).hex()
        self._build()
        self._listen()

    def run(self, *, handles_signals=True):
        """Serve until :meth:`shut_down` has finished.

        :param handles_signals: whether to handle SIGTERM, SIGINT and SIGHUP.
        """
        if handles_signals:
            self._watch_signals()
        self.log.note(
            "daemon",
            "Started.",
            service=self.settings.service,
            incarnation=self.incarnation,
        )
        self.reader.start()
        self.gossip.start()
        self.executor.start()
        self.loop.call_every(TICK_INTERVAL_SECONDS, self._tick)
        self.loop.call_every(RELOAD_CHECK_SECONDS, self.reload)
        self.loop.run()
        self.log.note("daemon", "Stopped.", incarnation=self.incarnation)

    def shut_down(self):
        """Shut down in steps: fail readiness, refuse calls, drain, stop.

        The backend server still runs and can be reached only through this daemon, so
        calls to it are served until callers have had time to notice.
        """
        if self._shutdown_at is not None:
            return
        self._shutdown_at = time.monotonic()
        self.log.note("daemon", "Leaving.", in_flight=self.dispatcher.in_flight)
        self.caller_server.is_shutting_down = True
        grace = self.settings.grace
        for component in (self.dispatcher, self.executor):
            component.limit_deadlines(self._shutdown_at + grace * ANSWER_SHARE)
        steps = (
            (min(ACCEPT_SECONDS, grace * ACCEPT_SHARE), self._stop_executor),
            (min(REFUSE_SECONDS, grace * REFUSE_SHARE), self.dispatcher.shut_down),
            (grace * ANSWER_SHARE, self._give_up_requests),
        )
        for seconds, step in steps:
            self.loop.call_later(seconds, step)

    def reload(self):
        """Reload the settings file if it has changed."""
        stamp = _read_file_stamp(self._path)
        if stamp == self._file_stamp:
            return
        self._file_stamp = stamp
        try:
            settings = mesh_settings.load(self._path)
        except Exception as error:
            logger.error("settings: the changed file is not applied: %s", error)
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.log.note("settings", "The settings were reloaded.", changed=changed)

    def close(self):
        """Close the listeners and the loop, once the loop has stopped."""
        for listener in (
            *self._caller_listeners,
            self._readiness_listener,
            self._metrics_listener,
            self._peer_listener,
        ):
            listener.close()
        self.loop.close()

    def _build(self):
        settings = self.settings
        self.fleet_state = gossip.FleetState(
            decode=documents.decode_configuration,
            log=self.log,
            origin=self.incarnation,
        )
        self.executor = executor.Executor(
            loop=self.loop,
            service=settings.service,
            address=settings.backend_address,
            fleet_state=self.fleet_state,
            metrics=self.metrics,
            log=self.log,
        )
        self.links = links.LinkPool(
            loop=self.loop,
            port=settings.peer_port,
            incarnation=self.incarnation,
            failure_domain=settings.failure_domain,
            is_in_other_region=settings.is_in_other_region,
            on_message=self._handle_message,
        )
        self.link_server = serving.LinkServer(
            loop=self.loop,
            welcome=messages.Welcome(
                incarnation=self.incarnation,
                failure_domain=settings.failure_domain,
            ),
            executor=self.executor,
            is_in_other_region=settings.is_in_other_region,
            on_message=self._handle_message,
        )
        self.gossip = gossip.Gossip(
            loop=self.loop,
            fleet_state=self.fleet_state,
            links=self.links,
            local_host=settings.host,
        )
        self.reader = storereader.StoreReader(
            loop=self.loop,
            address=settings.store_address,
            local_host=settings.host,
            fleet_state=self.fleet_state,
            metrics=self.metrics,
            log=self.log,
            broadcast=self.gossip.broadcast,
        )
        self.dispatcher = dispatcher.Dispatcher(
            loop=self.loop,
            settings=settings,
            fleet_state=self.fleet_state,
            links=self.links,
            executor=self.executor,
            metrics=self.metrics,
            log=self.log,
            generator=random.Random(),
        )
        self.fleet_state.subscribe(self.loop.coalesce(self._apply_directory))

    def _listen(self):
        settings = self.settings
        self.caller_server = callers.CallerServer(
            loop=self.loop,
            serve=self._serve_caller,
            get_limits=self._get_limits,
            may_overlap=self.dispatcher.is_safe,
            record_refusal=self.dispatcher.access_log.record_refusal,
        )
        self._page_server = callers.CallerServer(
            loop=self.loop, serve=self._serve_page, get_limits=routes.Limits
        )
        self._caller_listeners = [
            streams.Listener(
                loop=self.loop,
                address=settings.outbound_address,
                accept=self.caller_server.accept,
            )
        ]
        self._readiness_listener = streams.Listener(
            loop=self.loop,
            address=settings.readiness_address,
            accept=self._page_server.accept,
        )
        self._metrics_listener = streams.Listener(
            loop=self.loop,
            address=(settings.host, settings.metrics_port),
            accept=self._page_server.accept,
        )
        self._peer_listener = streams.Listener(
            loop=self.loop,
            address=(settings.host, settings.peer_listen_port or settings.peer_port),
            accept=self.link_server.accept,
            user_timeout_millis=streams.USER_TIMEOUT_MILLIS,
        )

    def _serve_caller(self, request, host, respond, *, received_at):
        return self.dispatcher.serve(request, respond, received_at=received_at)

    def _serve_page(self, request, host, respond, *, received_at):
        page = _PAGES.get(request.target.partition("?")[0])
        if page is None:
            respond(http.make_text_response(404, "there is no such page"))
        else:
            respond(page(self))

    def _make_readiness(self):
        if self._shutdown_at is not None:
            return http.make_text_response(503, "leaving")
        if not self.fleet_state.is_ready:
            return http.make_text_response(503, "no configuration yet")
        return http.make_text_response(200, "ready")

    def _make_metrics(self):
        notice = self.executor.notice.current
        complete_revision = self.fleet_state.directory.complete_revision
        gauges = {
            "connections": self.caller_server.connection_count,
            "unsent_bytes": self.loop.unsent_bytes,
            "held_request_bytes": self.caller_server.room.held_bytes,
            "requests_in_flight": self.dispatcher.in_flight,
            "host_running": self.executor.controller.running,
            "host_queued": self.executor.controller.queued,
            "host_limit": self.executor.controller.limit,
            "host_rate_limit": notice.rate or 0.0,
            "host_is_leaving": int(notice.is_leaving),
            "host_paced_kinds": len(self.executor.pacing_limits.list_limits()),
            "configuration_version": self.fleet_state.configuration_version,
            "directory_hosts": len(self.fleet_state.directory.hosts),
            "directory_held_changes": len(self.fleet_state.directory.held_changes),
            "directory_contested_addresses": (
                self.fleet_state.directory.contested_count
            ),
            "links_unreachable": self.links.unreachable_count,
            "directory_revision": revisions.get_number(complete_revision),
            "directory_era": revisions.get_era(complete_revision),
            "store_era": self.reader.era,
            "knowledge_age_seconds": round(
                min(1e6, self.fleet_state.get_age(time.monotonic())), 3
            ),
            "suspects": len(self.fleet_state.quarantine),
            "log_lines_held_back": self.log.suppressed_count,
        }
        return http.make_text_response(200, self.metrics.format(gauges))

    def _get_limits(self):
        route_table = self.fleet_state.route_table
        return route_table.configuration.limits if route_table else routes.Limits()

    def _handle_message(self, link, message):
        if isinstance(message, messages.Leaving):
            self.dispatcher.avoid_host(message.host)
        elif not self.gossip.handle(link, message):
            logger.warning(
                "links: an unexpected message is ignored: %s.", type(message).__name__
            )

    def _apply_directory(self):
        self.executor.apply_backend()
        self.links.retain_only(self.fleet_state.directory.hosts)

    def _tick(self):
        self.links.tick()
        self.link_server.sweep()
        self.fleet_state.directory.expire_disproofs(now=time.monotonic())

    def _stop_executor(self):
        """Refuse queued calls and notify the peers; running calls continue."""
        self.executor.shut_down()
        for link in list(self.link_server.links.values()):
            link.send(messages.Leaving(host=self.settings.host))
        self.loop.call_later(
            LINGER_SECONDS,
            lambda: self.loop.call_every(SHUTDOWN_CHECK_SECONDS, self._check_finished),
        )

    def _give_up_requests(self):
        """Answer the requests that still run; nobody else can once this has ended."""
        self.log.note(
            "daemon",
            "Running requests are given up.",
            in_flight=self.dispatcher.in_flight,
            running=self.executor.controller.running,
        )
        self.dispatcher.give_up_all()
        self.executor.give_up_all()

    def _check_finished(self):
        """Stop once all is answered, or the grace period is nearly over.

        Calls that the local backend server makes are served until then.
        """
        self.caller_server.close_idle()
        seconds = time.monotonic() - self._shutdown_at
        is_done = not (
            self.caller_server.busy_count
            or self.executor.in_flight
            or self.link_server.has_undelivered
        )
        if is_done or seconds > self.settings.grace * GRACE_SHARE:
            self.loop.stop()

    def _watch_signals(self):
        """Handle signals as events of the loop, through a socket pair."""
        reading, writing = socket.socketpair()
        reading.setblocking(False)
        writing.setblocking(False)
        self._signals = (reading, writing)
        signal.set_wakeup_fd(writing.fileno())
        for number in _SIGNALS:
            signal.signal(number, lambda *_: None)
        self.loop.watch(reading.fileno(), _SignalReader(sock=reading, daemon=self))


class _SignalReader:
    """Reads signal numbers from a socket and calls their handlers."""

    def __init__(self, *, sock, daemon):
        self._sock = sock
        self._daemon = daemon

    def on_events(self, mask):
        """Handle the signals that arrived; called by the loop."""
        for number in self._sock.recv(64):
            _SIGNALS[signal.Signals(number)](self._daemon)


_SIGNALS = {
    signal.SIGTERM: MeshDaemon.shut_down,
    signal.SIGINT: MeshDaemon.shut_down,
    signal.SIGHUP: MeshDaemon.reload,
}
_PAGES = {
    targets.READINESS_PATH: MeshDaemon._make_readiness,
    "/metrics": MeshDaemon._make_metrics,
}


def _read_file_stamp(path):
    """Return a file's modification time, size and inode, ``None`` without a file."""
    if path is None:
        return None
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def main():
    """Run a mesh daemon with the settings file named in the environment."""
    path = os.environ.get(mesh_settings.FILE_VARIABLE, "")
    settings = mesh_settings.load(path)
    logs.configure(instance=settings.instance)
    gc.freeze()
    MeshDaemon(settings=settings, path=path).run()

"""Puts a mesh daemon's parts together, runs them and lets them leave."""

import gc
import logging
import os
import random
import signal
import socket
import time

from jackdawlanding.decisions import routes
from jackdawlanding.mesh import (
    callers,
    dispatcher,
    eventloop,
    executor,
    gossip,
    links,
    logs,
    messages,
    metrics as counters,
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
# Seconds after a stop request. Until the first all is served as before: two
# questions for readiness, a second apart, have been answered no by then. After the
# second no new work of callers is begun: it might not end within the grace.
ACCEPT_SECONDS = 2.2
REFUSE_SECONDS = 3.0
# Calls that were on their way when the peers were told are still answered: longer
# than a round trip between regions.
LINGER_SECONDS = 0.4
# The part of the grace in which requests may end.
GRACE_SHARE = 0.93
LEAVE_CHECK_SECONDS = 0.05
LINK_TICK_SECONDS = 0.1


class MeshDaemon:
    """One mesh daemon.

    :param settings: a ``MeshSettings``.
    :param path: the settings file, read again when it changes.
    """

    def __init__(self, *, settings, path=None):
        self.settings = settings
        self._path = path
        self._stamp = _read_stamp(path)
        self._left_at = None
        self.loop = eventloop.EventLoop()
        self.log = logs.Log()
        self.metrics = counters.Metrics()
        self.incarnation = os.urandom(INCARNATION_BYTES).hex()
        self._build()
        self._listen()

    def run(self, *, takes_signals=True):
        """Serve until told to leave, by a signal too if ``takes_signals``."""
        if takes_signals:
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
        self.loop.call_every(LINK_TICK_SECONDS, self._tick)
        self.loop.call_every(RELOAD_CHECK_SECONDS, self.reload)
        self.loop.run()
        self.log.note("daemon", "Stopped.", incarnation=self.incarnation)

    def shut_down(self):
        """Let callers go elsewhere, then take no calls, finish, and stop.

        The backend server stays, and only this daemon leads to it: it is served
        until callers have had time to notice.
        """
        if self._left_at is not None:
            return
        self._left_at = time.monotonic()
        self.log.note("daemon", "Leaving.", in_flight=self.dispatcher.in_flight)
        self.caller_server.is_shutting_down = True
        self.loop.call_later(ACCEPT_SECONDS, self._close_host)
        self.loop.call_later(REFUSE_SECONDS, self.dispatcher.shut_down)

    def reload(self):
        """Read the settings file again if it has changed."""
        stamp = _read_stamp(self._path)
        if stamp == self._stamp:
            return
        self._stamp = stamp
        try:
            settings = mesh_settings.load(self._path)
        except Exception as error:
            logger.error("settings: the changed file is not used: %s", error)
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.log.note("settings", "The settings were read again.", changed=changed)

    def close(self):
        """Close all that is open, once the loop has stopped."""
        for door in (*self._doors, self._readiness, self._metrics_door, self._peers):
            door.close()
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
            hello=messages.Hello(
                host=settings.host,
                incarnation=self.incarnation,
                failure_domain=settings.failure_domain,
            ),
            is_in_other_region=settings.is_in_other_region,
            on_news=self._take_news,
        )
        self.server = serving.LinkServer(
            loop=self.loop,
            welcome=messages.Welcome(
                incarnation=self.incarnation,
                failure_domain=settings.failure_domain,
            ),
            executor=self.executor,
            is_in_other_region=settings.is_in_other_region,
            on_news=self._take_news,
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
            spread=self.gossip.spread,
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
            loop=self.loop, serve=self._serve_caller, get_limits=self._find_limits
        )
        self._pages = callers.CallerServer(
            loop=self.loop, serve=self._serve_page, get_limits=routes.Limits
        )
        self._doors = [
            streams.Listener(
                loop=self.loop,
                address=settings.outbound_address,
                accept=self.caller_server.accept,
            )
        ]
        self._readiness = streams.Listener(
            loop=self.loop,
            address=settings.readiness_address,
            accept=self._pages.accept,
        )
        self._metrics_door = streams.Listener(
            loop=self.loop,
            address=(settings.host, settings.metrics_port),
            accept=self._pages.accept,
        )
        self._peers = streams.Listener(
            loop=self.loop,
            address=(settings.host, settings.peer_port),
            accept=self.server.accept,
            user_timeout_millis=streams.USER_TIMEOUT_MILLIS,
        )

    def _serve_caller(self, request, host, respond):
        return self.dispatcher.serve(request, respond)

    def _serve_page(self, request, host, respond):
        page = _PAGES.get(request.target.partition("?")[0])
        if page is None:
            respond(http.make_text_response(404, "there is no such page"))
        else:
            respond(page(self))

    def _make_readiness(self):
        if self._left_at is not None:
            return http.make_text_response(503, "leaving")
        if not self.fleet_state.is_ready:
            return http.make_text_response(503, "no configuration yet")
        return http.make_text_response(200, "ready")

    def _make_metrics(self):
        gauges = {
            "connections": self.caller_server.connection_count,
            "requests_in_flight": self.dispatcher.in_flight,
            "host_running": self.executor.controller.running,
            "host_queued": self.executor.controller.queued,
            "host_limit": self.executor.controller.limit,
            "host_paced_kinds": len(self.executor.pacing_limits.list_limits()),
            "configuration_version": self.fleet_state.configuration_version,
            "directory_revision": self.fleet_state.directory.complete_revision,
            "knowledge_age_seconds": round(
                min(1e6, self.fleet_state.get_age(time.monotonic())), 3
            ),
            "suspects": len(self.fleet_state.quarantine),
            "log_lines_held_back": self.log.held_back,
        }
        return http.make_text_response(200, self.metrics.format(gauges))

    def _find_limits(self):
        table = self.fleet_state.route_table
        return table.configuration.limits if table else routes.Limits()

    def _take_news(self, link, message):
        if isinstance(message, messages.Leaving):
            self.dispatcher.avoid_host(message.host)
        elif not self.gossip.handle(link, message):
            logger.warning("links: a message of no use: %s.", type(message).__name__)

    def _apply_directory(self):
        self.executor.apply_backend()
        self.links.keep(self.fleet_state.directory.list_hosts())

    def _tick(self):
        self.links.tick()
        self.server.sweep()

    def _close_host(self):
        """Hand back what waits and tell the peers; what runs goes on."""
        self.executor.shut_down()
        for link in list(self.server.links.values()):
            link.send(messages.Leaving(host=self.settings.host))
        self.loop.call_later(
            LINGER_SECONDS,
            lambda: self.loop.call_every(LEAVE_CHECK_SECONDS, self._check_left),
        )

    def _check_left(self):
        """Stop once nothing is under way, or the grace is nearly over.

        Until then the backend server's own calls are served.
        """
        self.caller_server.close_idle()
        seconds = time.monotonic() - self._left_at
        is_done = not (self.caller_server.busy_count or self.executor.in_flight)
        if is_done or seconds > self.settings.grace * GRACE_SHARE:
            self.loop.stop()

    def _watch_signals(self):
        """Wake the loop for signals, which are handled as its events."""
        reading, writing = socket.socketpair()
        reading.setblocking(False)
        writing.setblocking(False)
        self._signals = (reading, writing)
        signal.set_wakeup_fd(writing.fileno())
        for number in _SIGNALS:
            signal.signal(number, lambda *_: None)
        self.loop.watch(reading.fileno(), _SignalReader(sock=reading, daemon=self))


class _SignalReader:
    """Turns signal numbers from a socket into calls."""

    def __init__(self, *, sock, daemon):
        self._sock = sock
        self._daemon = daemon

    def on_events(self, mask):
        """Serve the signals that came; called by the loop."""
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


def _read_stamp(path):
    """Return what changes when a file changes, or ``None``."""
    if path is None:
        return None
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def main():
    """Run a mesh daemon with the settings file that the environment names."""
    path = os.environ.get(mesh_settings.FILE_VARIABLE, "")
    settings = mesh_settings.load(path)
    logs.configure(instance=settings.instance)
    gc.freeze()
    MeshDaemon(settings=settings, path=path).run()

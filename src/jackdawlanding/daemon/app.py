"""Builds a daemon's components, runs them and shuts them down."""

import logging
import secrets
import threading
import time

from jackdawlanding.daemon import (
    admin,
    answering,
    connections,
    context,
    control,
    dispatch,
    executor,
    ingress,
    onceonly,
    passthrough,
    poller,
    reactor,
    supervisor,
)

logger = logging.getLogger("jackdaw.daemon")

INCARNATION_BYTES = 6
SHUTDOWN_NOTICE_SECONDS = 1.0
SHUTDOWN_POLL_SECONDS = 0.05
# Shares of the grace period: new calls of callers are refused after the first, since
# they might not end within it. What still runs after the second is answered as unknown.
REFUSE_SHARE = 0.5
ANSWER_SHARE = 0.9
EXIT_OK = 0
EXIT_FAILED = 1

# Classes of the executor and the dispatcher, by whether pass-through mode is on.
EXECUTION_CLASSES = {
    False: (executor.LocalExecutor, dispatch.Dispatcher),
    True: (passthrough.PassThroughExecutor, passthrough.PassThroughDispatcher),
}


class Daemon:
    """Runs one ``jackdawd`` process.

    :param settings: an ``options.Settings``.
    :param is_reachable: see :class:`peers.PeerPool`.
    """

    def __init__(self, *, settings, is_reachable=None):
        self.settings = settings
        self.context = context.Context(
            settings=settings,
            incarnation=secrets.token_hex(INCARNATION_BYTES),
            is_reachable=is_reachable,
        )
        self._stopped = threading.Event()
        self._failed = False
        self._reactor = reactor.Reactor(threads=settings.threads)
        self._build_components()
        self._build_listeners()

    @property
    def ports(self):
        """The ports in use, by the name of their listener."""
        return {name: listener.port for name, listener in self._listeners.items()}

    def run(self):
        """Serve until shut down; return the exit code."""
        self._reactor.start()
        for listener in self._listeners.values():
            listener.start()
        logger.info(
            "daemon: %s serves %s.", self.settings.instance, self.settings.service
        )
        root = supervisor.Supervisor(
            name="root", children=self._list_children(), on_restart=self._record_restart
        )
        try:
            root.run(self._stopped)
        except Exception:
            logger.exception(
                "daemon: a component could not be kept running; shutting down."
            )
            self._failed = True
            self.shut_down()
        self._close()
        return EXIT_FAILED if self._failed else EXIT_OK

    def shut_down(self):
        """Refuse new calls, notify the peers, finish the calls in flight, then stop.

        Waits for calls in flight up to the declared grace time. A second call
        returns at once.
        """
        if self.context.shutting_down.is_set():
            return
        started_at = time.monotonic()
        grace = self._get_grace_seconds()
        self.context.refuses_at = started_at + grace * REFUSE_SHARE
        self.context.ends_at = started_at + grace * ANSWER_SHARE
        self.context.shutting_down.set()
        self.context.audit_trail.record(
            "leaving", cause="a planned stop", after="leaving"
        )
        logger.info("daemon: shutting down.")
        self.state_sync.announce_shutdown()
        while time.monotonic() - started_at < grace:
            if self._is_drained(time.monotonic() - started_at):
                break
            if time.monotonic() >= self.context.ends_at:
                self._give_up_calls()
            time.sleep(SHUTDOWN_POLL_SECONDS)
        logger.info("daemon: stopped after %.2f s.", time.monotonic() - started_at)
        self._stopped.set()

    def shut_down_in_background(self):
        """Shut down on a separate thread; a second call has no effect."""
        threading.Thread(target=self.shut_down, name="leave", daemon=True).start()

    def _give_up_calls(self):
        """End all calls in flight, so that their callers get an answer."""
        self.context.backend.abort()
        self.context.pool.close()

    def _get_grace_seconds(self):
        declaration = self.context.declaration
        if declaration:
            return declaration.leaving.grace_seconds
        return self.settings.grace_seconds

    def _is_drained(self, seconds):
        """Return whether nothing is in flight and callers have had time to notice.

        :param seconds: since the shutdown began.
        """
        controller = self.context.admission.controller
        busy = controller.in_flight + controller.queued + len(self.context.active_calls)
        return (
            not busy
            and not self._reactor.busy_count
            and seconds > SHUTDOWN_NOTICE_SECONDS
        )

    def _build_components(self):
        shared = self.context
        make_executor, make_dispatcher = EXECUTION_CLASSES[self.settings.pass_through]
        self.local_executor = make_executor(
            context=shared,
            announce_suspects=lambda: self.state_sync.announce_suspects(),
        )
        self.dispatcher = make_dispatcher(
            context=shared,
            local_executor=self.local_executor,
            start_once_only=lambda call: self.once_only.start(call),
        )
        self.once_only = onceonly.OnceOnly(
            context=shared,
            local_executor=self.local_executor,
            send_to=self.dispatcher.send_to,
            find_address=shared.roster.find_address,
        )
        self.poller = poller.PlatformPoller(context=shared)
        self.poller.set_callbacks(
            on_adopted=self._apply_declaration, on_listed=self._on_list_read
        )
        self.state_sync = control.StateSync(
            context=shared, once_only=self.once_only, poller=self.poller
        )
        self.ingress = ingress.Ingress(
            context=shared,
            dispatcher=self.dispatcher,
            local_executor=self.local_executor,
            once_only=self.once_only,
        )
        self.pages = admin.Pages(context=shared, once_only=self.once_only)

    def _build_listeners(self):
        settings = self.settings
        self._listeners = {
            "callers": self._listen(
                settings.caller_address,
                self._make_http_handler(self.ingress.serve_caller),
            ),
            "local": self._listen(
                settings.local_address,
                self._make_http_handler(self.ingress.serve_backend),
            ),
            "admin": self._listen(
                settings.admin_address, self._make_http_handler(self.pages.serve)
            ),
            "peers": self._listen(settings.peer_address, self._make_peer_handler),
        }

    def _listen(self, address, make_handler):
        return reactor.Listener(
            reactor=self._reactor,
            address=address,
            make_handler=make_handler,
            maximum_connections=self.settings.maximum_connections,
        )

    def _make_http_handler(self, serve):
        limits = connections.RequestLimits(
            head_bytes=self.settings.head_bytes,
            body_bytes=self.settings.body_bytes,
            arrival_seconds=self.settings.arrival_seconds,
        )

        def make(sock, peer, on_closed):
            return connections.HttpConnection(
                sock=sock,
                peer=peer,
                serve=serve,
                limits=limits,
                on_closed=on_closed,
                shutting_down=self.context.shutting_down,
            )

        return make

    def _make_peer_handler(self, sock, peer, on_closed):
        return answering.PeerHandler(
            sock=sock,
            watcher=self._reactor,
            serve_call=self.ingress.serve_peer,
            serve_sync=self.state_sync.serve,
            on_closed=on_closed,
        )

    def _list_children(self):
        platform = supervisor.Supervisor(
            name="platform",
            children=[supervisor.Child(name="values", run=self.poller.run)],
            on_restart=self._record_restart,
        )
        return [
            supervisor.Child(name="platform", run=platform.run),
            supervisor.Child(name="control", run=self.state_sync.run),
            supervisor.Child(name="admission", run=self.context.admission.run),
            supervisor.Child(
                name="sweeper", run=reactor.Sweeper(reactor=self._reactor).run
            ),
        ]

    def _record_restart(self, child, error):
        self.context.audit_trail.record(
            child.name, cause=repr(error), after="restarted"
        )

    def _apply_declaration(self, declaration):
        """Apply a new declaration of the local service."""
        controller = self.context.admission.controller
        controller.limit.set_bounds(
            minimum=declaration.limit.minimum, maximum=declaration.limit.maximum
        )
        controller.queue_length = declaration.limit.queue
        horizons = [
            work.repeat_horizon_seconds for work in declaration.work if work.once_only
        ]
        if horizons:
            self.once_only.set_horizon(max(horizons))

    def _on_list_read(self, read_at, roster):
        with self.once_only.lock:
            self.once_only.ownership.record_list(
                now=read_at, is_listed=roster.is_listed
            )
        if roster.is_listed_leaving and not self.context.shutting_down.is_set():
            logger.info(
                "daemon: the platform lists this instance as leaving; shutting down."
            )
            self.shut_down_in_background()

    def _close(self):
        self.state_sync.stop()
        self._reactor.stop()
        self.context.pool.close()
        self.context.backend.close()

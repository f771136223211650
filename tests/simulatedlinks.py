"""Both sides of a link over a simulated network, whose events a test puts in order."""

import collections
import functools
import heapq
import itertools
from unittest import mock

from jackdawlanding.decisions import outcomes
from jackdawlanding.mesh import links, messages, serving

HOST = "10.0.0.1"


class Clock:
    """A clock and the callbacks that wait for it, as an event loop has them."""

    def __init__(self):
        self.now = 1000.0
        self._timers = []
        self._numbers = itertools.count()

    def monotonic(self):
        return self.now

    def call_soon(self, callback):
        self.call_later(0, callback)

    def call_later(self, seconds, callback):
        item = (self.now + seconds, next(self._numbers), callback)
        heapq.heappush(self._timers, item)

    def run_due(self):
        while self._timers and self._timers[0][0] <= self.now:
            heapq.heappop(self._timers)[2]()


class Stream:
    """One end of a connection, with the interface of ``streams.Stream``."""

    def __init__(self, *, is_open):
        self.is_open = is_open
        self.is_closed = self.is_paused = False
        self.unsent = 0
        self.reads_after_error = False
        self.on_open = self.on_data = self.on_closed = None
        # What was written while the connection was not open.
        self.buffer = []
        # What is on its way to the other end; ``None`` ends it.
        self.sent = collections.deque()

    def write(self, data):
        if not self.is_closed:
            (self.sent if self.is_open else self.buffer).append(bytes(data))

    def write_all(self, parts):
        for part in parts:
            self.write(part)

    def close(self):
        if not self.is_closed:
            self.is_open, self.is_closed = False, True
            self.on_open = self.on_data = self.on_closed = None
            self.sent.append(None)

    def open(self):
        self.is_open = True
        self.on_open()
        self.sent.extend(self.buffer)

    def end(self, *, was_reset):
        on_closed = self.on_closed
        if not self.is_closed:
            self.close()
            on_closed(was_reset)

    def receive(self, other):
        """Take the next bytes from the other end."""
        data = other.sent.popleft()
        if self.is_closed:
            return
        if data is None:
            self.end(was_reset=False)
        else:
            self.on_data(data)


class Connection:
    """The ends of a connection; ``server_end`` is ``None`` until it is open."""

    def __init__(self):
        self.client_end = Stream(is_open=False)
        self.server_end = None
        # Whether what the caller sends is held up.
        self.is_held = False


class Executor:
    """Counts the runs of each call, by its request id.

    With ``ends_at_once`` a call ends as soon as it runs.
    """

    def __init__(self, *, clock):
        self.runs = collections.Counter()
        self.running = {}
        self.ends_at_once = False
        self._clock = clock

    def submit(self, call, respond):
        self.runs[call.request_id] += 1
        self.running[call.request_id] = call.number, respond
        if self.ends_at_once:
            self._clock.call_soon(lambda: self.finish(call.request_id))
        return call.request_id

    def cancel(self, execution):
        self.running.pop(execution, None)

    def finish(self, request_id):
        number, respond = self.running.pop(request_id, (0, None))
        if respond is None:
            return
        reply = messages.make_failure(number, "", outcome=outcomes.Outcome.DONE)
        respond(reply._replace(status=200))


class World:
    """A calling and a serving daemon, which either may be started again."""

    def __init__(self):
        self.clock = Clock()
        self.executor = Executor(clock=self.clock)
        self.connections = []
        self._starts = itertools.count(1)
        patches = [
            mock.patch.object(links, "time", self.clock),
            mock.patch.object(serving, "time", self.clock),
            mock.patch.object(links.streams, "connect", self._connect),
        ]
        for patch in patches:
            patch.start()
        self._patches = patches
        self.start_caller()
        self.start_server()

    def stop(self):
        for patch in self._patches:
            patch.stop()

    def start_caller(self):
        """Start the calling daemon; what the last one wrote is still on its way."""
        for connection in self.connections:
            connection.client_end.close()
        self.pool = links.LinkPool(
            loop=self.clock,
            port=1,
            incarnation=f"c{next(self._starts)}",
            failure_domain="a1",
            is_in_other_region=lambda failure_domain: False,
            on_message=lambda link, message: None,
        )
        self.link = self.pool.get(HOST)

    def start_server(self):
        """Start the serving daemon; the connections of the last one are gone."""
        for connection in self.connections:
            if connection.server_end is not None:
                connection.server_end.sent.clear()
                connection.server_end.close()
        self.executor.running.clear()
        welcome = messages.Welcome(
            incarnation=f"s{next(self._starts)}", failure_domain="a1"
        )
        self.server = serving.LinkServer(
            loop=self.clock,
            welcome=welcome,
            executor=self.executor,
            is_in_other_region=lambda failure_domain: False,
            on_message=lambda link, message: None,
        )

    def wait(self, seconds):
        self.clock.now += seconds
        self.clock.run_due()
        self.pool.tick()
        self.server.sweep()
        self.clock.run_due()

    def list_events(self):
        """Return functions that each let one thing arrive that is under way."""
        events = []
        for connection in self.connections:
            client_end, server_end = connection.client_end, connection.server_end
            if server_end is None:
                if not client_end.is_closed:
                    events.append(functools.partial(self._open, connection))
                continue
            ends = [(client_end, server_end)]
            if not connection.is_held:
                ends.append((server_end, client_end))
            for receiver, sender in ends:
                if receiver.is_closed:
                    sender.sent.clear()
                elif sender.sent:
                    events.append(functools.partial(self._deliver, receiver, sender))
        return events

    def _open(self, connection):
        connection.server_end = Stream(is_open=True)
        self.server.accept(connection.server_end, HOST)
        connection.client_end.open()
        self.clock.run_due()

    def _deliver(self, receiver, sender):
        receiver.receive(sender)
        self.clock.run_due()

    def reset(self, connection, *, for_caller, for_server):
        """Reset a connection for one end or both; nothing more arrives there."""
        if connection.server_end is None:
            return
        if for_server:
            connection.client_end.sent.clear()
            connection.server_end.end(was_reset=True)
        if for_caller:
            connection.server_end.sent.clear()
            connection.client_end.end(was_reset=True)
        self.clock.run_due()

    def _connect(self, *, loop, address):
        connection = Connection()
        self.connections.append(connection)
        return connection.client_end

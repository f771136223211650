"""One caller's connection: requests sent ahead, closing responses, limits."""

import time
import unittest
from unittest import mock

from hypothesis import settings, stateful, strategies

from jackdawlanding.decisions import routes
from jackdawlanding.mesh import callerroom, callers, memory
from jackdawlanding.wire import http

LIMITS = routes.Limits(head_bytes=500, body_bytes=100, head_seconds=1, idle_seconds=5)


class FakeStream:
    """Keeps written bytes; ``is_stalled`` tells that the caller reads nothing."""

    def __init__(self):
        self.sent = b""
        self.waiting = b""
        self.is_stalled = False
        self.is_paused = False
        self.is_closed = False
        self.closes = False

    @property
    def unsent(self):
        return len(self.waiting)

    def write(self, data):
        self.waiting += data
        if not self.is_stalled:
            self.sent, self.waiting = self.sent + self.waiting, b""

    def write_all(self, parts):
        for part in parts:
            self.write(part)

    def drain(self):
        self.is_stalled = False
        had_waiting = bool(self.waiting)
        self.write(b"")
        self.is_closed = self.is_closed or self.closes
        if had_waiting:
            self.on_drained()

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False

    def close(self):
        self.is_closed = True

    def close_after_flush(self, *, lingers=False):
        self.closes = True
        self.on_data = lambda data: None
        self.is_closed = not self.waiting


class FakeLoop:
    unsent_bytes = 0

    def coalesce(self, callback):
        return callback

    def __init__(self):
        self.timers, self.soon = [], []

    def call_every(self, seconds, callback):
        pass

    def call_later(self, seconds, callback):
        self.timers.append(callback)

    def call_soon(self, callback):
        self.soon.append(callback)


class FakeServing:
    """Serves requests until the test responds to them."""

    def __init__(self):
        self.active = {}
        self.started = []
        self.cancelled = []
        self.most_overlapping = 0
        self.loop = FakeLoop()
        self.server = callers.CallerServer(
            loop=self.loop,
            serve=self.serve,
            get_limits=lambda: LIMITS,
            may_overlap=lambda request: request.target.startswith("/safe"),
        )
        self.stream = FakeStream()
        self.server.accept(self.stream, "10.0.0.1")

    def serve(self, request, host, respond, *, received_at):
        number = int(request.target.rpartition("/")[2])
        self.started.append(number)
        if request.target.startswith("/now"):
            respond(self.make_response(number))
            return None
        self.active[number] = (request, respond)
        return _Active(self, number)

    def respond(self, number, *, body=b""):
        _, respond = self.active.pop(number)
        respond(self.make_response(number, body))

    def make_response(self, number, body=b""):
        return http.Response(200, ((b"X-Number", b"%d" % number),), body)

    def send(self, number, *, kind="safe", closes=False, body=b""):
        option = b"Connection: close\r\n" if closes else b""
        self.stream.on_data(
            b"POST /%s/%d HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s"
            % (kind.encode(), number, option, len(body), body)
        )

    def read_responses(self):
        reader = http.ResponseReader()
        reader.feed(self.stream.sent)
        return [
            (response.status, response.get_header(b"x-number").decode())
            for response in reader.ready
        ]


class _Active:
    def __init__(self, serving, number):
        self._serving = serving
        self._number = number

    def cancel(self):
        self._serving.active.pop(self._number, None)
        self._serving.cancelled.append(self._number)


class OverlapTest(unittest.TestCase):
    def setUp(self):
        self.serving = FakeServing()

    def test_safe_requests_are_served_side_by_side_and_answered_in_order(self):
        """Each waited for all requests before it on its connection."""
        for number in range(3):
            self.serving.send(number)
        self.assertEqual(self.serving.started, [0, 1, 2])
        for number in (2, 0, 1):
            self.serving.respond(number)
        self.assertEqual(
            self.serving.read_responses(), [(200, "0"), (200, "1"), (200, "2")]
        )

    def test_a_request_that_must_not_run_twice_overlaps_no_other(self):
        self.serving.send(0)
        self.serving.send(1, kind="unsafe")
        self.serving.send(2)
        self.assertEqual(self.serving.started, [0])
        self.serving.respond(0)
        self.assertEqual(self.serving.started, [0, 1])
        self.serving.respond(1)
        self.assertEqual(self.serving.started, [0, 1, 2])

    def test_a_stop_answers_what_was_passed_on_and_drops_the_rest(self):
        """Requests under way behind the first one were cut by its closing answer."""
        for number in range(callers.MAXIMUM_OVERLAPPING + 2):
            self.serving.send(number)
        self.serving.server.is_shutting_down = True
        for number in list(self.serving.active):
            self.serving.respond(number)
        self.assertEqual(
            [number for _, number in self.serving.read_responses()],
            [str(number) for number in range(callers.MAXIMUM_OVERLAPPING)],
        )
        self.assertTrue(self.serving.stream.closes)
        self.assertEqual(self.serving.cancelled, [])

    def test_a_caller_that_reads_nothing_gets_no_further_request_served(self):
        """Its unread responses filled the daemon's memory."""
        self.serving.stream.is_stalled = True
        for number in range(2):
            self.serving.send(number)
        self.serving.respond(0, body=bytes(callers.MAXIMUM_UNSENT_BYTES))
        self.serving.respond(1)
        self.serving.send(2)
        self.assertEqual(self.serving.started, [0, 1])
        self.serving.stream.drain()
        self.assertEqual(self.serving.started, [0, 1, 2])

    def test_a_connection_with_unsent_bytes_is_not_idle(self):
        """A stop closed it, and a slow caller got half of its answer."""
        self.serving.stream.is_stalled = True
        self.serving.send(0)
        self.serving.respond(0)
        self.assertEqual(self.serving.server.busy_count, 1)
        self.serving.server.close_idle()
        self.assertFalse(self.serving.stream.is_closed)
        self.serving.stream.drain()
        self.assertEqual(self.serving.server.busy_count, 0)

    def test_the_leave_of_a_caller_is_noticed_while_its_long_request_is_served(self):
        """Reading had paused because the request was long, so its end went unseen."""
        self.serving.server._get_limits = lambda: LIMITS._replace(body_bytes=4 << 20)
        self.serving.stream.close()
        stream = self.serving.stream = FakeStream()
        self.serving.server.accept(stream, "10.0.0.1")
        body = bytes(callers.MAXIMUM_QUEUED_BYTES + 1)
        self.serving.send(0, kind="unsafe", body=body)
        self.assertFalse(stream.is_paused)
        self.serving.send(1, kind="unsafe", body=body)
        self.assertTrue(stream.is_paused)

    def test_large_requests_beyond_the_buffers_are_refused_as_not_run(self):
        """Many uploads at once filled the daemon's memory."""
        server = self.serving.server
        server.room.held_bytes = memory.MAXIMUM_REQUEST_BYTES
        self.serving.stream.on_data(
            b"POST /unsafe/1 HTTP/1.1\r\nContent-Length: 90\r\n\r\n" + b"x" * 50
        )
        self.assertEqual(self.serving.read_responses(), [(503, "")])
        self.assertIn(b"Retry-After", self.serving.stream.sent)
        self.assertEqual(self.serving.started, [])
        self.assertEqual(server.room.held_bytes, memory.MAXIMUM_REQUEST_BYTES)

    def stall(self):
        """Let the caller read nothing of an answer, and send a request more."""
        self.serving.stream.is_stalled = True
        self.serving.send(1)
        self.serving.respond(1, body=b"x" * (callers.MAXIMUM_UNSENT_BYTES + 1))
        self.serving.send(2)
        self.assertEqual(self.serving.started, [1])
        (connection,) = self.serving.server._connections
        return connection

    def test_a_caller_that_reads_nothing_is_closed_though_it_sent_more(self):
        """It stayed for good, and kept others from connecting."""
        connection = self.stall()
        now = time.monotonic()
        connection.check(now)
        connection.check(now + LIMITS.idle_seconds - 1)
        self.assertFalse(self.serving.stream.is_closed)
        connection.check(now + LIMITS.idle_seconds + 1)
        self.assertTrue(self.serving.stream.is_closed)

    def test_a_caller_that_reads_nothing_makes_room_for_others(self):
        connection = self.stall()
        now = time.monotonic()
        connection.check(now)
        self.assertFalse(connection.is_closable(now))
        self.assertTrue(connection.is_closable(now + callerroom.STALL_SECONDS + 0.1))
        self.serving.stream.drain()
        self.assertFalse(connection.is_closable(now + callerroom.STALL_SECONDS + 0.1))
        self.serving.respond(2)
        self.assertTrue(connection.is_closable(now))

    def test_a_small_request_costs_no_look_at_other_connections(self):
        """Each one looked through all while there was no room."""
        with mock.patch.object(memory, "has_room") as has_room:
            self.serving.send(1, body=b"x" * 9)
            self.serving.respond(1)
            self.assertEqual(len(self.serving.read_responses()), 1)
        has_room.assert_not_called()

    def test_one_large_request_is_received_beside_small_ones(self):
        """Each small one took the room of a body of the largest size."""
        limits = LIMITS._replace(body_bytes=1 << 20)
        server, streams = self.serving.server, [FakeStream() for _ in range(3)]
        server._get_limits = lambda: limits
        for stream in streams:
            server.accept(stream, "10.0.0.1")
        large, small, other = streams
        with (
            mock.patch.object(memory, "MAXIMUM_REQUEST_BYTES", 20_000),
            mock.patch.object(memory, "FREE_REQUEST_BYTES", 10_000),
        ):
            head = b"POST /safe/1 HTTP/1.1\r\nContent-Length: 200000\r\n\r\n"
            large.on_data(head + b"x" * 150_000)
            small.on_data(b"POST /safe/2 HTTP/1.1\r\nContent-Length: 9\r\n\r\nx")
            small.on_data(b"x" * 8)
            self.assertEqual(large.sent + small.sent, b"")
            self.assertEqual(self.serving.started, [2])
            # Others that hold much as well are no calm.
            other.on_data(head.replace(b"safe/1", b"safe/3") + b"x" * 70_000)
            self.assertIn(b" 503 ", other.sent)
            large.on_data(b"x" * 50_000)
        self.assertEqual(self.serving.started, [2, 1])

    def test_what_follows_a_refused_part_is_not_read(self):
        """A paused connection is read once more when it breaks."""
        self.serving.send(1)
        (connection,) = self.serving.server._connections
        self.serving.stream.on_data(b"POST /safe/2 HTTP/1.1\r\n")
        connection.refuse_partial()
        self.serving.stream.on_data(b"Content-Length: 0\r\n\r\n")
        self.serving.respond(1)
        self.assertEqual(self.serving.read_responses(), [(200, "1"), (503, "")])
        self.assertEqual(self.serving.server.room.held_bytes, 0)

    def test_bytes_of_many_pieces_are_read_one_connection_after_the_other(self):
        """Chunks of two bytes kept the daemon busy, and all others waiting."""
        server, chunks = self.serving.server, b"1\r\nx\r\n" * 1100
        head = b"POST /safe/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        streams = [FakeStream() for _ in range(3)]
        limits = LIMITS._replace(body_bytes=9999)
        server._get_limits = lambda: limits
        for stream in streams:
            server.accept(stream, "10.0.0.1")
            stream.on_data(head + chunks)
        # The first one doesn't wait: alone it is read as fast as it can be.
        self.assertEqual(sum(stream.is_paused for stream in streams), 3)
        (read_on,), timers = self.serving.loop.soon, self.serving.loop.timers
        self.assertEqual(timers, [])
        read_on()
        for paused in (2, 1):
            self.assertEqual(sum(stream.is_paused for stream in streams), paused)
            self.assertEqual(len(timers), 1)
            timers.pop()()
        self.assertEqual(sum(stream.is_paused for stream in streams), 0)
        self.assertEqual(timers, [])

    def test_the_caller_s_leave_cancels_all_and_frees_the_buffers(self):
        self.serving.send(0, body=b"x" * 80)
        self.serving.send(1, body=b"x" * 80)
        # Each with a target of 7 characters, and one header of 16 and its separators.
        held = http.REQUEST_BYTES + http.HEADER_BYTES + 2 * (7 + 16 + 4) + 80
        self.assertEqual(self.serving.server.room.held_bytes, 2 * held)
        self.serving.stream.on_closed(False)
        self.assertEqual(self.serving.cancelled, [0, 1])
        self.assertEqual(self.serving.server.room.held_bytes, 0)


class ConnectionMachine(stateful.RuleBasedStateMachine):
    """Any mix of requests, answers, stops and leaves on one connection.

    Answers come in the order of the requests, each request is served once at most,
    and what is served is cut only by its own caller.
    """

    def __init__(self):
        super().__init__()
        self.serving = FakeServing()
        self.sent = []
        self.kinds = {}
        self.has_left = False

    @property
    def is_open(self):
        return not (
            self.has_left or self.serving.stream.closes or self.serving.stream.is_closed
        )

    @stateful.precondition(lambda self: self.is_open)
    @stateful.rule(
        kind=strategies.sampled_from(["safe", "safe", "unsafe", "now"]),
        closes=strategies.integers(0, 7).map(lambda value: value == 0),
        size=strategies.integers(0, 90),
    )
    def send(self, kind, closes, size):
        number = len(self.sent)
        self.sent.append(number)
        self.kinds[number] = (kind, closes)
        self.serving.send(number, kind=kind, closes=closes, body=b"x" * size)

    @stateful.precondition(lambda self: self.serving.active and not self.has_left)
    @stateful.rule(
        index=strategies.integers(0, 20), size=strategies.integers(0, 300000)
    )
    def respond(self, index, size):
        numbers = sorted(self.serving.active)
        self.serving.respond(numbers[index % len(numbers)], body=bytes(size))

    @stateful.precondition(lambda self: self.is_open)
    @stateful.rule()
    def send_malformed(self):
        self.serving.stream.on_data(b"\x00\x01\r\n\r\n")

    @stateful.rule()
    def stall(self):
        self.serving.stream.is_stalled = True

    @stateful.rule()
    def drain(self):
        self.serving.stream.drain()

    @stateful.rule()
    def shut_down(self):
        self.serving.server.is_shutting_down = True

    @stateful.precondition(lambda self: self.is_open)
    @stateful.rule()
    def leave(self):
        self.has_left = True
        self.serving.stream.is_closed = True
        self.serving.stream.on_closed(False)

    @stateful.invariant()
    def answers_are_in_order(self):
        answered = [
            int(number) for _, number in self.serving.read_responses() if number
        ]
        assert answered == self.sent[: len(answered)], answered

    @stateful.invariant()
    def each_is_served_once(self):
        assert self.serving.started == self.sent[: len(self.serving.started)]

    @stateful.invariant()
    def only_safe_requests_overlap(self):
        kinds = [self.kinds[number][0] for number in self.serving.active]
        assert len(kinds) <= callers.MAXIMUM_OVERLAPPING
        assert len(kinds) < 2 or set(kinds) == {"safe"}, kinds

    @stateful.invariant()
    def what_is_served_is_cut_by_its_caller_alone(self):
        assert self.has_left or not self.serving.cancelled, self.serving.cancelled

    @stateful.invariant()
    def the_buffers_are_counted(self):
        if self.has_left or self.serving.stream.closes:
            assert self.serving.server.room.held_bytes == 0

    def teardown(self):
        if self.has_left:
            assert not self.serving.active
            return
        while self.serving.active or self.serving.stream.unsent:
            for number in sorted(self.serving.active):
                self.serving.respond(number)
            self.serving.stream.drain()
        answered = [number for _, number in self.serving.read_responses() if number]
        assert len(answered) == len(self.serving.started)
        closing = [number for number in self.sent if self.kinds[number][1]]
        if self.is_open:
            assert len(answered) == len(self.sent) and not closing


class ConnectionFuzz(ConnectionMachine.TestCase):
    settings = settings(max_examples=150, stateful_step_count=40, derandomize=True)


if __name__ == "__main__":
    unittest.main()

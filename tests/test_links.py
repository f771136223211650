"""Links between daemons over connections that break or go silent."""

import contextlib
import socket
import time
import unittest
from unittest import mock

from jackdawlanding.decisions import outcomes
from jackdawlanding.mesh import codec, eventloop, links, messages, serving, streams
from tests import calls, meshes, proxies

HOST = "127.0.0.1"
# The time after which what the platform's rules bound must hold again.
STABLE_SECONDS = 4.0


class FakeExecutor:
    """Records calls; the test ends them with ``finish``."""

    def __init__(self):
        self.calls = {}
        self.cancelled = []
        self.count = 0

    def submit(self, call, respond):
        self.count += 1
        self.calls[call.number] = respond
        return call.number

    def cancel(self, execution):
        self.cancelled.append(execution)

    def finish(self, number, outcome=outcomes.Outcome.DONE):
        reply = messages.make_failure(number, "", outcome=outcome)
        self.calls[number](reply._replace(status=200, body=b"x"))


class LinkTest(unittest.TestCase):
    """Both sides of a link on one event loop, with a proxy between them."""

    @staticmethod
    def is_in_other_region(failure_domain):
        return False

    def setUp(self):
        self.loop = eventloop.EventLoop()
        self.addCleanup(self.loop.close)
        self.executor = FakeExecutor()
        self.received = []
        self.start_server("server-1")
        port = self.listener.port
        self.proxy_port = meshes.find_free_port()
        self.proxy = proxies.Proxy(host=HOST, port=self.proxy_port, target=(HOST, port))
        self.addCleanup(self.proxy.stop)
        self.pool = links.LinkPool(
            loop=self.loop,
            port=self.proxy_port,
            incarnation="caller-1",
            failure_domain="a1",
            is_in_other_region=self.is_in_other_region,
            on_message=lambda link, message: None,
        )
        self.link = self.pool.get(HOST)
        self.loop.call_every(0.05, self.pool.tick)
        self.loop.call_every(0.05, lambda: self.server.sweep())
        self.replies = {}

    def start_server(self, incarnation, port=0):
        self.server = serving.LinkServer(
            loop=self.loop,
            welcome=messages.Welcome(incarnation=incarnation, failure_domain="a1"),
            executor=self.executor,
            is_in_other_region=self.is_in_other_region,
            on_message=lambda link, message: self.received.append(message),
        )
        self.listener = streams.Listener(
            loop=self.loop, address=(HOST, port), accept=self.server.accept
        )

    def run_until(self, condition, seconds=4.0):
        end = time.monotonic() + seconds
        while not condition():
            self.assertLess(time.monotonic(), end, "the condition did not hold in time")
            self.loop.call_later(0.01, lambda: None)
            self.loop.run_once()

    def wait(self, seconds):
        end = time.monotonic() + seconds
        self.run_until(lambda: time.monotonic() > end)

    def send(self, number, **fields):
        call = calls.make_call(number, **fields)
        self.link.call(call, lambda reply: self.replies.setdefault(number, reply))

    def wait_until_running(self, number):
        self.run_until(
            lambda: number in self.executor.calls and self.link.peer_incarnation
        )

    def test_replies_arrive_in_any_order(self):
        for number in (1, 2, 3):
            self.send(number)
        self.wait_until_running(3)
        for number in (3, 1, 2):
            self.executor.finish(number)
        self.run_until(lambda: len(self.replies) == 3)
        self.assertEqual(self.replies[2].status, 200)

    def test_a_call_that_does_not_go_on_holds_up_no_other(self):
        """A daemon that fell silent in a large call kept all others from theirs."""
        rests = []
        for number, size, sent in ((1, 14 << 20, 13 << 20), (2, 4 << 20, 1 << 20)):
            peer = socket.create_connection((HOST, self.listener.port))
            self.addCleanup(peer.close)
            peer.setblocking(False)
            hello = messages.Hello(
                number=1, incarnation=f"caller-{number}", failure_domain="a1"
            )
            encoder = codec.Encoder()
            call = calls.make_call(number, body=bytes(size))
            data = memoryview(encoder.encode(hello) + encoder.encode(call))
            self.send_slowly(peer, data[:sent])
            rests.append((peer, data[sent:]))
        self.send_slowly(*rests[1])
        self.run_until(lambda: 2 in self.executor.calls)
        self.assertNotIn(1, self.executor.calls)
        self.send_slowly(*rests[0])
        self.run_until(lambda: 1 in self.executor.calls)

    def send_slowly(self, peer, data):
        """Send as much as is taken, while the daemons run."""
        end = time.monotonic() + STABLE_SECONDS
        while data and time.monotonic() < end:
            with contextlib.suppress(BlockingIOError):
                data = data[peer.send(data) :]
            self.loop.call_later(0.002, lambda: None)
            self.loop.run_once()

    def test_a_call_survives_its_connection(self):
        for fail in (self.proxy.reset_all, self.proxy.go_silent):
            with self.subTest(fail=fail.__name__):
                number = self.pool.make_number()
                self.send(number)
                self.wait_until_running(number)
                fail()
                self.executor.finish(number)
                self.run_until(lambda n=number: n in self.replies)
                self.assertEqual(self.replies[number].outcome, outcomes.Outcome.DONE)
        self.assertEqual(self.executor.count, 2)

    def test_a_call_that_never_arrived_never_runs(self):
        self.send(1)
        self.wait_until_running(1)
        self.proxy.go_silent()
        self.send(2)
        self.run_until(lambda: 2 in self.replies)
        self.assertEqual(self.replies[2].outcome, outcomes.Outcome.NOT_RUN)
        self.assertNotIn(2, self.executor.calls)
        self.executor.finish(1)
        self.run_until(lambda: 1 in self.replies)

    def test_a_long_call_that_was_cut_on_its_way_never_runs(self):
        """An upload whose link breaks in the middle may go to another instance."""
        self.send(1)
        self.wait_until_running(1)
        body = bytes(16 << 20)
        self.send(2, body=body, has_body=True)
        self.proxy.reset_all()
        self.run_until(lambda: 2 in self.replies or 2 in self.executor.calls)
        if 2 in self.replies:
            self.assertEqual(self.replies[2].outcome, outcomes.Outcome.NOT_RUN)
            self.wait(0.3)
            self.assertNotIn(2, self.executor.calls)
        self.executor.finish(1)
        self.run_until(lambda: 1 in self.replies)
        self.assertEqual(self.replies[1].outcome, outcomes.Outcome.DONE)

    def test_a_safe_call_without_record_may_have_run(self):
        self.send(1, is_safe=True)
        self.wait_until_running(1)
        self.proxy.go_silent()
        self.send(2, is_safe=True)
        self.run_until(lambda: 2 in self.replies)
        self.assertEqual(self.replies[2].outcome, outcomes.Outcome.UNKNOWN)

    def test_calls_to_a_restarted_daemon_are_unknown(self):
        """The new process has no record of what the earlier one ran."""
        self.send(1)
        self.wait_until_running(1)
        port = self.listener.port
        self.listener.close()
        for link in list(self.server.links.values()):
            link.stream.close()
        self.start_server("server-2", port)
        self.proxy.reset_all()
        self.run_until(lambda: 1 in self.replies)
        self.assertEqual(self.replies[1].outcome, outcomes.Outcome.UNKNOWN)

    def test_a_link_lost_before_its_welcome_leaves_calls_unknown(self):
        handle_welcome = self.link._handle_welcome
        self.link._handle_welcome = lambda message: None
        self.send(1)
        self.wait(0.1)
        self.assertIn(1, self.executor.calls)
        self.link._handle_welcome = handle_welcome
        self.proxy.reset_all()
        self.run_until(lambda: 1 in self.replies)
        self.assertEqual(self.replies[1].outcome, outcomes.Outcome.UNKNOWN)

    def test_a_call_to_an_unreachable_host_did_not_run(self):
        self.proxy.stop()
        self.send(1)
        self.run_until(lambda: 1 in self.replies)
        self.assertEqual(self.replies[1].outcome, outcomes.Outcome.NOT_RUN)
        self.assertFalse(self.link.is_reachable)

    def test_calls_to_an_ended_process_are_unknown(self):
        self.send(1)
        self.wait_until_running(1)
        self.proxy.stop()
        self.run_until(lambda: 1 in self.replies)
        self.assertEqual(self.replies[1].outcome, outcomes.Outcome.UNKNOWN)

    def test_a_cancellation_reaches_the_executor(self):
        self.send(1)
        self.wait_until_running(1)
        self.assertFalse(self.link.cancel(1))
        self.run_until(lambda: self.executor.cancelled == [1])

    def test_a_cancellation_while_the_link_is_lost_reaches_the_executor(self):
        """The new link went on with the call, whose caller had left."""
        self.send(1)
        self.send(2)
        self.wait_until_running(2)
        self.proxy.go_silent()
        self.run_until(lambda: self.link._is_resuming)
        self.assertFalse(self.link.cancel(1))
        self.run_until(lambda: self.executor.cancelled, seconds=2)
        self.assertEqual(self.executor.cancelled, [1])
        self.executor.finish(2)
        self.run_until(lambda: 2 in self.replies)

    def test_a_cancelled_call_to_an_unreachable_host_has_no_reply(self):
        self.proxy.stop()
        self.send(1)
        self.run_until(lambda: 1 in self.replies)
        self.send(2)
        self.assertTrue(self.link.cancel(2))
        self.wait(0.2)
        self.assertNotIn(2, self.replies)

    def test_a_cancelled_unsent_call_never_runs(self):
        self.send(1)
        self.assertTrue(self.link.cancel(1))
        self.wait(0.2)
        self.assertEqual(self.executor.calls, {})

    def test_safe_calls_of_a_lost_caller_are_cancelled(self):
        self.send(1)
        self.send(2, is_safe=True)
        self.wait_until_running(2)
        self.proxy.stop()
        self.run_until(lambda: self.executor.cancelled)
        self.wait(0.5)
        self.assertEqual(self.executor.cancelled, [2])

    def test_a_silent_caller_s_work_is_not_given_up(self):
        """A daemon was frozen for some seconds, and its running work was cancelled.

        What must not run twice was then neither finished nor answered.
        """
        self.send(1)
        self.send(2)
        self.wait_until_running(2)
        self.link.tick = lambda now: None
        for link in list(self.server.links.values()):
            link.stream.close()
            self.server.on_link_lost(link)
        lost_at = time.monotonic()
        self.link._stream.pause()
        self.executor.finish(1)
        self.wait(serving.ORPHAN_GRACE_SECONDS + 0.5)
        self.assertEqual(self.executor.cancelled, [])
        self.assertLess(time.monotonic() - lost_at, serving.REPLY_RETENTION_SECONDS)
        del self.link.tick
        self.link._handle_loss("silent")
        self.run_until(lambda: 1 in self.replies)
        self.executor.finish(2)
        self.run_until(lambda: 2 in self.replies)
        for number in (1, 2):
            self.assertEqual(self.replies[number].outcome, outcomes.Outcome.DONE)
        self.assertEqual(self.executor.count, 2)

    def test_dropped_calls_are_unknown(self):
        """They may have run, so they are never reported as not run."""
        self.send(1, is_safe=True)
        self.wait_until_running(1)
        link = self.server.links["caller-1"]
        self.server._cancel_orphans(link)
        reply = self.server._make_unknown_reply("caller-1", 1)
        self.assertEqual(reply.outcome, outcomes.Outcome.UNKNOWN)

    def test_a_call_without_a_descriptor_for_its_link_has_not_run(self):
        with mock.patch.object(streams.socket, "socket", side_effect=OSError(24, "")):
            self.send(1)
        self.run_until(lambda: 1 in self.replies)
        self.assertEqual(self.replies[1].outcome, outcomes.Outcome.NOT_RUN)

    def test_a_reply_that_can_t_be_encoded_ends_its_call(self):
        self.send(1)
        self.wait_until_running(1)
        reply = messages.make_failure(1, "", outcome=outcomes.Outcome.DONE)
        with self.assertLogs("jackdaw.links", "ERROR"):
            self.executor.calls[1](reply._replace(status=2**70))
        self.run_until(lambda: 1 in self.replies)
        self.assertEqual(self.replies[1].outcome, outcomes.Outcome.UNKNOWN)

    def test_a_silent_link_without_calls_is_replaced(self):
        """Updates were sent on it for good, and reached nobody."""
        message = messages.Leaving(host=HOST)
        self.link.send(message)
        self.run_until(lambda: self.received and self.link.peer_incarnation)
        self.proxy.go_silent()
        self.received.clear()
        end = time.monotonic() + STABLE_SECONDS
        while time.monotonic() < end and not self.received:
            self.link.send(message)
            self.wait(0.2)
        self.assertEqual(self.received[:1], [message])

    def test_a_late_link_takes_no_call(self):
        """The first bytes of a link came behind those of the next one."""
        self.send(1)
        self.wait_until_running(1)
        encoder = codec.Encoder()
        hello = messages.Hello(number=1, incarnation="caller-1", failure_domain="a1")
        late = encoder.encode(hello) + encoder.encode(calls.make_call(9))
        self.assertEqual(self.check_closes(late), b"")
        self.assertNotIn(9, self.executor.calls)
        self.executor.finish(1)
        self.run_until(lambda: 1 in self.replies)

    def test_links_without_numbers_get_no_promise(self):
        """A daemon of an earlier version sends its host in place of the number."""
        hello = messages.Hello(number=HOST, incarnation="old", failure_domain="a1")
        encoder, decoder = codec.Encoder(), codec.Decoder()
        sock = socket.create_connection((HOST, self.listener.port))
        self.addCleanup(sock.close)
        sock.sendall(
            encoder.encode(hello) + encoder.encode(messages.Resume(numbers=[7]))
        )
        sock.setblocking(False)
        received = []

        def read():
            with contextlib.suppress(BlockingIOError):
                received.extend(decoder.feed(sock.recv(1000)))
            return len(received) == 2

        self.run_until(read)
        self.assertEqual(received[1].outcome, outcomes.Outcome.UNKNOWN)

    def test_a_daemon_without_an_order_of_links_proves_nothing(self):
        """A daemon of an earlier version may still run the call."""
        self.send(1)
        self.wait_until_running(1)
        self.server.links["caller-1"].send(
            messages.make_failure(
                1, messages.NOT_RECEIVED, outcome=outcomes.Outcome.NOT_RUN
            )
        )
        self.run_until(lambda: 1 in self.replies)
        self.assertEqual(self.replies[1].outcome, outcomes.Outcome.UNKNOWN)

    def test_malformed_bytes_close_the_link(self):
        self.assertEqual(self.check_closes(b"\xc1\xc1\xc1 nonsense"), b"")

    def test_a_message_of_another_type_closes_the_link(self):
        """The messages behind it were lost, and their calls waited for a reply."""
        encoder = codec.Encoder()
        hello = messages.Hello(number=1, incarnation="caller-2", failure_domain="a1")
        with self.assertLogs("jackdaw.links", "ERROR"):
            self.check_closes(
                encoder.encode(hello) + encoder.encode(messages.Ack(numbers=7))
            )

    def test_a_reply_that_fails_loses_no_other_reply(self):
        """An error in the code that takes one reply dropped those read with it."""
        for number in (1, 2):
            self.send(number)
        self.wait_until_running(2)
        self.link._pending[1].respond = None
        with self.assertLogs("jackdaw.links", "ERROR"):
            self.executor.finish(1)
            self.executor.finish(2)
            self.run_until(lambda: 2 in self.replies)
        self.assertEqual(self.replies[2].status, 200)

    def check_closes(self, data):
        """Check that the daemon closes a link on which it receives ``data``.

        Return what it sent before that; a reset counts as a close.
        """
        sock = socket.create_connection((HOST, self.listener.port))
        sock.sendall(data)
        sock.setblocking(False)
        received = []

        def check():
            try:
                while piece := sock.recv(1000):
                    received.append(piece)
            except BlockingIOError:
                return False
            except OSError:
                pass
            return True

        self.run_until(check)
        sock.close()
        return b"".join(received)


class LargeAnswersTest(unittest.TestCase):
    """Answers of two hosts that are read one after the other."""

    def setUp(self):
        self.loop = eventloop.EventLoop()
        self.addCleanup(self.loop.close)
        port = meshes.find_free_port()
        self.pool = links.LinkPool(
            loop=self.loop,
            port=port,
            incarnation="caller-1",
            failure_domain="a1",
            is_in_other_region=lambda failure_domain: False,
            on_message=lambda link, message: None,
        )
        self.loop.call_every(0.05, self.pool.tick)
        self.replies = {}
        self.hosts = ["127.0.0.1", "127.0.0.2"]
        self.peers = {host: self.accept(host, port) for host in self.hosts}

    def accept(self, host, port):
        """Return the peer's end of a link with a call in flight."""
        with socket.create_server((host, port)) as listener:
            call = calls.make_call(port)
            self.pool.get(host).call(
                call, lambda reply: self.replies.setdefault(host, reply)
            )
            peer, _ = listener.accept()
        self.addCleanup(peer.close)
        peer.setblocking(False)
        welcome = messages.Welcome(incarnation=host, failure_domain="a1")
        self.send(peer, codec.Encoder().encode(welcome))
        return peer

    def send(self, peer, data):
        data = memoryview(data)
        for _ in range(2000):
            if not data:
                return
            with contextlib.suppress(BlockingIOError):
                data = data[peer.send(data) :]
            self.run_once()

    def run_once(self):
        self.loop.call_later(0.005, lambda: None)
        self.loop.run_once()

    def make_reply(self, host, size):
        (number,) = self.pool.get(host)._pending
        reply = messages.make_failure(number, "", outcome=outcomes.Outcome.DONE)
        reply = reply._replace(status=200, body=bytes(size))
        return codec.Encoder().encode(reply)

    def run_until(self, condition):
        end = time.monotonic() + STABLE_SECONDS
        while not condition():
            self.assertLess(time.monotonic(), end, "the condition did not hold in time")
            self.run_once()

    def begin_answers(self):
        """Send the begin of two answers, too large to be read at once.

        Return the rest of the second one.
        """
        first, second = self.hosts
        self.send(self.peers[first], self.make_reply(first, 14 << 20)[: 13 << 20])
        answer = self.make_reply(second, 4 << 20)
        self.send(self.peers[second], answer[: 1 << 20])
        return answer[1 << 20 :]

    def check_second(self, rest):
        """Check that the second answer is read whole."""
        second = self.hosts[1]
        self.send(self.peers[second], rest)
        self.run_until(lambda: second in self.replies)
        self.assertEqual(len(self.replies[second].body), 4 << 20)

    def test_a_link_that_is_lost_leaves_its_turn_to_others(self):
        """No answer of any peer was read any more."""
        first = self.hosts[0]
        (number,) = self.pool.get(first)._pending
        rest = self.begin_answers()
        self.pool.get(first).cancel(number)
        self.peers[first].close()
        self.check_second(rest)

    def test_a_link_on_which_nothing_comes_leaves_its_turn_to_others(self):
        """All others waited until it was lost, a second or more for each such link."""
        first, second = map(self.pool.get, self.hosts)
        stream = first._stream
        rest = self.begin_answers()
        self.run_until(lambda: second.stream.is_paused or self.replies)
        self.run_until(lambda: not second.stream.is_paused)
        self.assertIs(first._stream, stream)
        self.check_second(rest)


class InterRegionLinkTest(LinkTest):
    """The same between regions, where messages are compressed."""

    @staticmethod
    def is_in_other_region(failure_domain):
        return True


if __name__ == "__main__":
    unittest.main()

"""An exception anywhere in a call frees its slot and answers its caller."""

import time
import types
import unittest
from unittest import mock

from jackdawlanding.decisions import directory, outcomes
from jackdawlanding.mesh import (
    backends,
    classification,
    eventloop,
    executor,
    gossip,
    logs,
    metrics,
    streams,
)
from tests import backendservers, calls, meshes

HOST = "127.0.0.1"
# When the slot of a call with a deadline in 0.3 s is free; its server waits for longer.
FREED_SECONDS = 2.0


class ExecutorTest(unittest.TestCase):
    """An executor with one slot and a backend server."""

    def setUp(self):
        self.loop = eventloop.EventLoop()
        self.addCleanup(self.loop.close)
        self.backend_server = backendservers.BackendServer(
            service="desk", instance="i-1"
        )
        self.addCleanup(self.backend_server.stop)
        log = logs.Log()
        fleet_state = gossip.FleetState(decode=None, log=log)
        self.executor = executor.Executor(
            loop=self.loop,
            service="desk",
            address=(HOST, self.backend_server.port),
            fleet_state=fleet_state,
            metrics=metrics.Metrics(),
            log=log,
        )
        fleet_state.put(
            instance="i-1",
            revision=1,
            backend=directory.Backend(
                instance="i-1",
                service="desk",
                host=HOST,
                port=self.backend_server.port,
                failure_domain="a1",
                slots=1,
                is_draining=False,
            ),
            source="store",
        )
        self.executor.apply_backend()
        self.executor.start()
        self.replies = {}

    def submit(self, number, **fields):
        headers = [b"X-Request-Id", b"q%d" % number]
        call = calls.make_call(number, objective=5.0, headers=headers, **fields)
        self.executor.submit(call, lambda reply: self.replies.setdefault(number, reply))

    def run_until(self, *numbers):
        def is_done():
            self.loop.call_later(0.01, lambda: None)
            self.loop.run_once()
            return set(numbers) <= set(self.replies)

        meshes.wait_until(is_done)

    def check(self, number, outcome):
        """Check how a call ended, that its slot is free, and that the next one runs."""
        self.run_until(number)
        self.assertEqual(self.replies[number].outcome, outcome)
        self.assertEqual(self.executor.in_flight, 0)
        following = number + 100
        self.submit(following)
        self.run_until(following)
        self.assertEqual(self.replies[following].status, 200)

    def test_a_call_that_can_t_be_formatted_frees_its_slot(self):
        """The name of the caller, in its head, is as odd as a peer may send it."""
        for number, caller in enumerate(("сървър", "desk\n", "desk\r\nA: b")):
            with self.subTest(caller=caller):
                with self.assertLogs("jackdaw.host", "ERROR"):
                    self.submit(number, caller=caller)
                self.check(number, outcomes.Outcome.NOT_RUN)

    def test_a_call_for_an_odd_instance_frees_its_slot(self):
        """No request is written with a name that would end its head."""
        names = ("сървър", "i-1\n", "i-1\r\nA: b")
        for number, instance in enumerate(names):
            with self.subTest(instance=instance):
                self.executor.occupant.forget()
                with self.assertLogs("jackdaw.host", "ERROR"):
                    self.submit(number, instance=instance)
                self.check(number, outcomes.Outcome.NOT_RUN)
        for number, instance in enumerate(names, 10):
            with self.subTest(instance=instance, is_known="i-1"):
                self.submit(number, instance=instance)
                self.check(number, outcomes.Outcome.DONE)
                self.assertEqual(self.replies[number].reason, "i-1")

    def test_many_waiting_calls_that_can_t_be_formatted_free_the_queue(self):
        self.backend_server.seconds = 0.2
        self.submit(1)
        waiting = range(2, 52)
        for number in waiting:
            self.submit(number, caller="сървър")
        with self.assertLogs("jackdaw.host", "ERROR"):
            self.run_until(1, *waiting)
        self.assertEqual(
            {self.replies[number].outcome for number in waiting},
            {outcomes.Outcome.NOT_RUN},
        )
        self.check(1, outcomes.Outcome.DONE)

    def test_a_failure_while_the_occupant_is_found_frees_the_slots(self):
        """What fails between a call's wait or answer and its end must not keep it."""
        self.backend_server.seconds = 0.2
        self.submit(1)
        waiting = range(2, 6)
        for number in waiting:
            self.submit(number)
        with (
            mock.patch.object(
                self.executor.occupant, "choose", side_effect=ZeroDivisionError
            ),
            self.assertLogs("jackdaw.host", "ERROR"),
        ):
            self.run_until(1, *waiting)
        self.assertEqual(
            {self.replies[number].outcome for number in waiting},
            {outcomes.Outcome.NOT_RUN},
        )
        self.check(1, outcomes.Outcome.DONE)

    def test_a_failure_after_an_answer_frees_the_slot(self):
        for number, (method, instance, outcome) in enumerate(
            (
                ("confirm", "i-1", outcomes.Outcome.UNKNOWN),
                ("disprove", "i-2", outcomes.Outcome.NOT_RUN),
            )
        ):
            with self.subTest(method=method):
                self.executor.occupant.forget()
                with (
                    mock.patch.object(
                        self.executor.occupant, method, side_effect=ZeroDivisionError
                    ),
                    self.assertLogs("jackdaw.host", "ERROR"),
                ):
                    self.submit(number, instance=instance)
                    self.run_until(number)
                self.check(number, outcome)

    def test_a_call_without_a_descriptor_for_its_connection_has_not_run(self):
        with mock.patch.object(streams.socket, "socket", side_effect=OSError(24, "")):
            self.submit(1)
        self.run_until(1)
        self.assertEqual(self.replies[1].outcome, outcomes.Outcome.NOT_RUN)
        self.assertEqual(self.executor.in_flight, 0)

    def test_a_failure_while_a_call_is_sent_leaves_its_outcome_unknown(self):
        with (
            mock.patch.object(
                backends._Connection, "start", side_effect=ZeroDivisionError
            ),
            self.assertLogs("jackdaw.host", "ERROR"),
        ):
            self.submit(1)
        self.check(1, outcomes.Outcome.UNKNOWN)
        self.assertEqual(len(self.executor._pool._open), 1)

    def test_an_answer_that_can_t_be_read_frees_the_slot(self):
        with (
            mock.patch.object(
                self.executor.notice, "record_answer", side_effect=ZeroDivisionError
            ),
            self.assertLogs("jackdaw.host", "ERROR"),
        ):
            self.submit(1)
            self.run_until(1)
        self.check(1, outcomes.Outcome.UNKNOWN)

    def test_a_call_without_an_answer_frees_its_slot_after_its_deadline(self):
        """Its caller's daemon was gone, and the connection silent: it ran for good."""
        self.backend_server.behaviours["/silent"] = "wait"
        started_at = time.monotonic()
        self.submit(1, target="/silent", remaining=0.3)
        self.run_until(1)
        self.assertLess(time.monotonic() - started_at, FREED_SECONDS)
        self.assertEqual(self.replies[1].reason, "overdue")
        self.check(1, outcomes.Outcome.UNKNOWN)

    def test_calls_with_the_same_request_id_each_free_their_slot(self):
        self.backend_server.behaviours["/silent"] = "wait"
        self.executor.controller.slots = 2
        started_at = time.monotonic()
        for number in (1, 2):
            self.submit(number, target="/silent", remaining=0.3, request_id="same")
        self.run_until(1, 2)
        self.assertLess(time.monotonic() - started_at, FREED_SECONDS)
        self.assertEqual(self.executor.in_flight, 0)

    def test_a_reply_that_can_t_be_taken_holds_up_no_other(self):
        call = calls.make_call(1, instance="i-7", service="other")

        def fail(reply):
            raise ZeroDivisionError

        with self.assertLogs("jackdaw.host", "ERROR"):
            self.executor.submit(call, fail)
        self.submit(2)
        self.check(2, outcomes.Outcome.DONE)

    def test_a_call_that_can_t_be_admitted_has_not_run(self):
        with (
            mock.patch.object(
                self.executor.controller, "submit", side_effect=ZeroDivisionError
            ),
            self.assertLogs("jackdaw.host", "ERROR"),
        ):
            self.submit(1)
        self.check(1, outcomes.Outcome.NOT_RUN)
        self.assertEqual(self.replies[1].reason, "failed")


class ClassificationTest(unittest.TestCase):
    def test_a_result_without_a_response_tells_whether_it_was_sent(self):
        for sent, outcome in ((False, "NOT_RUN"), (True, "UNKNOWN")):
            result = types.SimpleNamespace(response=None, sent=sent, reason="failed")
            self.assertEqual(classification.classify(result)[0].name, outcome)

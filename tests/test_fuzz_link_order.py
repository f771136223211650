"""Calls over a link, in any order of what its connections bring and lose.

An oracle counts what ran: a call that must not run twice runs once at most, and never
if its caller was told so, before or after that.
"""

import itertools
import os
import unittest

import hypothesis
from hypothesis import strategies

from jackdawlanding.decisions import outcomes
from tests import calls, simulatedlinks

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "500"))
# The number of events in a row of which all orders are played.
ORDER_LENGTH = 4
STEP_SECONDS = 0.1


class Play:
    """A caller and a server, what the caller was told, and what ran."""

    def __init__(self):
        self.world = simulatedlinks.World()
        # The numbers of the calls of the running caller, by request id.
        self.numbers = {}
        self.replies = {}
        self.safe = {}
        self.never_run = set()

    def call(self, *, is_safe=False, ends_at_once=True):
        """Send a call; without ``ends_at_once`` it runs until :meth:`finish`."""
        self.world.executor.ends_at_once = ends_at_once
        number = self.world.pool.make_number()
        request_id = f"q{len(self.safe)}"
        self.safe[request_id] = is_safe
        self.numbers[request_id] = number
        self.world.link.call(
            calls.make_call(number, is_safe=is_safe, request_id=request_id),
            lambda reply: self._record(request_id, reply),
        )
        self.world.clock.run_due()

    def let_pass(self, steps):
        """Let time pass; what is not held up arrives meanwhile."""
        for _ in range(steps):
            while events := self.world.list_events():
                events[0]()
            self.world.wait(STEP_SECONDS)

    def reset(self, **ends):
        if self.world.connections:
            self.world.reset(self.world.connections[-1], **ends)

    def hold(self):
        """Hold up what the caller sends on the last connection."""
        if self.world.connections:
            self.world.connections[-1].is_held = True

    def release(self):
        for connection in self.world.connections:
            connection.is_held = False

    def finish(self):
        for request_id in list(self.world.executor.running):
            self.world.executor.finish(request_id)

    def cancel(self):
        """Cancel the last call without a reply."""
        waiting = [name for name in self.numbers if name not in self.replies]
        if waiting and self.world.link.cancel(self.numbers.pop(waiting[-1])):
            self.never_run.add(waiting[-1])

    def restart_caller(self):
        self.numbers.clear()
        self.world.start_caller()

    def restart_server(self):
        self.world.start_server()

    def find_fault(self):
        """Return what is wrong, ``""`` if nothing is."""
        for request_id, count in self.world.executor.runs.items():
            if count > 1 and not self.safe[request_id]:
                return f"{request_id} ran {count} times"
            if request_id in self.never_run:
                return f"{request_id} ran, and its caller was told that it never does"
        for request_id, replies in self.replies.items():
            if replies != 1:
                return f"{request_id} got {replies} replies"
        return ""

    def _record(self, request_id, reply):
        if request_id not in self.numbers:
            return
        self.replies[request_id] = self.replies.get(request_id, 0) + 1
        if reply.outcome == outcomes.Outcome.NOT_RUN:
            self.never_run.add(request_id)


EVENTS = {
    "call": Play.call,
    "long call": lambda play: play.call(ends_at_once=False),
    "0.4 s": lambda play: play.let_pass(4),
    "1.5 s": lambda play: play.let_pass(15),
    "reset for caller": lambda play: play.reset(for_caller=True, for_server=False),
    "reset for server": lambda play: play.reset(for_caller=False, for_server=True),
    "reset": lambda play: play.reset(for_caller=True, for_server=True),
    "hold": Play.hold,
    "release": Play.release,
    "cancel": Play.cancel,
    "restart caller": Play.restart_caller,
    "restart server": Play.restart_server,
}
MORE_EVENTS = {
    **EVENTS,
    "safe call": lambda play: play.call(is_safe=True),
    "finish": Play.finish,
    "7 s": lambda play: play.let_pass(70),
}
FIRST_EVENTS = ("call", "0.4 s")
LAST_EVENTS = ("release", "1.5 s", "finish", "1.5 s")


def play_events(names):
    """Play events over a link that is in use, then quiet; return the first fault."""
    play = Play()
    try:
        for name in (*FIRST_EVENTS, *names, *LAST_EVENTS):
            MORE_EVENTS[name](play)
            if fault := play.find_fault():
                return fault
        return ""
    finally:
        play.world.stop()


class LinkOrderTest(unittest.TestCase):
    def test_not_run_holds_in_all_orders_of_a_few_events(self):
        faults = {}
        for names in itertools.product(EVENTS, repeat=ORDER_LENGTH):
            if fault := play_events(names):
                faults[names] = fault
        self.assertEqual(faults, {})

    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(sorted(MORE_EVENTS)), min_size=5, max_size=20
        )
    )
    def test_not_run_holds_in_orders_of_many_events(self, names):
        self.assertEqual(play_events(names), "")

"""Calls over a link whose connection is reset again and again.

An oracle counts what ran: a call that must not run twice runs once at most, a reply
that says that it has not run is true and stays true, and each call ends.
"""

import time
import unittest

from hypothesis import settings, stateful, strategies

from jackdawlanding.decisions import outcomes
from tests import calls, test_links

LONG_BODY = bytes(600_000)
SETTLE_SECONDS = 8.0


class LinkMachine(stateful.RuleBasedStateMachine):
    """Sends, ends and cancels calls while the proxy resets connections."""

    def __init__(self):
        super().__init__()
        self.harness = test_links.LinkTest()
        self.harness.setUp()
        self.executor = self.harness.executor
        self.runs = {}
        self.ended = set()
        self.safe = {}
        self.replies = {}
        self.cancelled = set()
        submit = self.executor.submit

        def count(call, respond):
            self.runs[call.number] = self.runs.get(call.number, 0) + 1
            return submit(call, respond)

        self.executor.submit = count

    def teardown(self):
        try:
            self.settle()
        finally:
            self.harness.doCleanups()

    @stateful.rule(is_safe=strategies.booleans(), is_long=strategies.booleans())
    def send(self, is_safe, is_long):
        number = self.harness.pool.make_number()
        self.safe[number] = is_safe
        body = LONG_BODY if is_long else b""
        call = calls.make_call(number, is_safe=is_safe, body=body, has_body=is_long)
        self.harness.link.call(
            call, lambda reply: self.replies.setdefault(number, []).append(reply)
        )

    @stateful.rule(index=strategies.integers(0, 50))
    def finish(self, index):
        waiting = [number for number in self.executor.calls if number not in self.ended]
        if waiting:
            number = waiting[index % len(waiting)]
            self.ended.add(number)
            self.executor.finish(number)

    @stateful.rule(index=strategies.integers(0, 50))
    def cancel(self, index):
        waiting = [
            number
            for number in self.safe
            if number not in self.replies and number not in self.cancelled
        ]
        if waiting:
            number = waiting[index % len(waiting)]
            if self.harness.link.cancel(number):
                assert number not in self.runs
            self.cancelled.add(number)

    @stateful.rule()
    def reset(self):
        self.harness.proxy.reset_all()

    @stateful.rule(milliseconds=strategies.sampled_from([0, 1, 5, 30, 120]))
    def run(self, milliseconds):
        self.harness.wait(milliseconds / 1000)

    @stateful.invariant()
    def what_must_not_run_twice_runs_once(self):
        for number, count in self.runs.items():
            assert count == 1 or self.safe[number], (number, count)

    @stateful.invariant()
    def each_call_ends_once_and_not_run_is_true(self):
        for number, replies in self.replies.items():
            assert len(replies) == 1 and number not in self.cancelled
            if replies[0].outcome == outcomes.Outcome.NOT_RUN:
                assert number not in self.runs, number

    def settle(self):
        """Let all calls end without further resets."""
        end = time.monotonic() + SETTLE_SECONDS
        while any(
            number not in self.replies
            for number in self.safe
            if number not in self.cancelled
        ):
            assert time.monotonic() < end, "a call has no reply"
            self.finish(0)
            self.harness.wait(0.01)
            self.what_must_not_run_twice_runs_once()
            self.each_call_ends_once_and_not_run_is_true()


class LinkFuzz(LinkMachine.TestCase):
    settings = settings(
        max_examples=25, stateful_step_count=25, derandomize=True, deadline=None
    )


if __name__ == "__main__":
    unittest.main()

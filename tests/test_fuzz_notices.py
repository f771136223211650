"""Fuzz of what daemons know of a backend server that limits, leaves and restarts."""

import os
import typing
import unittest

import hypothesis
from hypothesis import stateful, strategies

from jackdawlanding.decisions import directory, notices

NAME = "i-1"
CALLERS = ("a", "b", "c")
EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "300"))
CALLER_NAMES = strategies.sampled_from(CALLERS)


class CallingDaemon:
    """A daemon that calls; ``told`` holds what it has passed on of the server."""

    def __init__(self):
        self.directory = directory.Directory()
        self.notices = notices.RemoteNotices()
        self.told = set()


class PendingReply(typing.NamedTuple):
    """A reply on its way: what it carries, and what its answer said."""

    caller: CallingDaemon
    backend: directory.Backend
    dated: notices.DatedNotice | None
    is_answer: bool
    said: tuple


class NoticeMachine(stateful.RuleBasedStateMachine):
    """One backend server, the daemon beside it, and daemons that call it.

    The directory reaches each daemon at its own time, and replies arrive in any order.
    """

    @stateful.initialize()
    def start(self):
        self.now = 0.0
        self.born = 1
        self.revision = 1
        self.notice = notices.EMPTY
        # Counts how often the server began to name a limit.
        self.episode = 0
        self.callers = {name: CallingDaemon() for name in CALLERS}
        self.replies = []
        self.restart_executor()
        for name in CALLERS:
            self.update_caller(name)
        self.update_executor()

    @stateful.precondition(lambda self: not self.notice.is_leaving)
    @stateful.precondition(lambda self: self.is_known_to_callers())
    @stateful.rule()
    def begin_to_leave(self):
        """Leave; a start serves for longer than the directory takes to all callers."""
        self.notice = self.notice._replace(is_leaving=True)

    @stateful.rule(rate=strategies.sampled_from((1.0, 5.0)))
    def name_limit(self, rate):
        if self.notice.rate is None:
            self.episode += 1
        self.notice = self.notice._replace(rate=rate)

    @stateful.precondition(lambda self: self.notice.rate is not None)
    @stateful.rule()
    def lift_limit(self):
        self.notice = self.notice._replace(rate=None)

    @stateful.precondition(lambda self: self.notice.is_leaving)
    @stateful.rule()
    def restart_backend_server(self):
        self.born += 1
        self.revision += 1
        self.notice = notices.EMPTY

    @stateful.rule()
    def restart_executor(self):
        self.local = notices.LocalNotice()
        self.listed_born = 0

    @stateful.precondition(lambda self: self.listed_born != self.born)
    @stateful.rule()
    def update_executor(self):
        self.listed_born = self.born
        self.local.identify(instance=NAME, born=self.born)

    @stateful.rule(name=CALLER_NAMES)
    def update_caller(self, name):
        caller = self.callers[name]
        backend = directory.Backend(
            NAME, "desk", "h", 1, "a1", 4, False, born=self.born
        )
        if caller.directory.put(
            now=self.now, instance=NAME, revision=self.revision, backend=backend
        ):
            caller.notices.apply_directory(now=self.now, directory=caller.directory)

    @stateful.rule(
        name=CALLER_NAMES,
        is_success=strategies.booleans(),
        is_prompt=strategies.booleans(),
    )
    def call(self, name, is_success, is_prompt):
        """Send a call; its reply arrives at once, or stays on the way."""
        caller = self.callers[name]
        if NAME in caller.notices.leaving:
            return
        sent = caller.notices.get(NAME)
        said = ()
        is_answer = not self.local.is_leaving(NAME)
        if is_answer:
            self.adopt(sent)
            self.check_allowed(caller)
            said = self.answer(is_success)
        dated = self.local.get(NAME)
        if sent is None and (dated is None or dated.notice == notices.EMPTY):
            dated = None
        backend = caller.directory.get(NAME)
        self.replies.append(PendingReply(caller, backend, dated, is_answer, said))
        if is_prompt:
            self.deliver(-1)

    def is_known_to_callers(self):
        return all(
            caller.directory.get(NAME).born == self.born
            for caller in self.callers.values()
        )

    def adopt(self, sent):
        if sent is not None:
            self.local.adopt(now=self.now, instance=NAME, dated=sent)

    def check_allowed(self, caller):
        """Check that a caller which passed a notice on does not ignore it."""
        assert ("leaving", self.born) not in caller.told
        is_limited = self.notice.rate is not None
        if is_limited and ("rate", self.born, self.episode) in caller.told:
            assert self.local.current is not None
            assert self.local.current.rate is not None

    def answer(self, is_success):
        """Let the server answer; return what it said. A failure may lack headers."""
        self.now += 1.0
        said = self.notice if is_success else notices.EMPTY
        self.local.record_answer(
            now=self.now,
            sent_at=self.now,
            instance=NAME,
            notice=said,
            is_success=is_success,
        )
        facts = []
        if said.is_leaving:
            facts.append(("leaving", self.born))
        if said.rate is not None:
            facts.append(("rate", self.born, self.episode))
        return tuple(facts)

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(index=strategies.integers(0, 50))
    def deliver(self, index):
        reply = self.replies.pop(index % len(self.replies))
        if reply.dated is not None:
            reply.caller.notices.record(
                now=self.now,
                backend=reply.backend,
                dated=reply.dated,
                is_answer=reply.is_answer,
                directory=reply.caller.directory,
            )
        reply.caller.told.update(reply.said)

    def teardown(self):
        """Check that a server that stays is used once all daemons know of it."""
        if not hasattr(self, "callers"):
            return
        while self.replies:
            self.deliver(0)
        self.update_executor()
        for name in CALLERS:
            self.update_caller(name)
        if self.notice.is_leaving:
            return
        assert not self.local.is_leaving(NAME)
        for caller in self.callers.values():
            assert NAME not in caller.notices.leaving


NoticeMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES, stateful_step_count=40, deadline=None, derandomize=True
)
NoticeFuzzTest = NoticeMachine.TestCase

if __name__ == "__main__":
    unittest.main()

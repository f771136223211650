"""The gate against an oracle: each job ends once, in order, within the slots."""

import os
import unittest

import hypothesis
from hypothesis import stateful, strategies

from jackdawlanding.decisions import slots

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "60"))


class GateMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.gate = slots.SlotController(slots=3)
        self.now = 0.0
        self.running = []
        self.waiting = []
        self.ended = set()

    @stateful.rule(
        rank=strategies.integers(0, 3),
        is_nested=strategies.booleans(),
        left=strategies.floats(0.0, 2.0),
    )
    def submit(self, rank, is_nested, left):
        job = slots.Job(
            kind=f"k{rank}",
            rank=rank,
            is_nested=is_nested,
            deadline=self.now + left,
            objective=self.now + left / 2,
        )
        offer = self.gate.submit(now=self.now, job=job)
        if offer.verdict is slots.Verdict.ADMITTED:
            assert not self.waiting, "a job passed those that wait"
            self.running.append(job)
        elif offer.verdict is slots.Verdict.QUEUED:
            self.waiting.append(job)
        else:
            assert offer.retry_after > 0
            self.end(job)
        for one in offer.evicted:
            assert one.order > job.order, "a job turned out one before it"
            self.waiting.remove(one)
            self.end(one)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), seconds=strategies.floats(0.0, 0.5))
    def release(self, data, seconds):
        self.now += seconds
        job = data.draw(strategies.sampled_from(self.running))
        self.gate.release(
            now=self.now, job=job, is_good=data.draw(strategies.booleans())
        )
        self.running.remove(job)
        self.end(job)
        self.admit()

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=strategies.data())
    def withdraw(self, data):
        job = data.draw(strategies.sampled_from(self.waiting))
        assert self.gate.withdraw(job)
        self.waiting.remove(job)
        self.end(job)

    @stateful.rule(count=strategies.integers(1, 6))
    def change_slots(self, count):
        self.gate.slots = count

    @stateful.rule(seconds=strategies.floats(0.0, 1.0))
    def wait(self, seconds):
        self.now += seconds
        self.admit()

    def admit(self):
        admitted, late = self.gate.admit_next(now=self.now)
        for job in late:
            assert self.now + 2.0 > job.deadline, "a job was dropped far too early"
            self.waiting.remove(job)
            self.end(job)
        expected = sorted(self.waiting, key=lambda one: one.order)[: len(admitted)]
        assert admitted == expected, "jobs ran out of order"
        for job in admitted:
            self.waiting.remove(job)
            self.running.append(job)

    def end(self, job):
        assert job not in self.ended, "a job ended twice"
        self.ended.add(job)

    @stateful.invariant()
    def the_counts_agree(self):
        assert self.gate.running == len(self.running)
        assert self.gate.queued == len(self.waiting)

    @stateful.invariant()
    def nothing_starts_over_the_limit(self):
        assert len(self.running) <= 6


GateMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES, stateful_step_count=40, deadline=None, derandomize=True
)
GateTest = GateMachine.TestCase

if __name__ == "__main__":
    unittest.main()

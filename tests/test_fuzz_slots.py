"""Random events against a model: jobs run in order, within the slots, and end once."""

import os
import unittest

import hypothesis
from hypothesis import stateful, strategies

from jackdawlanding.decisions import slots

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "60"))


class SlotControllerMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.controller = slots.SlotController(slots=3)
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
        result = self.controller.submit(now=self.now, job=job)
        if result.verdict is slots.Verdict.ADMITTED:
            assert not self.waiting, "a job passed waiting ones"
            self.running.append(job)
        elif result.verdict is slots.Verdict.QUEUED:
            self.waiting.append(job)
        else:
            assert result.retry_after > 0
            self.end(job)
        for evicted in result.evicted:
            assert evicted.order > job.order, "a job evicted one ahead of it"
            self.waiting.remove(evicted)
            self.end(evicted)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), seconds=strategies.floats(0.0, 0.5))
    def release(self, data, seconds):
        self.now += seconds
        job = data.draw(strategies.sampled_from(self.running))
        self.controller.release(
            now=self.now, job=job, is_success=data.draw(strategies.booleans())
        )
        self.running.remove(job)
        self.end(job)
        self.admit()

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=strategies.data())
    def withdraw(self, data):
        job = data.draw(strategies.sampled_from(self.waiting))
        assert self.controller.withdraw(job)
        self.waiting.remove(job)
        self.end(job)

    @stateful.rule(count=strategies.integers(1, 6))
    def change_slots(self, count):
        self.controller.slots = count

    @stateful.rule(seconds=strategies.floats(0.0, 1.0))
    def wait(self, seconds):
        self.now += seconds
        self.admit()

    def admit(self):
        admitted, late = self.controller.admit_next(now=self.now)
        for job in late:
            assert self.now + 2.0 > job.deadline, "a job was dropped far too early"
            self.waiting.remove(job)
            self.end(job)
        expected = sorted(self.waiting, key=lambda job: job.order)[: len(admitted)]
        assert admitted == expected, "jobs ran out of order"
        for job in admitted:
            self.waiting.remove(job)
            self.running.append(job)

    def end(self, job):
        assert job not in self.ended, "a job ended twice"
        self.ended.add(job)

    @stateful.invariant()
    def the_counts_agree(self):
        assert self.controller.running == len(self.running)
        assert self.controller.queued == len(self.waiting)

    @stateful.invariant()
    def nothing_starts_over_the_limit(self):
        assert len(self.running) <= 6


SlotControllerMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES, stateful_step_count=40, deadline=None, derandomize=True
)
SlotControllerFuzz = SlotControllerMachine.TestCase

if __name__ == "__main__":
    unittest.main()

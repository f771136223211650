"""No protected call is shed while one below it is admitted at the limit."""

import os

import hypothesis
from hypothesis import stateful, strategies as st

from jackdawlanding.decisions import admission, work as works

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "80"))
IS_LONG = "JACKDAW_FUZZ_EXAMPLES" in os.environ
QUEUE = 6
WORKS = [
    works.Work(name="pay", method="*", path="/*", rank=0, protected=True),
    works.Work(name="order", method="*", path="/*", rank=1, protected=True),
    works.Work(name="status", method="*", path="/*", rank=3, floor=0.2),
    works.Work(name="browse", method="*", path="/*", rank=5, floor=0.1),
]


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """The oracle holds each call's state and checks every change against it."""

    def __init__(self):
        super().__init__()
        self.gate = admission.make_gate(minimum=1, maximum=4, queue_length=QUEUE)
        self.now = 0.0
        self.running = []
        self.waiting = []

    @stateful.rule(
        work=st.sampled_from(WORKS),
        caller=st.sampled_from(["a", "b", "c"]),
        patience=st.sampled_from([0.05, 1.0, 5.0]),
    )
    def offer(self, work, caller, patience):
        entry = admission.Entry(work=work, caller=caller, deadline=self.now + patience)
        waited = list(self.waiting)
        change = self.gate.offer(now=self.now, entry=entry)
        if change.verdict is admission.Verdict.ADMITTED:
            self._admit(entry, waited)
        elif change.verdict is admission.Verdict.QUEUED:
            self.waiting.append(entry)
        self._apply(change)
        if change.verdict is admission.Verdict.OVER_LIMIT:
            self._check_shed(entry, change)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        index=st.integers(0, 9),
        seconds=st.sampled_from([0.01, 0.1, 0.5]),
        end=st.sampled_from(admission.End),
    )
    def release(self, index, seconds, end):
        entry = self.running.pop(index % len(self.running))
        self.now += seconds
        self._apply(self.gate.release(now=self.now, entry=entry, end=end))

    @stateful.rule(seconds=st.sampled_from([0.02, 0.5, 2.0]))
    def tick(self, seconds):
        self.now += seconds
        self._apply(self.gate.tick(now=self.now))

    @stateful.invariant()
    def counts_agree(self):
        assert self.gate.in_flight == len(self.running)
        assert self.gate.queued == len(self.waiting)
        assert self.gate.queued <= QUEUE

    @stateful.invariant()
    def nobody_waits_beside_free_room(self):
        assert not self.waiting or self.gate.in_flight >= self.gate.limit.limit

    def _apply(self, change):
        for entry in change.late:
            self.waiting.remove(entry)
        for entry in change.admitted:
            waited = [one for one in self.waiting if one is not entry]
            self.waiting.remove(entry)
            self._admit(entry, waited)
        # A change sheds all its entries at once.
        for entry in change.shed:
            self.waiting.remove(entry)
        for entry in change.shed:
            self._check_shed(entry, change)

    def _admit(self, entry, waited):
        """An unprotected call may pass by its floor, never a protected one."""
        self.running.append(entry)
        for other in waited:
            if other.work.protected and other in self.waiting:
                assert entry.work.rank <= other.work.rank, "a protected call was passed"

    def _check_shed(self, entry, change):
        for other in [*self.waiting, *change.admitted]:
            if entry.work.protected:
                assert other.work.rank <= entry.work.rank, "shed before one below"


AdmissionMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=60,
    derandomize=not IS_LONG,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
AdmissionFuzz = AdmissionMachine.TestCase

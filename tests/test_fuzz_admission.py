"""No protected call is shed while one below it is admitted at the limit."""

import os

import hypothesis
from hypothesis import stateful, strategies as st

from jackdawlanding.decisions import admission, works

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
        self.gate = admission.make_controller(minimum=1, maximum=4, queue_length=QUEUE)
        self.now = 0.0
        self.running = []
        self.waiting = []

    @stateful.rule(
        work=st.sampled_from(WORKS),
        caller=st.sampled_from(["a", "b", "c"]),
        patience=st.sampled_from([0.05, 1.0, 5.0]),
    )
    def submit(self, work, caller, patience):
        pending_call = admission.PendingCall(
            work=work, caller=caller, deadline=self.now + patience
        )
        waited = list(self.waiting)
        change = self.gate.submit(now=self.now, pending_call=pending_call)
        if change.verdict is admission.Verdict.ADMITTED:
            self._admit(pending_call, waited)
        elif change.verdict is admission.Verdict.QUEUED:
            self.waiting.append(pending_call)
        self._apply(change)
        if change.verdict is admission.Verdict.OVER_LIMIT:
            self._check_shed(pending_call, change)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        index=st.integers(0, 9),
        seconds=st.sampled_from([0.01, 0.1, 0.5]),
        completion=st.sampled_from(admission.Completion),
    )
    def release(self, index, seconds, completion):
        pending_call = self.running.pop(index % len(self.running))
        self.now += seconds
        self._apply(
            self.gate.release(
                now=self.now, pending_call=pending_call, completion=completion
            )
        )

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
        for pending_call in change.late:
            self.waiting.remove(pending_call)
        for pending_call in change.admitted:
            waited = [one for one in self.waiting if one is not pending_call]
            self.waiting.remove(pending_call)
            self._admit(pending_call, waited)
        # A change sheds all its entries at once.
        for pending_call in change.shed:
            self.waiting.remove(pending_call)
        for pending_call in change.shed:
            self._check_shed(pending_call, change)

    def _admit(self, pending_call, waited):
        """An unprotected call may pass by its floor, never a protected one."""
        self.running.append(pending_call)
        for other in waited:
            if other.work.protected and other in self.waiting:
                assert pending_call.work.rank <= other.work.rank, (
                    "a protected call was passed"
                )

    def _check_shed(self, pending_call, change):
        for other in [*self.waiting, *change.admitted]:
            if pending_call.work.protected:
                assert other.work.rank <= pending_call.work.rank, (
                    "shed before one below"
                )


AdmissionMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=60,
    derandomize=not IS_LONG,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
AdmissionFuzz = AdmissionMachine.TestCase

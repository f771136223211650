"""No protected call is shed while a less urgent one is admitted at the limit."""

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
    """The model holds the state of each call; every result is checked against it."""

    def __init__(self):
        super().__init__()
        self.controller = admission.make_controller(
            minimum=1, maximum=4, queue_length=QUEUE
        )
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
        result = self.controller.submit(now=self.now, pending_call=pending_call)
        if result.verdict is admission.Verdict.ADMITTED:
            self._admit(pending_call, waited)
        elif result.verdict is admission.Verdict.QUEUED:
            self.waiting.append(pending_call)
        self._apply(result)
        if result.verdict is admission.Verdict.OVER_LIMIT:
            self._check_shed(pending_call, result)

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
            self.controller.release(
                now=self.now, pending_call=pending_call, completion=completion
            )
        )

    @stateful.rule(seconds=st.sampled_from([0.02, 0.5, 2.0]))
    def tick(self, seconds):
        self.now += seconds
        self._apply(self.controller.tick(now=self.now))

    @stateful.invariant()
    def counts_agree(self):
        assert self.controller.in_flight == len(self.running)
        assert self.controller.queued == len(self.waiting)
        assert self.controller.queued <= QUEUE

    @stateful.invariant()
    def no_call_waits_while_there_is_room(self):
        assert (
            not self.waiting or self.controller.in_flight >= self.controller.limit.limit
        )

    def _apply(self, result):
        for pending_call in result.late:
            self.waiting.remove(pending_call)
        for pending_call in result.admitted:
            waited = [call for call in self.waiting if call is not pending_call]
            self.waiting.remove(pending_call)
            self._admit(pending_call, waited)
        # All calls of a result are shed at the same time.
        for pending_call in result.shed:
            self.waiting.remove(pending_call)
        for pending_call in result.shed:
            self._check_shed(pending_call, result)

    def _admit(self, pending_call, waited):
        """A floor lets a call pass unprotected ones, never a protected one."""
        self.running.append(pending_call)
        for other in waited:
            if other.work.protected and other in self.waiting:
                assert pending_call.work.rank <= other.work.rank, (
                    "a protected call was overtaken"
                )

    def _check_shed(self, pending_call, result):
        for other in [*self.waiting, *result.admitted]:
            if pending_call.work.protected:
                assert other.work.rank <= pending_call.work.rank, (
                    "a protected call was shed before a less urgent one"
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

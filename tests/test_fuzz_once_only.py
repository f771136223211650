"""A key runs at most once through crashes, partitions, pauses and lagging lists."""

import os

import hypothesis
from hypothesis import stateful, strategies as st

from tests import worlds

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "60"))
IS_LONG = "JACKDAW_FUZZ_EXAMPLES" in os.environ
INSTANCES = [f"i{number}" for number in range(5)]
KEYS = 6
SLOTS = st.integers(0, KEYS - 1)


class OnceOnlyMachine(stateful.RuleBasedStateMachine):
    """The invariant is checked on ``world.runs``: no key may run more than once."""

    @stateful.initialize(count=st.integers(1, 5))
    def start_service(self, count):
        self.world = worlds.World()
        self.numbers = dict.fromkeys(range(KEYS), 0)
        for instance in INSTANCES[:count]:
            self.world.start(instance)
        self.world.check_health()
        self.world.advance(4.0)

    @stateful.rule(key=SLOTS, index=st.integers(0, 4), timed=st.booleans())
    def send(self, key, index, timed):
        running = [daemon for daemon in self.world.daemons if daemon.is_running]
        if running:
            daemon = running[index % len(running)]
            self.world.send(self._get_key(key), daemon, timed=timed)

    @stateful.rule(index=st.integers(0, 4), lost=st.booleans())
    def deliver(self, index, lost):
        if self.world.attempts:
            attempt = self.world.attempts[index % len(self.world.attempts)]
            self.world.deliver(attempt, answer_is_lost=lost)

    @stateful.rule(timed=st.booleans())
    def send_everywhere(self, timed):
        """Callers send each key through every daemon, and every answer is lost."""
        for key in range(KEYS):
            for index in range(len(self.world.daemons)):
                self.send(key=key, index=index, timed=timed)
                self.deliver(index=-1, lost=True)

    @stateful.rule(
        instances=st.sets(st.sampled_from(INSTANCES), max_size=3),
        seconds=st.sampled_from([0.0, 6.0, 12.0, 36.0, 54.0]),
    )
    def part(self, instances, seconds):
        """Cut instances off from the others and the platform; an empty set heals."""
        self.world.partition(instances)
        self.world.check_health()
        self.world.advance(seconds)

    @stateful.rule(
        indexes=st.sets(st.integers(0, 4), min_size=1, max_size=3),
        fate=st.sampled_from(["kill", "replace", "leave", "pause", "wake"]),
        seconds=st.sampled_from([0.0, 3.0, 12.0]),
    )
    def disturb_daemons(self, indexes, fate, seconds):
        names = [daemon.instance for daemon in self.world.daemons]
        for name in sorted({names[i % len(names)] for i in indexes} if names else ()):
            self.world.disturb(name, fate)
        self.world.check_health()
        self.world.advance(seconds)

    @stateful.rule(instance=st.sampled_from(INSTANCES))
    def start(self, instance):
        self.world.start(instance)

    @stateful.rule(
        indexes=st.sets(st.integers(0, 4), min_size=1, max_size=2),
        seconds=st.sampled_from([3.0, 36.0, 54.0]),
    )
    def pause_for_long(self, indexes, seconds):
        """Pause some processes while the platform can't reach them."""
        names = [daemon.instance for daemon in self.world.daemons]
        paused = {names[i % len(names)] for i in indexes} if names else set()
        for name in sorted(paused):
            self.world.disturb(name, "pause")
        self.part(instances=paused, seconds=seconds)
        self.part(instances=(), seconds=0.0)
        for name in sorted(paused):
            self.world.disturb(name, "wake")

    @stateful.rule(
        state=st.sampled_from(["up", "down", "frozen", "lags", "lags more"]),
        index=st.integers(0, 4),
    )
    def disturb_platform(self, state, index):
        self.world.platform_is_up = state != "down"
        self.world.lag = {"lags": 1.0, "lags more": 5.0}.get(state, 0.0)
        for number, daemon in enumerate(self.world.daemons):
            is_frozen = state == "frozen" and number == index
            daemon.frozen_list = self.world.read_names() if is_frozen else None

    @stateful.rule(seconds=st.sampled_from([0.5, 1.0, 4.0, 8.0, 31.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @stateful.invariant()
    def no_key_runs_twice(self):
        if hasattr(self, "world"):
            repeated = {key: n for key, n in self.world.runs.items() if n > 1}
            assert not repeated, repeated

    def _get_key(self, slot):
        """Return the current key of a slot; an expired key is replaced by a new one."""
        name = f"k{slot}-{self.numbers[slot]}"
        if not self.world.may_send(name):
            self.numbers[slot] += 1
            name = f"k{slot}-{self.numbers[slot]}"
        return name


OnceOnlyMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=50,
    derandomize=not IS_LONG,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


OnceOnlyFuzz = OnceOnlyMachine.TestCase

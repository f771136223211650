"""What daemons claim to know, against the store's own history."""

import os
import time
import unittest

import hypothesis
from hypothesis import stateful, strategies

from tests import test_gossip

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "60"))
NAMES = test_gossip.NAMES
NUMBERS = strategies.integers(1, 5)
DAEMONS = strategies.sampled_from(NAMES)


class GossipMachine(stateful.RuleBasedStateMachine):
    """A store whose every revision is kept, and daemons that hear of it oddly."""

    def __init__(self):
        super().__init__()
        self.wire = test_gossip.Wire(NAMES)
        self.states = {0: frozenset()}
        self.events = []
        self.revision = 0

    @stateful.rule(number=NUMBERS, is_there=strategies.booleans())
    def change(self, number, is_there):
        state = set(self.states[self.revision])
        (state.add if is_there else state.discard)(f"i-{number}")
        self.revision += 1
        self.events.append((self.revision, number, is_there))
        self.states[self.revision] = frozenset(state)

    @stateful.precondition(lambda self: self.revision)
    @stateful.rule(name=DAEMONS)
    def list_all(self, name):
        fleet_state = self.wire.know(name)
        latest = {}
        for revision, number, is_there in self.events:
            latest[number] = (revision, is_there)
        for number, (revision, is_there) in latest.items():
            if is_there:
                self.put(fleet_state, revision, number, True)
        fleet_state.remove_unlisted(
            names=set(self.states[self.revision]),
            revision=self.revision,
            source="store",
        )
        fleet_state.directory.confirm(revision=self.revision, at=time.monotonic())

    @stateful.rule(name=DAEMONS)
    def watch(self, name):
        fleet_state = self.wire.know(name)
        if not fleet_state.directory.complete_revision:
            return
        for revision, number, is_there in self.events:
            if revision > fleet_state.directory.complete_revision:
                self.put(fleet_state, revision, number, is_there)
        fleet_state.directory.confirm(revision=self.revision, at=time.monotonic())

    @stateful.rule(asker=DAEMONS, answerer=DAEMONS)
    def ask(self, asker, answerer):
        if asker != answerer:
            self.wire.ask(asker, answerer)

    @stateful.rule(name=DAEMONS, to=DAEMONS, is_lost=strategies.booleans())
    def tell(self, name, to, is_lost):
        news = self.wire.daemons[name]._make_increment(tree=-1)
        if name != to and not is_lost:
            self.wire.deliver(name, to, news)

    @stateful.rule(name=DAEMONS)
    def restart(self, name):
        fresh = test_gossip.Wire([name])
        self.wire.daemons[name] = fresh.daemons[name]
        self.wire.daemons[name]._links = test_gossip.FakeLinks(
            wire=self.wire, name=name
        )

    def put(self, fleet_state, revision, number, is_there):
        fleet_state.put(
            instance=f"i-{number}",
            revision=revision,
            backend=test_gossip.make_backend(number) if is_there else None,
            source="store",
        )

    @stateful.invariant()
    def nobody_misses_what_it_claims_to_know(self):
        for name in NAMES:
            known = self.wire.know(name).directory
            # A removal that is held after an outage is not claimed to be known.
            claimed = known.shareable_revision
            for instance in known.list_instances():
                if known.get_revision(instance) <= claimed:
                    assert instance in self.states[claimed], (
                        f"{name} has {instance}, which was gone at {claimed}"
                    )
            for instance in self.states[claimed]:
                revision = known.get_revision(instance)
                assert known.get(instance) or revision > claimed, (
                    f"{name} lacks {instance} at {claimed}"
                )


GossipMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES, stateful_step_count=40, deadline=None, derandomize=True
)
GossipFuzzTest = GossipMachine.TestCase

if __name__ == "__main__":
    unittest.main()

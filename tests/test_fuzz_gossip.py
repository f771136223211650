"""Checks the state that daemons claim to have against the store's history."""

import os
import time
import unittest

import hypothesis
from hypothesis import stateful, strategies

from jackdawlanding.decisions import revisions
from tests import test_gossip

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "60"))
NAMES = test_gossip.NAMES
# Longer than any change is held, and shorter than removals are remembered.
HOLD_SECONDS = 60.0
NUMBERS = strategies.integers(1, 5)
DAEMONS = strategies.sampled_from(NAMES)


class GossipMachine(stateful.RuleBasedStateMachine):
    """A store with its full history, and daemons that receive it in random ways.

    They list, watch, receive updates, lose updates and restart. The store is restored
    from copies, each of which begins an era.
    """

    def __init__(self):
        super().__init__()
        self.network = test_gossip.Network(NAMES)
        self.states = {0: frozenset()}
        # The number, the instance and what became of it, of each change in the era.
        self.events = []
        self.era = 0
        self.number = 0

    @property
    def revision(self):
        return self.make_revision(self.number)

    def make_revision(self, number):
        return revisions.make(era=self.era, number=number)

    @stateful.precondition(lambda self: self.number)
    @stateful.rule(lost=strategies.integers(0, 6))
    def restore(self, lost):
        before, self.era = self.era, self.era + 1
        self.number = max(1, self.number - lost)
        self.events = [event for event in self.events if event[0] <= self.number]
        for number in range(self.number + 1):
            known = self.states[revisions.make(era=before, number=number)]
            self.states[self.make_revision(number)] = known

    @stateful.rule(number=NUMBERS, is_there=strategies.booleans())
    def change(self, number, is_there):
        state = set(self.states[self.revision])
        (state.add if is_there else state.discard)(f"i-{number}")
        self.number += 1
        self.events.append((self.number, number, is_there))
        self.states[self.revision] = frozenset(state)

    @stateful.precondition(lambda self: self.number)
    @stateful.rule(name=DAEMONS)
    def list_all(self, name):
        fleet_state = self.network.get_state(name)
        latest = {}
        for at, number, is_there in self.events:
            latest[number] = (at, is_there)
        for number, (at, is_there) in latest.items():
            if is_there:
                self.apply_record(fleet_state, self.make_revision(at), number, True)
        fleet_state.remove_unlisted(
            names=set(self.states[self.revision]),
            revision=self.revision,
            source="store",
        )
        fleet_state.directory.confirm(revision=self.revision, at=time.monotonic())

    @stateful.rule(name=DAEMONS)
    def watch(self, name):
        fleet_state = self.network.get_state(name)
        since = fleet_state.directory.complete_revision
        if not since or revisions.get_era(since) != self.era:
            return
        for at, number, is_there in self.events:
            if self.make_revision(at) > since:
                self.apply_record(fleet_state, self.make_revision(at), number, is_there)
        fleet_state.directory.confirm(revision=self.revision, at=time.monotonic())

    @stateful.rule(sender=DAEMONS, receiver=DAEMONS)
    def ask(self, sender, receiver):
        if sender != receiver:
            self.network.ask(sender, receiver)

    @stateful.rule(name=DAEMONS, receiver=DAEMONS, is_lost=strategies.booleans())
    def send_update(self, name, receiver, is_lost):
        update = self.network.daemons[name]._make_increment(tree=-1)
        if name != receiver and not is_lost:
            self.network.deliver(name, receiver, update)

    @stateful.rule(name=DAEMONS)
    def wait(self, name):
        known = self.network.get_state(name).directory
        known.apply_held_changes(now=time.monotonic() + HOLD_SECONDS)

    @stateful.rule(name=DAEMONS)
    def restart(self, name):
        fresh = test_gossip.Network([name])
        self.network.daemons[name] = fresh.daemons[name]
        self.network.daemons[name]._links = test_gossip.FakeLinks(
            network=self.network, name=name
        )

    def apply_record(self, fleet_state, revision, number, is_there):
        fleet_state.put(
            instance=f"i-{number}",
            revision=revision,
            backend=test_gossip.make_backend(number) if is_there else None,
            source="store",
        )

    def teardown(self):
        if self.number:
            for name in NAMES:
                self.list_all(name)
                self.wait(name)
                known = self.network.get_state(name).directory
                assert set(known.list_instances()) == self.states[self.revision]

    @stateful.invariant()
    def no_daemon_lacks_what_it_claims_to_have(self):
        for name in NAMES:
            known = self.network.get_state(name).directory
            # A removal that is held after an outage is not claimed.
            claimed = known.shareable_revision
            for instance in known.list_instances():
                if known.get_revision(instance) <= claimed:
                    assert instance in self.states[claimed], (
                        f"{name} has {instance}, which revision {claimed} lacks"
                    )
            for instance in self.states[claimed]:
                revision = known.get_revision(instance)
                assert known.get(instance) or revision > claimed, (
                    f"{name} lacks {instance}, which revision {claimed} has"
                )


GossipMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES, stateful_step_count=40, deadline=None, derandomize=True
)
GossipFuzzTest = GossipMachine.TestCase

if __name__ == "__main__":
    unittest.main()

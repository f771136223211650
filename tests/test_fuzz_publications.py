"""The highest version that arrives from any source is in force and never reverts."""

import os

import hypothesis
from hypothesis import stateful, strategies as st

from jackdawlanding.decisions import versions
from jackdawlanding.settings import publications
from tests import support

EXAMPLES = int(os.environ.get("JACKDAW_FUZZ_EXAMPLES", "40"))
DAEMONS = 4
DECLARATION = support.declare(support.AWARDS)


def make_value(version):
    return publications.encode(
        publications.Publication(
            service="awards", version=version, created=1, declaration=DECLARATION
        )
    )


class PublicationsMachine(stateful.RuleBasedStateMachine):
    """Daemons read from each other and from a platform that may serve old values."""

    def __init__(self):
        super().__init__()
        self.publications = [
            versions.ActivePublications(decode=publications.decode)
            for _ in range(DAEMONS)
        ]
        self.published = [make_value(1)]
        self.seen = [0] * DAEMONS

    @stateful.rule()
    def publish(self):
        self.published.append(make_value(len(self.published) + 1))

    @stateful.rule(daemon=st.integers(0, DAEMONS - 1), back=st.integers(0, 5))
    def read_platform(self, daemon, back):
        data = self.published[max(0, len(self.published) - 1 - back)]
        self.publications[daemon].apply(service="awards", data=data)

    @stateful.rule(daemon=st.integers(0, DAEMONS - 1), peer=st.integers(0, DAEMONS - 1))
    def read_peer(self, daemon, peer):
        active = self.publications[peer].get("awards")
        if active:
            self.publications[daemon].apply(service="awards", data=active.data)
            assert self.publications[daemon].get_version("awards") >= active.version

    @stateful.rule(daemon=st.integers(0, DAEMONS - 1), at=st.integers(0, 400))
    def read_damaged(self, daemon, at):
        data = bytearray(self.published[-1])
        data[at % len(data)] ^= 0x01
        result, _ = self.publications[daemon].apply(service="awards", data=bytes(data))
        assert result is versions.ApplyResult.REFUSED

    @stateful.invariant()
    def no_version_reverts(self):
        for number, active_publications in enumerate(self.publications):
            version = active_publications.get_version("awards")
            assert version >= self.seen[number]
            self.seen[number] = version


PublicationsMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    derandomize="JACKDAW_FUZZ_EXAMPLES" not in os.environ,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
PublicationsFuzz = PublicationsMachine.TestCase

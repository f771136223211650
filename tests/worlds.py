"""A fake world for the once-only fuzz: daemons, a list, links and time.

Only decisions run here. Messages between daemons are steps that the fuzz
delays, loses or delivers; the oracle is the list of runs of each key.
"""

import collections
import typing

from jackdawlanding.decisions import keys, membership, ownership, rendezvous

HORIZON = 30.0
FRESH = 4.0
GONE = 5.0
SETTLE = 1.0
OUTAGE = 12.0
WALL = 1_700_000_000.0
FIRST_START = 2.0


class Attempt(typing.NamedTuple):
    """A call on its way from its witness to its owner."""

    key: str
    made_at: float | None
    pair: tuple
    witness: object
    owner: str


class Daemon:
    """The once-only decisions of one process."""

    def __init__(self, *, instance, number, started_at):
        self.instance = instance
        self.incarnation = f"p{number}"
        self.started_at = started_at
        self.is_alive = True
        self.is_paused = False
        self.is_shutting_down = False
        self.frozen_list = None
        self.roster = membership.Roster(
            instance=instance,
            incarnation=self.incarnation,
            gone_seconds=GONE,
            settle_seconds=SETTLE,
        )
        self.ownership = ownership.Ownership(
            local_member=self.roster.local_member,
            horizon=HORIZON,
            fresh_seconds=FRESH,
            gone_seconds=GONE,
            outage_seconds=OUTAGE,
        )
        self.ledger = keys.KeyLedger(horizon=HORIZON)

    @property
    def runs(self):
        return self.is_alive and not self.is_paused


class World:
    """All daemons of one service, and what surrounds them."""

    def __init__(self):
        self.now = 100.0
        self.daemons = []
        self.attempts = []
        self.runs = collections.Counter()
        self.first_sent = {}
        self.made_at = {}
        self.platform_is_up = True
        self.lag = 0.0
        self._far_side = frozenset()
        self._list_changes = [(0.0, ())]
        self._numbers = 0
        self._created = self.now

    # What surrounds the daemons.

    def start(self, instance):
        """Start a process of an instance; one that runs already is killed."""
        for daemon in self.daemons:
            if daemon.instance == instance:
                daemon.is_alive = False
        self._numbers += 1
        daemon = Daemon(instance=instance, number=self._numbers, started_at=self.now)
        self.daemons = [one for one in self.daemons if one.is_alive]
        self.daemons.append(daemon)
        self.check_health()
        return daemon

    def kill(self, daemon):
        daemon.is_alive = False
        self.daemons.remove(daemon)

    def disturb(self, instance, fate):
        """Kill, replace, pause or wake an instance, or let it leave."""
        daemon = self.find_instance(instance)
        if fate == "kill":
            self.kill(daemon)
        elif fate == "replace":
            self.start(instance)
        elif fate == "leave":
            daemon.is_shutting_down = daemon.roster.is_shutting_down = True
            daemon.ownership.stop_acting()
        elif fate == "pause":
            daemon.is_paused = True
        else:
            self.wake(daemon)

    def part(self, instances):
        """Cut a set of instances off from the others and from the platform."""
        self._far_side = frozenset(instances)

    def check_health(self):
        """The platform lists what it can reach, paused ones included."""
        names = tuple(
            sorted(
                one.instance
                for one in self.daemons
                if one.instance not in self._far_side and not one.is_shutting_down
            )
        )
        if names != self._list_changes[-1][1]:
            self._list_changes.append((self.now, names))

    def advance(self, seconds):
        """Let time pass; daemons step as they would."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.5)
            for daemon in list(self.daemons):
                if daemon.runs:
                    self.step(daemon)

    def wake(self, daemon):
        daemon.is_paused = False
        daemon.ownership.require_new_evidence(now=self.now)

    def talk(self, one, other):
        """Return whether two daemons reach each other."""
        if not (one.runs and other.runs):
            return False
        return (one.instance in self._far_side) == (other.instance in self._far_side)

    def find(self, name):
        for daemon in self.daemons:
            if daemon.roster.local_member == name:
                return daemon
        return None

    def find_instance(self, instance):
        return next(one for one in self.daemons if one.instance == instance)

    # What a daemon does in a step.

    def step(self, daemon):
        self._read_list(daemon)
        daemon.ownership.tick(now=self.now)
        self._contact_all(daemon)
        members = daemon.roster.list_members(now=self.now)
        if members:
            daemon.ownership.adopt(members=members)
        self._ask_all(daemon)

    def _read_list(self, daemon):
        if not self.platform_is_up or daemon.instance in self._far_side:
            return
        names = daemon.frozen_list
        if names is None:
            names = self.read_names()
        entries = [
            membership.ListedInstance(
                instance=name, address=name, region="r", failure_domain="f"
            )
            for name in names
        ]
        daemon.roster.record_list(now=self.now, entries=entries)
        daemon.ownership.record_list(now=self.now, is_listed=daemon.roster.is_listed)

    def read_names(self):
        seen = ()
        for at, names in self._list_changes:
            if at <= self.now - self.lag:
                seen = names
        return seen

    def _contact_all(self, daemon):
        for other in self.daemons:
            if other is daemon or not daemon.roster.is_known(other.instance):
                continue
            if self.talk(daemon, other):
                self._exchange(daemon, other)
                self._exchange(other, daemon)

    def _exchange(self, teller, learner):
        learner.roster.record_contact(
            instance=teller.instance,
            incarnation=teller.incarnation,
            leaving=teller.is_shutting_down,
        )
        if teller.ownership.view_hash == learner.ownership.view_hash:
            learner.ownership.record_contact(
                now=self.now, member=teller.roster.local_member
            )

    def _ask_all(self, daemon):
        owner = daemon.ownership
        is_new = daemon.started_at - self._created <= FIRST_START
        for name in owner.list_unanswered():
            other = self.find(name)
            if other is None or not self.talk(daemon, other):
                continue
            history = other.ownership.make_history(
                now=self.now, view_hash=owner.view_hash
            )
            if history is None:
                continue
            daemon.ledger.merge(now=self.now, records=other.ledger.export(now=self.now))
            owner.apply_history(
                now=self.now,
                wall=WALL + self.now,
                member=name,
                view_hash=owner.view_hash,
                history=history,
                is_new_service=is_new,
            )
        owner.establish_view(now=self.now, wall=WALL + self.now, is_new_service=is_new)

    # What callers and calls do.

    def may_send(self, key):
        sent = self.first_sent.get(key)
        return sent is None or self.now - sent <= HORIZON

    def send(self, key, entry, *, timed):
        """A caller sends a key to a daemon, which brings it to its pair.

        Returns what is known: ``refused``, ``seen`` or ``started``.
        """
        if key not in self.first_sent:
            self.first_sent[key] = self.now
            self.made_at[key] = WALL + self.now if timed else None
        digest = rendezvous.digest(key)
        pair = entry.ownership.choose_pair(digest)
        owner, witness = pair
        if owner is None:
            return "refused"
        if witness is None:
            return self._run(key, pair, entry)
        other = self.find(witness)
        if other is not entry and (other is None or not self.talk(entry, other)):
            return "refused"
        verdict = self._begin(other, key, pair)
        if verdict == "started":
            self.attempts.append(
                Attempt(
                    key=key,
                    made_at=self.made_at[key],
                    pair=pair,
                    witness=other,
                    owner=owner,
                )
            )
        return verdict

    def deliver(self, attempt, *, answer_is_lost):
        """The owner gets an attempt, perhaps late; its answer may get lost."""
        owner = self.find(attempt.owner)
        if owner is None or not owner.runs:
            return
        self.attempts.remove(attempt)
        verdict = self._run(attempt.key, attempt.pair, owner)
        witness = attempt.witness
        if answer_is_lost or not self.talk(owner, witness):
            return
        ran = {"started": True, "refused": False, "seen": None}[verdict]
        if ran is False and self.runs[attempt.key]:
            raise AssertionError(f"{attempt.key} ran and was refused as not run")
        witness.ledger.finish(now=self.now, key=rendezvous.digest(attempt.key), ran=ran)

    def _begin(self, daemon, key, pair):
        digest = rendezvous.digest(key)
        if daemon.ledger.get(now=self.now, key=digest) is not None:
            return "seen"
        if not daemon.ownership.may_act(
            now=self.now, key=digest, pair=pair, made_at=self.made_at[key]
        ):
            return "refused"
        daemon.ledger.begin(now=self.now, key=digest)
        return "started"

    def _run(self, key, pair, owner):
        verdict = self._begin(owner, key, pair)
        if verdict == "started":
            self.runs[key] += 1
            owner.ledger.finish(now=self.now, key=rendezvous.digest(key), ran=True)
        return verdict

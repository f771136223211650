"""Simulates the daemons of one service, with their network, platform and clock.

Only code of ``decisions`` runs here. A test delivers, delays or loses the calls
between daemons; ``World.runs`` counts the runs of each key, of which at most one
is allowed.
"""

import collections
import typing

from jackdawlanding.decisions import keys, membership, ownership, rendezvous

HORIZON_SECONDS = 30.0
FRESH_SECONDS = 4.0
GONE_SECONDS = 5.0
SETTLE_SECONDS = 1.0
OUTAGE_SECONDS = 12.0
# Unix seconds at simulated time 0.
WALL_TIME_OFFSET = 1_700_000_000.0
# A daemon started this soon after the service was created treats it as a new service.
NEW_SERVICE_SECONDS = 2.0


class Attempt(typing.NamedTuple):
    """A call on its way from its witness to its owner.

    :param made_at: wall-clock seconds that the key carries, or ``None``.
    :param pair: the owner and the witness, by member name.
    :param witness: the :class:`Daemon` that started the attempt.
    :param owner: member name of the owner.
    """

    key: str
    made_at: float | None
    pair: tuple
    witness: object
    owner: str


class Daemon:
    """Holds the state that one process needs for once-only decisions.

    ``frozen_list`` replaces the platform's list for this daemon while it is set.
    """

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
            gone_seconds=GONE_SECONDS,
            settle_seconds=SETTLE_SECONDS,
        )
        self.ownership = ownership.Ownership(
            local_member=self.roster.local_member,
            horizon=HORIZON_SECONDS,
            fresh_seconds=FRESH_SECONDS,
            gone_seconds=GONE_SECONDS,
            outage_seconds=OUTAGE_SECONDS,
        )
        self.ledger = keys.KeyLedger(horizon=HORIZON_SECONDS)

    @property
    def is_running(self):
        return self.is_alive and not self.is_paused


class World:
    """Holds all daemons of one service, the network, the platform's list and the time.

    ``first_sent`` has the time when callers first sent each key, ``made_at`` the
    wall-clock seconds that the key carries, and ``lag`` the seconds until readers
    see a change of the list.
    """

    def __init__(self):
        self.now = 100.0
        self.daemons = []
        self.attempts = []
        self.runs = collections.Counter()
        self.first_sent = {}
        self.made_at = {}
        self.platform_is_up = True
        self.lag = 0.0
        self._isolated = frozenset()
        self._list_changes = [(0.0, ())]
        self._process_count = 0
        self._created_at = self.now

    # Processes, network, platform and time.

    def start(self, instance):
        """Start a process of an instance, and kill its earlier one."""
        for daemon in self.daemons:
            if daemon.instance == instance:
                daemon.is_alive = False
        self._process_count += 1
        daemon = Daemon(
            instance=instance, number=self._process_count, started_at=self.now
        )
        self.daemons = [other for other in self.daemons if other.is_alive]
        self.daemons.append(daemon)
        self.check_health()
        return daemon

    def kill(self, daemon):
        daemon.is_alive = False
        self.daemons.remove(daemon)

    def disturb(self, instance, action):
        """Kill, replace, pause or wake an instance, or shut it down."""
        daemon = self.find_instance(instance)
        if action == "kill":
            self.kill(daemon)
        elif action == "replace":
            self.start(instance)
        elif action == "leave":
            daemon.is_shutting_down = daemon.roster.is_shutting_down = True
            daemon.ownership.stop_acting()
        elif action == "pause":
            daemon.is_paused = True
        else:
            self.wake(daemon)

    def partition(self, instances):
        """Cut a set of instances off from the others and from the platform.

        An empty set heals the partition.
        """
        self._isolated = frozenset(instances)

    def check_health(self):
        """Update the platform's list to what it reaches, paused instances included."""
        names = tuple(
            sorted(
                daemon.instance
                for daemon in self.daemons
                if daemon.instance not in self._isolated and not daemon.is_shutting_down
            )
        )
        if names != self._list_changes[-1][1]:
            self._list_changes.append((self.now, names))

    def advance(self, seconds):
        """Advance the time; each running daemon takes a step every 0.5 seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.5)
            for daemon in list(self.daemons):
                if daemon.is_running:
                    self.step(daemon)

    def wake(self, daemon):
        """Resume a paused daemon, which needs new evidence before it acts."""
        daemon.is_paused = False
        daemon.ownership.require_new_evidence(now=self.now)

    def can_reach(self, daemon, other):
        """Return whether two daemons reach each other."""
        if not (daemon.is_running and other.is_running):
            return False
        return (daemon.instance in self._isolated) == (other.instance in self._isolated)

    def find_member(self, name):
        """Return the daemon with a member name, or ``None``."""
        for daemon in self.daemons:
            if daemon.roster.local_member == name:
                return daemon
        return None

    def find_instance(self, instance):
        return next(daemon for daemon in self.daemons if daemon.instance == instance)

    # Steps of a daemon.

    def step(self, daemon):
        """Read the list, contact the others, and update the daemon's view."""
        self._read_list(daemon)
        daemon.ownership.tick(now=self.now)
        self._contact_all(daemon)
        members = daemon.roster.list_members(now=self.now)
        if members:
            daemon.ownership.adopt(members=members)
        self._fetch_histories(daemon)

    def _read_list(self, daemon):
        if not self.platform_is_up or daemon.instance in self._isolated:
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
        """Return the instances on the list, as of ``lag`` seconds ago."""
        visible_names = ()
        for changed_at, names in self._list_changes:
            if changed_at <= self.now - self.lag:
                visible_names = names
        return visible_names

    def _contact_all(self, daemon):
        for other in self.daemons:
            if other is daemon or not daemon.roster.is_known(other.instance):
                continue
            if self.can_reach(daemon, other):
                self._send_contact(daemon, other)
                self._send_contact(other, daemon)

    def _send_contact(self, sender, receiver):
        """Record at the receiver that the sender was in contact."""
        receiver.roster.record_contact(
            instance=sender.instance,
            incarnation=sender.incarnation,
            leaving=sender.is_shutting_down,
        )
        if sender.ownership.view_hash == receiver.ownership.view_hash:
            receiver.ownership.record_contact(
                now=self.now, member=sender.roster.local_member
            )

    def _fetch_histories(self, daemon):
        """Get the missing histories of other members, and establish the view."""
        ownership_state = daemon.ownership
        is_new = daemon.started_at - self._created_at <= NEW_SERVICE_SECONDS
        for name in ownership_state.list_unanswered():
            other = self.find_member(name)
            if other is None or not self.can_reach(daemon, other):
                continue
            history = other.ownership.make_history(
                now=self.now, view_hash=ownership_state.view_hash
            )
            if history is None:
                continue
            daemon.ledger.merge(now=self.now, records=other.ledger.export(now=self.now))
            ownership_state.apply_history(
                now=self.now,
                wall=WALL_TIME_OFFSET + self.now,
                member=name,
                view_hash=ownership_state.view_hash,
                history=history,
                is_new_service=is_new,
            )
        ownership_state.establish_view(
            now=self.now, wall=WALL_TIME_OFFSET + self.now, is_new_service=is_new
        )

    # Callers and calls.

    def may_send(self, key):
        """Return whether callers may still send a key, by its repeat horizon."""
        sent_at = self.first_sent.get(key)
        return sent_at is None or self.now - sent_at <= HORIZON_SECONDS

    def send(self, key, dispatcher, *, timed):
        """Send a key to a daemon, which passes it to the key's witness.

        :param dispatcher: the daemon that the caller sends to.
        :param timed: whether the key carries the time when it was made.
        :returns: ``refused``, ``seen`` or ``started``.
        """
        if key not in self.first_sent:
            self.first_sent[key] = self.now
            self.made_at[key] = WALL_TIME_OFFSET + self.now if timed else None
        digest = rendezvous.digest(key)
        pair = dispatcher.ownership.choose_pair(digest)
        owner, witness = pair
        if owner is None:
            return "refused"
        if witness is None:
            return self._run(key, pair, dispatcher)
        other = self.find_member(witness)
        if other is not dispatcher and (
            other is None or not self.can_reach(dispatcher, other)
        ):
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
        """Run an attempt at its owner; the witness may not get the answer."""
        owner = self.find_member(attempt.owner)
        if owner is None or not owner.is_running:
            return
        self.attempts.remove(attempt)
        verdict = self._run(attempt.key, attempt.pair, owner)
        witness = attempt.witness
        if answer_is_lost or not self.can_reach(owner, witness):
            return
        ran = {"started": True, "refused": False, "seen": None}[verdict]
        if ran is False and self.runs[attempt.key]:
            raise AssertionError(f"{attempt.key} ran and was refused as not run")
        witness.ledger.finish(now=self.now, key=rendezvous.digest(attempt.key), ran=ran)

    def _begin(self, daemon, key, pair):
        """Start an attempt in a daemon's ledger; return the verdict."""
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
        """Run a key at a daemon unless it was seen or is refused."""
        verdict = self._begin(owner, key, pair)
        if verdict == "started":
            self.runs[key] += 1
            owner.ledger.finish(now=self.now, key=rendezvous.digest(key), ran=True)
        return verdict

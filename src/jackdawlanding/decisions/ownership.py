"""Decides which members may run a once-only key: an owner and a witness that agree.

The owner and the witness of a key are the first two members by rendezvous hashing.
A call runs only if both find the same pair for its key in their local views and
neither remembers the key. If one of them dies, the other still remembers the key.
A member whose view changes asks every other member of the new view for the keys
that it remembers. Each answers only once it holds the same view. Until all have
answered, the asking member acts only for keys whose pair did not change.

Keys whose owner and witness are both gone have no witness left. They are refused
for a repeat horizon, unless they carry a time after the loss.

A member acts only while its view is fresh: a recent list names it, or the other
members have answered it recently. A member that has been without such evidence for
so long that the others may have acted without it is stale. It asks all members
again; where all of them are stale too, every key is uncertain.
See docs/design/once-only.md.
"""

import hashlib
import typing

from jackdawlanding.decisions import rendezvous

CLOCK_SKEW_SECONDS = 2.0


class UncertainKeys(typing.NamedTuple):
    """A set of keys whose history is lost, and until when they are refused.

    A key belongs to the set if both members of its pair in one of ``views`` are
    among ``gone``; with no views, every key does. ``until`` is in seconds on the
    local clock. ``since`` is in wall-clock seconds: a key that was made later has
    not run elsewhere.
    """

    views: tuple
    gone: frozenset
    until: float
    since: float

    def covers(self, key):
        """Return whether the history of ``key`` (a digest) is lost."""
        if not self.views:
            return True
        return any(self._is_pair_gone(key, view) for view in self.views)

    def _is_pair_gone(self, key, view):
        pair = rendezvous.choose_pair(key, view)
        return all(member is None or member in self.gone for member in pair)


class History(typing.NamedTuple):
    """What a member answers to another one, besides the keys it remembers.

    ``pending`` holds the last established view and the views adopted since; it is
    empty if the member never established one. ``uncertain`` holds
    :class:`UncertainKeys`. ``has_kept_up`` says that the member is not stale: no other
    members can have acted without it.
    """

    pending: tuple = ()
    uncertain: tuple = ()
    has_kept_up: bool = False


class Ownership:
    """Decides whether the local member may run a key.

    :param local_member: the local member's name, which differs for each process.
    :param horizon: repeat horizon in seconds.
    :param fresh_seconds: how long the member may act after its last evidence.
    :param gone_seconds: how long other members wait before they act without it;
        more than ``fresh_seconds``.
    :param outage_seconds: how long members may act by contact alone, after the last
        list.
    """

    def __init__(
        self, *, local_member, horizon, fresh_seconds, gone_seconds, outage_seconds
    ):
        self.local_member = local_member
        self.horizon = horizon
        self.fresh_seconds = fresh_seconds
        self.gone_seconds = gone_seconds
        self.outage_seconds = outage_seconds
        self.view = frozenset()
        self.uncertain = ()
        self._pending_views = []
        self._has_history = False
        self._is_stale = False
        self._has_stopped = False
        self._evidence_after = float("-inf")
        self._answered = set()
        self._histories = []
        self._listed_at = float("-inf")
        self._contacts = {}

    @property
    def is_established(self):
        """Return whether all members of the view have answered."""
        return bool(self.view) and self._answered >= self.view

    @property
    def view_hash(self):
        """Return a digest of the view, for comparison with other members' views."""
        return hash_view(self.view)

    def adopt(self, *, members):
        """Set the current view; return whether it differs from the last one.

        :param members: names of the members, the local one included.
        """
        members = frozenset(members)
        if members == self.view:
            return False
        self.view = members
        self._pending_views.append(members)
        self._answered = {self.local_member}
        self._histories = []
        return True

    def list_unanswered(self):
        """Return the members that have not answered yet, in a fixed order."""
        return sorted(self.view - self._answered)

    def stop_acting(self):
        """Stop acting for good, because this process is shutting down."""
        self._has_stopped = True

    def make_history(self, *, now, view_hash):
        """Return the :class:`History` for a member that asks with ``view_hash``.

        It is ``None`` unless both members hold the same view.
        """
        if not self.view or view_hash != self.view_hash:
            return None
        self._expire(now)
        self.tick(now=now)
        return self._make_local_history()

    def apply_history(self, *, now, wall, member, view_hash, history, is_new_service):
        """Record the answer of a member, whose keys must have been merged before.

        :param wall: wall-clock seconds.
        :param member: the member's name.
        :param view_hash: digest of the view that the member was asked with.
        :param history: its :class:`History`.
        :param is_new_service: whether the service was first published within
            the horizon, so that it has no older keys.
        :returns: whether this established the view.
        """
        if view_hash != self.view_hash or member not in self.view:
            return False
        self._answered.add(member)
        self._histories.append(history)
        return self.establish_view(now=now, wall=wall, is_new_service=is_new_service)

    def establish_view(self, *, now, wall, is_new_service):
        """Establish the view if all its members have answered.

        :returns: whether this established it.
        """
        if not self.is_established:
            return False
        if (
            self._has_history
            and self._pending_views == [self.view]
            and not self._is_stale
        ):
            return False
        self._establish(now, wall, is_new_service)
        return True

    def record_list(self, *, now, is_listed):
        """Record a platform list that was read at ``now``, here or by a peer.

        :param is_listed: whether the list names the local instance.
        """
        if is_listed:
            self._listed_at = max(self._listed_at, now)

    def record_contact(self, *, now, member):
        """Record that a member answered with the same view."""
        self._contacts[member] = now

    def require_new_evidence(self, *, now):
        """Ignore all evidence up to ``now``, as is needed after a pause."""
        self._evidence_after = now
        self.tick(now=now)

    def tick(self, *, now):
        """Mark the local member as stale if it has not kept up.

        Must be called several times a second.
        """
        if (
            self._has_history
            and now - self._compute_evidence_time(now) > self.gone_seconds
        ):
            self._mark_stale()

    def is_fresh(self, *, now):
        """Return whether the view is fresh enough to act by."""
        evidence = self._compute_evidence_time(now)
        is_trusted = evidence > self._evidence_after
        return is_trusted and now - evidence <= self.fresh_seconds

    def _compute_evidence_time(self, now):
        """Return the time of the latest evidence that others count on this member.

        A list that names it is evidence. Contact with most members is evidence
        only for ``outage_seconds`` after such a list. Members that can't read the
        list can't tell an outage of the platform from a network partition, on the
        other side of which members may read a list without them. The latter wait
        for longer than ``outage_seconds`` before they act without it.
        """
        needed = len(self.view) // 2
        if not needed or now - self._listed_at > self.outage_seconds:
            return self._listed_at
        others = self.view - {self.local_member}
        times = sorted(
            (self._contacts.get(member, float("-inf")) for member in others),
            reverse=True,
        )
        return max(self._listed_at, times[needed - 1])

    def choose_pair(self, key):
        """Return the owner and the witness of a key's digest in the current view."""
        return rendezvous.choose_pair(key, self.view)

    def may_act(self, *, now, key, pair, made_at=None):
        """Return whether the local member may act for a key as part of a pair.

        :param key: the key's digest.
        :param pair: the owner and the witness in the view of the daemon that asks.
        :param made_at: wall-clock seconds that the key carries, if any.
        """
        if self.local_member not in pair or pair != self.choose_pair(key):
            return False
        self.tick(now=now)
        if self._has_stopped or not self.is_fresh(now=now):
            return False
        if not self._knows_history(key, pair):
            return False
        self._expire(now)
        return not any(
            uncertain.covers(key) and not _is_made_after(made_at, uncertain.since)
            for uncertain in self.uncertain
        )

    def _mark_stale(self):
        """Mark the local member as stale: others may have acted without it.

        The answers so far are discarded, so that all members are asked again.
        """
        if self._is_stale:
            return
        self._is_stale = True
        self._answered = {self.local_member}
        self._histories = []

    def _knows_history(self, key, pair):
        if not self._has_history:
            return False
        if self.is_established:
            return True
        if self._is_stale:
            return False
        return all(
            rendezvous.choose_pair(key, view) == pair for view in self._pending_views
        )

    def _establish(self, now, wall, is_new_service):
        histories = [*self._histories, self._make_local_history()]
        views = {view for history in histories for view in history.pending}
        inherited = {
            uncertain for history in self._histories for uncertain in history.uncertain
        }
        self.uncertain = tuple({*self.uncertain, *inherited})
        if any(history.has_kept_up for history in histories):
            self._record_losses(now, wall, views)
        elif views or not is_new_service:
            self._add_uncertain(now, wall, (), frozenset())
        self._has_history = True
        self._is_stale = False
        self._pending_views = [self.view]
        self._histories = []

    def _make_local_history(self):
        if not self._has_history:
            return History(uncertain=self.uncertain)
        return History(
            pending=tuple(self._pending_views),
            uncertain=self.uncertain,
            has_kept_up=not self._is_stale,
        )

    def _record_losses(self, now, wall, views):
        lost = tuple(
            sorted((view for view in views if _is_loss(view, self.view)), key=sorted)
        )
        if not lost:
            return
        gone = frozenset().union(*lost) - self.view
        self._add_uncertain(now, wall, lost, gone)

    def _add_uncertain(self, now, wall, views, gone):
        """Refuse the keys of lost pairs for a repeat horizon.

        If most members of a view are gone, they may still act by contact with
        each other. A key that carries its own time is safe only once they have
        stopped, hence the delay.
        """
        delay = 0.0
        if not views or any(len(view & gone) * 2 > len(view) for view in views):
            delay = self.outage_seconds + self.gone_seconds
        uncertain = UncertainKeys(
            views=views,
            gone=gone,
            until=now + delay + self.horizon,
            since=wall + delay,
        )
        self.uncertain = (*self.uncertain, uncertain)

    def _expire(self, now):
        if any(uncertain.until <= now for uncertain in self.uncertain):
            self.uncertain = tuple(
                uncertain for uncertain in self.uncertain if uncertain.until > now
            )


def _is_loss(view, following):
    """Return whether a pair of ``view`` may be wholly missing from ``following``."""
    return len(view - following) >= min(2, len(view))


def _is_made_after(made_at, since):
    return made_at is not None and made_at > since + CLOCK_SKEW_SECONDS


def hash_view(members):
    """Return a digest of a set of members."""
    state = hashlib.blake2b(digest_size=8)
    for member in sorted(members):
        state.update(member.encode())
        state.update(b"\n")
    return state.digest()

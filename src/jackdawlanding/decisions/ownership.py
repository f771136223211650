"""Who may run a once-only key: an owner and a witness that agree.

A key's pair is the first two members by rendezvous hash. A call runs only
when both the owner and the witness hold the same pair for it in their own
views, and neither remembers the key. When one of them dies the other still
remembers. A member whose view changes asks every other member of the new view
for the keys that it remembers, and each answers only once it holds that same
view; until all have answered it acts only for keys whose pair did not change.

Keys whose whole pair is gone have no witness left. They are refused for a
repeat horizon, unless they carry a time later than the loss.

A member acts only while its view is fresh: a recent list names it, or the
others have answered it lately. A member that has been without such evidence
for so long that others may have gone on without it is stale: it asks everybody
again, and where no other member kept up either, every key is uncertain.
See docs/design/once-only.md.
"""

import hashlib
import typing

from jackdawlanding.decisions import rendezvous

CLOCK_SKEW_SECONDS = 2.0


class UncertainKeys(typing.NamedTuple):
    """Keys whose history is lost until ``until``.

    A key is meant when its pair in one of ``views`` lies within ``gone``;
    with no views, every key is meant. ``since`` is wall-clock seconds: a key
    that was made later has not run elsewhere.
    """

    views: tuple
    gone: frozenset
    until: float
    since: float

    def covers(self, key):
        """Return whether the history of ``key`` (a digest) is lost."""
        if not self.views:
            return True
        return any(self._lies_within(key, view) for view in self.views)

    def _lies_within(self, key, view):
        pair = rendezvous.choose_pair(key, view)
        return all(one is None or one in self.gone for one in pair)


class History(typing.NamedTuple):
    """What a member tells an asker besides its keys.

    ``pending`` holds the views adopted since the last established one, that
    one first; it is empty for a member that was never established.
    ``has_kept_up`` says that no other members can have gone on without it.
    """

    pending: tuple = ()
    uncertain: tuple = ()
    has_kept_up: bool = False


class Ownership:
    """One member's part in deciding who may run a key.

    :param local_member: this member's name, new with each process.
    :param horizon: repeat horizon in seconds.
    :param fresh_seconds: how long evidence lets this member act.
    :param gone_seconds: how long others wait before they go on without it;
        more than ``fresh_seconds``.
    :param outage_seconds: how long members act by contact alone.
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
        self._pending = []
        self._has_history = False
        self._is_stale = False
        self._is_retired = False
        self._distrusted_before = float("-inf")
        self._answered = set()
        self._learned = []
        self._listed_at = float("-inf")
        self._contacts = {}

    @property
    def is_established(self):
        """Whether all members of the view have told what they remember."""
        return bool(self.view) and self._answered >= self.view

    @property
    def view_hash(self):
        """A digest of the view, to compare views by."""
        return hash_view(self.view)

    def adopt(self, *, members):
        """Put a new view in force; return whether it differs."""
        members = frozenset(members)
        if members == self.view:
            return False
        self.view = members
        self._pending.append(members)
        self._answered = {self.local_member}
        self._learned = []
        return True

    def list_unanswered(self):
        """Return the members that have yet to be asked, in a fixed order."""
        return sorted(self.view - self._answered)

    def stop_acting(self):
        """Stop acting for good: this process leaves."""
        self._is_retired = True

    def make_history(self, *, now, view_hash):
        """Return the :class:`History` for an asker, ``None`` on another view."""
        if not self.view or view_hash != self.view_hash:
            return None
        self._expire(now)
        self.tick(now=now)
        return self._tell_self()

    def apply_history(self, *, now, wall, member, view_hash, history, is_new_service):
        """Take in a member's history; its keys must be merged before.

        :param wall: wall-clock seconds.
        :param is_new_service: whether the service was first published within
            the horizon, so that it has no older keys.
        :returns: whether this established the view.
        """
        if view_hash != self.view_hash or member not in self.view:
            return False
        self._answered.add(member)
        self._learned.append(history)
        return self.establish_view(now=now, wall=wall, is_new_service=is_new_service)

    def establish_view(self, *, now, wall, is_new_service):
        """Establish the view if all members have answered; return whether it did."""
        if not self.is_established:
            return False
        if self._has_history and self._pending == [self.view] and not self._is_stale:
            return False
        self._establish(now, wall, is_new_service)
        return True

    def record_list(self, *, now, is_listed):
        """Record a list read at ``now``, by this daemon or one that told it."""
        if is_listed:
            self._listed_at = max(self._listed_at, now)

    def record_contact(self, *, now, member):
        """Record that a member answered with the same view."""
        self._contacts[member] = now

    def require_new_evidence(self, *, now):
        """Act only on evidence from after ``now``, as after a pause."""
        self._distrusted_before = now
        self.tick(now=now)

    def tick(self, *, now):
        """Notice that this member has not kept up; call it several times a second."""
        if self._has_history and now - self._find_evidence(now) > self.gone_seconds:
            self._mark_stale()

    def is_fresh(self, *, now):
        """Return whether the view is fresh enough to act by."""
        evidence = self._find_evidence(now)
        is_trusted = evidence > self._distrusted_before
        return is_trusted and now - evidence <= self.fresh_seconds

    def _find_evidence(self, now):
        """Return when this member last had evidence that others count on it.

        A list that names it is evidence. Contact with most members is evidence
        only for ``outage_seconds`` after that: members that can't read the
        list can't tell an outage from a cut, behind which others may read a
        list that leaves them out. Those wait for longer than that.
        """
        needed = len(self.view) // 2
        if not needed or now - self._listed_at > self.outage_seconds:
            return self._listed_at
        others = self.view - {self.local_member}
        times = sorted(
            (self._contacts.get(one, float("-inf")) for one in others), reverse=True
        )
        return max(self._listed_at, times[needed - 1])

    def choose_pair(self, key):
        """Return the owner and the witness of a key's digest in this view."""
        return rendezvous.choose_pair(key, self.view)

    def may_act(self, *, now, key, pair, made_at=None):
        """Return whether this member may act for a key in a given pair.

        :param pair: the owner and the witness that the caller's side holds.
        :param made_at: wall-clock seconds that the key carries, if any.
        """
        if self.local_member not in pair or pair != self.choose_pair(key):
            return False
        self.tick(now=now)
        if self._is_retired or not self.is_fresh(now=now):
            return False
        if not self._knows_history(key, pair):
            return False
        self._expire(now)
        return not any(
            one.covers(key) and not _is_later(made_at, one.since)
            for one in self.uncertain
        )

    def _mark_stale(self):
        """Ask all members again: they may have gone on without this one."""
        if self._is_stale:
            return
        self._is_stale = True
        self._answered = {self.local_member}
        self._learned = []

    def _knows_history(self, key, pair):
        if not self._has_history:
            return False
        if self.is_established:
            return True
        if self._is_stale:
            return False
        return all(rendezvous.choose_pair(key, view) == pair for view in self._pending)

    def _establish(self, now, wall, is_new_service):
        histories = [*self._learned, self._tell_self()]
        views = {view for history in histories for view in history.pending}
        inherited = {one for history in self._learned for one in history.uncertain}
        self.uncertain = tuple({*self.uncertain, *inherited})
        if any(history.has_kept_up for history in histories):
            self._note_losses(now, wall, views)
        elif views or not is_new_service:
            self._add_uncertain(now, wall, (), frozenset())
        self._has_history = True
        self._is_stale = False
        self._pending = [self.view]
        self._learned = []

    def _tell_self(self):
        if not self._has_history:
            return History(uncertain=self.uncertain)
        return History(
            pending=tuple(self._pending),
            uncertain=self.uncertain,
            has_kept_up=not self._is_stale,
        )

    def _note_losses(self, now, wall, views):
        lost = tuple(
            sorted((view for view in views if _is_loss(view, self.view)), key=sorted)
        )
        if not lost:
            return
        gone = frozenset().union(*lost) - self.view
        self._add_uncertain(now, wall, lost, gone)

    def _add_uncertain(self, now, wall, views, gone):
        """Refuse the keys of lost pairs for a horizon.

        Where those that are gone may be most of a view, they may still go on
        by contact with each other; a key that carries its own time is safe
        only once they have stopped.
        """
        delay = 0.0
        if not views or any(len(view & gone) * 2 > len(view) for view in views):
            delay = self.outage_seconds + self.gone_seconds
        one = UncertainKeys(
            views=views,
            gone=gone,
            until=now + delay + self.horizon,
            since=wall + delay,
        )
        self.uncertain = (*self.uncertain, one)

    def _expire(self, now):
        if any(one.until <= now for one in self.uncertain):
            self.uncertain = tuple(one for one in self.uncertain if one.until > now)


def _is_loss(view, following):
    """Return whether a whole pair of ``view`` may be missing after it."""
    return len(view - following) >= min(2, len(view))


def _is_later(made_at, since):
    return made_at is not None and made_at > since + CLOCK_SKEW_SECONDS


def hash_view(members):
    """Return a digest of a set of members."""
    state = hashlib.blake2b(digest_size=8)
    for member in sorted(members):
        state.update(member.encode())
        state.update(b"\n")
    return state.digest()

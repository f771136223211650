"""Which instances of a service are members, from a lagging list and contact.

An instance is a member while the list names it, or did until lately, and once
it has been in contact. The list alone makes nobody a member, and its silence
has to last before it removes one.
"""

import threading
import typing

GONE_SECONDS = 5.0
GONE_READS = 2
SETTLE_SECONDS = 1.0


class ListedInstance(typing.NamedTuple):
    """One entry of the platform's list of a service's instances.

    :param address: ``host:port`` of the daemon's peer side.
    :param leaving: whether the list says that the instance leaves.
    """

    instance: str
    address: str
    region: str
    failure_domain: str
    leaving: bool = False


class _Contact(typing.NamedTuple):
    incarnation: str
    leaving: bool


def make_member_name(instance, incarnation):
    """Return the name of one process of an instance."""
    return f"{instance}#{incarnation}"


class Roster:
    """The members of this daemon's own service.

    :param instance: this instance's name.
    :param incarnation: a text that no other process of it has.
    """

    def __init__(
        self,
        *,
        instance,
        incarnation,
        gone_seconds=GONE_SECONDS,
        settle_seconds=SETTLE_SECONDS,
    ):
        self.instance = instance
        self.local_member = make_member_name(instance, incarnation)
        self.gone_seconds = gone_seconds
        self.settle_seconds = settle_seconds
        self.is_shutting_down = False
        self._listed = {}
        self._formerly = {}
        self._seen_at = {}
        self._missed_reads = {}
        self._contacts = {}
        self._named_at = None
        self._has_joined = False
        self._lock = threading.RLock()

    @property
    def listed(self):
        """The entries of the latest list, by instance."""
        return dict(self._listed)

    @property
    def is_listed(self):
        """Whether the latest list names this instance."""
        return self.instance in self._listed

    @property
    def is_listed_leaving(self):
        """Whether the latest list says that this instance leaves."""
        return self._is_listed_leaving(self.instance)

    def record_list(self, *, now, entries):
        """Take in a list of :class:`ListedInstance` that was read at ``now``."""
        with self._lock:
            self._take_list(now, entries)

    def _take_list(self, now, entries):
        self._formerly.update(self._listed)
        self._listed = {one.instance: one for one in entries}
        for one in entries:
            self._seen_at[one.instance] = now
            self._missed_reads.pop(one.instance, None)
        if self.is_listed and self._named_at is None:
            self._named_at = now
        for instance, seen_at in list(self._seen_at.items()):
            if instance not in self._listed:
                self._record_missed(now, instance, seen_at)
        for instance in set(self._contacts) - set(self._seen_at):
            del self._contacts[instance]

    def record_contact(self, *, instance, incarnation, leaving=False):
        """Take in a message of an instance; return whether it changed anything."""
        with self._lock:
            return self._take_contact(instance, incarnation, leaving)

    def _take_contact(self, instance, incarnation, leaving):
        contact = _Contact(incarnation=incarnation, leaving=leaving)
        if instance == self.instance or self._contacts.get(instance) == contact:
            return False
        known = self._contacts.get(instance)
        # A process that leaves never comes back; only its successor does.
        if known and known.leaving and known.incarnation == incarnation:
            return False
        self._contacts[instance] = contact
        return True

    def find_address(self, member):
        """Return the peer address of a member, or ''."""
        instance = member.partition("#")[0]
        entry = self._listed.get(instance) or self._formerly.get(instance)
        return entry.address if entry else ""

    def is_contacted(self, instance):
        """Return whether an instance has been in contact."""
        return instance in self._contacts

    def is_known(self, instance):
        """Return whether an instance is listed, or was until lately."""
        return instance in self._seen_at

    def list_members(self, *, now):
        """Return the members' names; nothing until this one may join."""
        with self._lock:
            return self._find_members(now)

    def _find_members(self, now):
        if self.is_shutting_down or not self._may_join(now):
            return frozenset()
        self._has_joined = True
        members = {self.local_member}
        for instance in self._seen_at:
            contact = self._contacts.get(instance)
            if (
                contact
                and not contact.leaving
                and not self._is_listed_leaving(instance)
            ):
                members.add(make_member_name(instance, contact.incarnation))
        return frozenset(members)

    def _record_missed(self, now, instance, seen_at):
        missed = self._missed_reads.get(instance, 0) + 1
        self._missed_reads[instance] = missed
        if now - seen_at > self.gone_seconds and missed >= GONE_READS:
            del self._seen_at[instance]
            self._formerly.pop(instance, None)
            del self._missed_reads[instance]

    def _is_listed_leaving(self, instance):
        entry = self._listed.get(instance)
        return bool(entry and entry.leaving)

    def _may_join(self, now):
        """A first view must hold every instance that the list names."""
        if self._has_joined:
            return True
        if self._named_at is None or now - self._named_at < self.settle_seconds:
            return False
        others = set(self._seen_at) - {self.instance}
        return all(
            one in self._contacts or self._is_listed_leaving(one) for one in others
        )

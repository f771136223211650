"""Membership of a service's instances, from the platform's list and from contact.

An instance is a member while the platform's list names it, or did until recently,
and once it has been in contact. The list lags, so a listing alone makes no instance
a member, and an instance is removed only after it is missing for a while.
"""

import threading
import typing

GONE_SECONDS = 5.0
GONE_READS = 2
SETTLE_SECONDS = 1.0


class ListedInstance(typing.NamedTuple):
    """One entry of the platform's list of a service's instances.

    :param address: ``host:port`` where the instance's daemon serves its peers.
    :param leaving: whether the list says that the instance is shutting down.
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
    """The members of the service that the local daemon belongs to.

    :param instance: name of the local instance.
    :param incarnation: text that differs for each process of the instance.
    :param gone_seconds: how long an instance must be missing from the list before
        it is removed.
    :param settle_seconds: how long the list must name the local instance before it
        joins.
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
        self._formerly_listed = {}
        self._seen_at = {}
        self._missed_reads = {}
        self._contacts = {}
        self._first_listed_at = None
        self._has_joined = False
        self._lock = threading.RLock()

    @property
    def listed(self):
        """Return the entries of the latest list, by instance."""
        return dict(self._listed)

    @property
    def is_listed(self):
        """Return whether the latest list names the local instance."""
        return self.instance in self._listed

    @property
    def is_listed_leaving(self):
        """Return whether the latest list says that the local instance leaves."""
        return self._is_listed_leaving(self.instance)

    def record_list(self, *, now, entries):
        """Record a list of :class:`ListedInstance` that was read at ``now``."""
        with self._lock:
            self._apply_list(now, entries)

    def _apply_list(self, now, entries):
        self._formerly_listed.update(self._listed)
        self._listed = {entry.instance: entry for entry in entries}
        for entry in entries:
            self._seen_at[entry.instance] = now
            self._missed_reads.pop(entry.instance, None)
        if self.is_listed and self._first_listed_at is None:
            self._first_listed_at = now
        for instance, seen_at in list(self._seen_at.items()):
            if instance not in self._listed:
                self._record_missed(now, instance, seen_at)
        for instance in set(self._contacts) - set(self._seen_at):
            del self._contacts[instance]

    def record_contact(self, *, instance, incarnation, leaving=False):
        """Record a message from an instance; return whether it changed anything.

        :param leaving: whether the instance says that it is shutting down.
        """
        with self._lock:
            return self._apply_contact(instance, incarnation, leaving)

    def _apply_contact(self, instance, incarnation, leaving):
        contact = _Contact(incarnation=incarnation, leaving=leaving)
        if instance == self.instance or self._contacts.get(instance) == contact:
            return False
        known = self._contacts.get(instance)
        # A process that is shutting down never comes back; only another one does.
        if known and known.leaving and known.incarnation == incarnation:
            return False
        self._contacts[instance] = contact
        return True

    def find_address(self, member):
        """Return the peer address of a member, or ''."""
        instance = member.partition("#")[0]
        entry = self._listed.get(instance) or self._formerly_listed.get(instance)
        return entry.address if entry else ""

    def is_contacted(self, instance):
        """Return whether an instance has been in contact."""
        return instance in self._contacts

    def is_known(self, instance):
        """Return whether an instance is listed, or was until recently."""
        return instance in self._seen_at

    def list_members(self, *, now):
        """Return the members' names; none until the local instance may join."""
        with self._lock:
            return self._compute_members(now)

    def _compute_members(self, now):
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
            self._formerly_listed.pop(instance, None)
            del self._missed_reads[instance]

    def _is_listed_leaving(self, instance):
        entry = self._listed.get(instance)
        return bool(entry and entry.leaving)

    def _may_join(self, now):
        """Return whether the first view may be formed.

        It must hold every instance that the list names and that isn't leaving.
        """
        if self._has_joined:
            return True
        if (
            self._first_listed_at is None
            or now - self._first_listed_at < self.settle_seconds
        ):
            return False
        others = set(self._seen_at) - {self.instance}
        return all(
            other in self._contacts or self._is_listed_leaving(other)
            for other in others
        )

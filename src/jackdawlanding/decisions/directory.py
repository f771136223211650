"""Directory of backend servers: the newest known record of each instance.

Each record carries the revision of the store that it came from, so that records
may arrive from the store or from other daemons, in any order and more than once.
"""

import bisect
import typing

from jackdawlanding.decisions import occupants, readers, revisions

# How long removals are remembered: the longest that a daemon may lag behind the
# store.
REMOVAL_SECONDS = 120.0
# A record that expired while the store was unreachable is registered again within
# this time after the store's return, unless its backend server is gone.
REGISTRATION_SECONDS = 1.8
# Longer than three heartbeats, after which an entry expires that isn't written anew.
LEASE_SECONDS = 6.0
# The store was unreachable if no daemon has reached it for this long: records expire
# after three missed heartbeats, and other readers take over sooner than this.
OUTAGE_SECONDS = 3.0


class Backend(typing.NamedTuple):
    """One backend server as it registered itself.

    ``host`` and ``port`` are its address and ``slots`` is how many requests it
    runs at once. ``warm_seconds`` is how much of its warm-up remained when it sent
    the record; ``born`` is when it started, in Unix milliseconds, 0 if unknown.
    """

    instance: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool
    warm_seconds: float = 0.0
    born: int = 0


class Record(typing.NamedTuple):
    """The newest known state of an instance.

    ``backend`` is ``None`` once the instance is removed, and ``former`` what it was
    before that. ``stored_at`` is when the record was put, in seconds on the local
    clock.
    """

    revision: int
    backend: Backend | None
    stored_at: float
    former: Backend | None = None


class HeldChange(typing.NamedTuple):
    """A change that the store may take back: it counts from ``due`` on.

    ``since`` is the lowest revision at which it may have come about.
    """

    revision: int
    backend: Backend | None
    since: int
    due: float


class Directory:
    """Backend servers by instance, merged by revision.

    ``complete_revision`` is the store's revision up to which no record is missing;
    ``confirmed_at`` is when the store last confirmed it, in seconds on the local
    clock. Removals before the revision ``history_from`` may be unknown.
    """

    def __init__(self):
        self.complete_revision = 0
        self.history_from = 0
        self.confirmed_at = float("-inf")
        # The hosts of all backends; those of known services are preferred.
        self.hosts = readers.ReaderOrder()
        # The services that a configuration names, ``None`` without one.
        self._services = None
        self._records = {}
        # Pairs of a revision and its instance, ascending.
        self._revisions = []
        # When each removed instance was removed, oldest first.
        self._removed = {}
        self._instances_by_host = {}
        # The instances that are offered only where no other may be tried.
        self.doubted = set()
        self._occupants = occupants.Occupants()
        # The ``occupants.Choice`` of each address.
        self._choices = {}
        # The addresses that several records of known services name.
        self._contested = set()
        self._by_service = {}
        # The ``HeldChange`` of each instance that has one.
        self._held_changes = {}
        # Until when removals are held, and the latest era of the store.
        self._hold_until = float("-inf")
        self._era = 0

    @property
    def shareable_revision(self):
        """Return the revision that other daemons may treat as complete.

        It stays below held changes, since these are not sent to peers.
        """
        befores = [held.since - 1 for held in self._held_changes.values()]
        return min([self.complete_revision, *befores])

    @property
    def shareable_confirmed_at(self):
        """Return when the store confirmed ``shareable_revision``."""
        if not self._held_changes:
            return self.confirmed_at
        return min(self.confirmed_at, self._hold_until - REGISTRATION_SECONDS)

    @property
    def daemon_count(self):
        """The number of hosts that run a daemon, as far as is known."""
        return self.hosts.preferred_count or len(self.hosts)

    def __len__(self):
        return len(self._records) - len(self._removed)

    def __contains__(self, instance):
        return self.get(instance) is not None

    def get(self, instance):
        """Return the backend of an instance, or ``None``."""
        record = self._records.get(instance)
        return record.backend if record else None

    def get_revision(self, instance):
        """Return the revision of an instance's record, 0 if unknown."""
        record = self._records.get(instance)
        return record.revision if record else 0

    @property
    def held_changes(self):
        """Return the held changes, by their instances."""
        return self._held_changes

    def list_instances(self):
        """Return the names of all instances that have a backend."""
        return [name for name, record in self._records.items() if record.backend]

    def list_service(self, service):
        """Return the backends of a service, draining ones included."""
        return self._by_service.get(service, ())

    def list_at_address(self, address, *, service):
        """Return the records of a service's backends at an address, newest first.

        Disproved ones are left out. The configuration in force need not name the
        service.

        :param address: a pair of host and port.
        """
        records = [
            record
            for record in self._list_at_address(address)
            if record.backend.service == service
            and not self._occupants.is_disproved(record)
        ]
        return sorted(records, key=occupants.get_age_key, reverse=True)

    def get_occupant(self, address):
        """Return the instance that answered last at an address, ``""`` if unknown.

        :param address: a pair of host and port.
        """
        return self._occupants.names.get(address, "")

    def confirm_occupant(self, *, instance):
        """Record that an instance answered at its address.

        :returns: whether another one, or none, had answered there before.
        """
        backend = self.get(instance)
        if backend is None:
            return False
        address = _get_address(backend)
        if self.get_occupant(address) == instance:
            return False
        self._occupants.names[address] = instance
        if address in self._contested:
            self._choose_records(address)
        return True

    def is_disproved(self, instance):
        """Return whether the record of an instance is disproved."""
        record = self._records.get(instance)
        return bool(record and record.backend) and self._occupants.is_disproved(record)

    def forget_occupant(self, address):
        """Forget who answered at an address: its backend server may have ended."""
        if self._occupants.names.pop(address, None) and address in self._contested:
            self._choose_records(address)

    def disprove(self, *, now, instance):
        """Record that an instance doesn't run at the address of its record.

        :returns: whether that is new.
        """
        record = self._records.get(instance)
        if record is None or record.backend is None:
            return False
        address = _get_address(record.backend)
        is_new = self._occupants.disprove(now=now, record=record)
        if self.get_occupant(address) == instance:
            self._occupants.names.pop(address, None)
        if is_new:
            self._choose_records(address)
        return is_new

    def expire_disproofs(self, *, now):
        """Let records count again that were disproved a while ago."""
        for instance in self._occupants.expire(now=now):
            backend = self.get(instance)
            if backend is not None:
                self._choose_records(_get_address(backend))

    @property
    def contested_count(self):
        """The number of addresses that records of several instances name."""
        return len(self._contested)

    def is_contested(self, address):
        """Return whether records of several instances name an address."""
        return address in self._contested

    def list_at_host(self, host):
        """Return the names of the instances at a host."""
        return list(self._instances_by_host.get(host, ()))

    def set_services(self, services):
        """Set the services that the configuration in force names.

        An entry of another service may come from another writer: it names no backend
        server until a configuration names its service, and its host may have no daemon.
        """
        if services == self._services:
            return
        self._services = services
        for host in self._instances_by_host:
            self._place_host(host)
        for address in {
            _get_address(record.backend)
            for record in self._records.values()
            if record.backend
        }:
            self._choose_records(address)

    def put(self, *, now, instance, revision, backend):
        """Store a record unless a newer one is stored.

        After an outage or a restore of the store, what it may take back is held: it is
        not stored until :meth:`apply_held_changes`.

        :returns: whether the backend changed, other than in ``warm_seconds``.
        """
        return self._put(now, instance, revision, backend, since=revision)

    def _put(self, now, instance, revision, backend, *, since):
        known = self._records.get(instance)
        if known and known.revision >= revision:
            return False
        if known is None and self._is_of_lost_era(revision):
            return False
        held = self._held_changes.get(instance)
        if held and held.revision >= revision:
            return False
        self._enter_era(now, revision)
        if held:
            since = min(since, held.since)
        change = HeldChange(revision=revision, backend=backend, since=since, due=now)
        if known:
            change = change._replace(due=self._compute_due(now, known, held, change))
        if change.due > now:
            self._held_changes[instance] = change
            return False
        self._held_changes.pop(instance, None)
        return self._replace_record(now, instance, change)

    def _is_of_lost_era(self, revision):
        """Return whether a revision is from before the restore of a listed store."""
        era = revisions.get_era(self.complete_revision)
        return revisions.get_era(revision) < era

    def _enter_era(self, now, revision):
        """Hold removals if the store was restored: entries are registered again."""
        era = revisions.get_era(revision)
        if era > self._era:
            self._era = era
            if self._records:
                self._hold_until = now + REGISTRATION_SECONDS

    def _compute_due(self, now, known, held, change):
        """Return when a change of a known record counts.

        A copy may have an entry as it was before what is known. Such an entry expires,
        or is written anew; then its instance changes twice in the era.
        """
        if change.backend is None:
            return self._hold_until if known.backend else now
        era = revisions.get_era(change.revision)
        is_first = revisions.get_era((held or known).revision) < era
        if is_first and _goes_back(known, change.backend):
            return now + LEASE_SECONDS
        return now

    def _replace_record(self, now, instance, change):
        known = self._records.get(instance)
        before = known.backend if known else None
        former = None
        if change.backend is None and known:
            former = known.backend or known.former
        record = Record(
            revision=change.revision,
            backend=change.backend,
            stored_at=now,
            former=former,
        )
        self._store(instance, known, record)
        return _clear_warmth(before) != _clear_warmth(change.backend)

    def remove_unlisted(self, *, now, names, revision):
        """Remove the instances that a full listing at ``revision`` does not name.

        :returns: the names of the instances removed; held removals don't count.
        """
        missing = [
            name
            for name, record in self._records.items()
            if name not in names
            and (record.backend or name in self._held_changes)
            and record.revision <= revision
        ]
        self.history_from = max(self.history_from, revision)
        # It may be any change after what was known completely.
        since = min(revision, self.complete_revision + 1)
        return [
            name
            for name in missing
            if self._put(now, name, revision, None, since=since)
        ]

    def record_store_contact(self, *, now):
        """Record that the store was reached, before its records are put.

        After an outage of the store, removals are held for a while: records expire
        during an outage although their backend servers still run.

        :returns: the seconds of the outage, 0 if there was none or removals are held
            already.
        """
        seconds = now - self.confirmed_at
        if not OUTAGE_SECONDS < seconds < float("inf"):
            return 0.0
        was_holding = now < self._hold_until
        self._hold_until = now + REGISTRATION_SECONDS
        return 0.0 if was_holding else seconds

    def apply_held_changes(self, *, now):
        """Apply held changes that are due, and forget old removals.

        :returns: the names of the instances whose held change was applied.
        """
        due = []
        if now >= self._hold_until:
            due = [name for name, held in self._held_changes.items() if now >= held.due]
        for name in due:
            self._replace_record(now, name, self._held_changes.pop(name))
        self._forget_removals(now)
        return due

    def confirm(self, *, revision, at):
        """Record that the store confirmed ``revision`` at local time ``at``.

        What a store confirmed before it was restored no longer holds.
        """
        if self._is_of_lost_era(revision):
            return
        self.complete_revision = max(self.complete_revision, revision)
        self.confirmed_at = max(self.confirmed_at, at)

    def list_since(self, revision):
        """Return ``(instance, record)`` pairs newer than ``revision``.

        Removals are complete only if ``revision`` is at least ``history_from``.
        """
        start = bisect.bisect_left(self._revisions, (revision + 1,))
        return [(name, self._records[name]) for _, name in self._revisions[start:]]

    def _store(self, instance, known, record):
        """Replace the record of an instance, and update all that is derived from it."""
        if known is not None:
            self._remove_revision(instance, known)
        bisect.insort(self._revisions, (record.revision, instance))
        self._records[instance] = record
        self._removed.pop(instance, None)
        if record.backend is None:
            self._removed[instance] = record.stored_at
        before = known.backend if known else None
        if _get_host(before) != _get_host(record.backend):
            self._remove_from_host(instance, before)
            self._add_to_host(instance, record.backend)
        for host in {_get_host(before), _get_host(record.backend)} - {None}:
            self._place_host(host)
        for address in {
            _get_address(backend) for backend in (before, record.backend) if backend
        }:
            self._choose_records(address)

    def _remove_revision(self, instance, record):
        entry = (record.revision, instance)
        del self._revisions[bisect.bisect_left(self._revisions, entry)]

    def _forget_removals(self, now):
        """Forget the records of instances that were removed long ago."""
        while self._removed:
            name, removed_at = next(iter(self._removed.items()))
            if now - removed_at <= REMOVAL_SECONDS:
                return
            del self._removed[name]
            record = self._records.pop(name)
            self._remove_revision(name, record)
            self.history_from = max(self.history_from, record.revision)

    def _add_to_host(self, instance, backend):
        if backend is None:
            return
        instances = self._instances_by_host.get(backend.host, ())
        self._instances_by_host[backend.host] = (*instances, instance)

    def _remove_from_host(self, instance, backend):
        if backend is None:
            return
        instances = list(self._instances_by_host.pop(backend.host))
        instances.remove(instance)
        if instances:
            self._instances_by_host[backend.host] = tuple(instances)

    def _place_host(self, host):
        """Put a host at its place in the order, or remove it."""
        instances = self._instances_by_host.get(host)
        if instances:
            self.hosts.add(host, is_preferred=any(map(self._is_known, instances)))
        elif host in self.hosts:
            self.hosts.remove(host)

    def _is_known(self, instance):
        """Return whether an instance is of a service that a configuration names."""
        service = self._records[instance].backend.service
        return self._services is None or service in self._services

    def _list_at_address(self, address):
        """Return the records of all backends at an address."""
        return [
            record
            for record in map(
                self._records.get, self._instances_by_host.get(address[0], ())
            )
            if _get_address(record.backend) == address
        ]

    def _choose_records(self, address):
        """Put the records of an address in use that its services go by.

        An address may be in use again while its former user's record remains, and
        another writer may name the address of a live backend server.
        """
        before = self._choices.pop(address, occupants.Choice())
        records = [
            record
            for record in self._list_at_address(address)
            if self._is_known(record.backend.instance)
        ]
        after = occupants.Choice()
        if records:
            after = self._occupants.choose(address, records)
            self._choices[address] = after
        else:
            self._occupants.names.pop(address, None)
        (self._contested.add if len(records) > 1 else self._contested.discard)(address)
        self.doubted -= before.doubted
        self.doubted |= after.doubted
        self._replace_offered(
            [record.backend for record in before.records],
            [record.backend for record in after.records],
        )

    def _replace_offered(self, before, after):
        """Replace the backends of an address in the lists of their services."""
        for backend in before:
            if backend not in after:
                rest = list(self._by_service[backend.service])
                rest.remove(backend)
                self._by_service[backend.service] = tuple(rest)
        for backend in after:
            if backend not in before:
                others = self._by_service.get(backend.service, ())
                self._by_service[backend.service] = (*others, backend)


def _goes_back(known, backend):
    """Return whether an entry is from before what a record says of its instance.

    A backend server that drains, or that was removed, doesn't get ready again.
    """
    last = known.backend or known.former
    if last is None or backend.born == last.born:
        return known.backend is None or (last.is_draining and not backend.is_draining)
    return backend.born < last.born


def _get_host(backend):
    return backend and backend.host


def _get_address(backend):
    return backend.host, backend.port


def _clear_warmth(backend):
    return backend and backend._replace(warm_seconds=0.0)

"""What is known of the backend servers: the newest record of each wins.

Records carry the revision of the store that they came from, so that they may
arrive from the store or from other daemons, in any order and more than once.
"""

import typing

# Removals are remembered for as long as a daemon may lag behind the store.
REMOVAL_SECONDS = 120.0
# An entry that lapsed while the store was away is back this long after its
# return, or its backend server is gone.
LAPSE_SECONDS = 1.8
# When nobody has reached the store for so long, it was away: entries lapse after
# three heartbeats of silence, and other readers take over sooner than this.
OUTAGE_SECONDS = 3.0


class Backend(typing.NamedTuple):
    """One backend server as it registered itself.

    ``host`` and ``port`` are its address, ``slots`` how many requests it runs
    at once, ``warm_seconds`` how long it was still slow when it said so, and
    ``born`` when it started, in Unix milliseconds.
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
    """The newest known state of an instance; ``backend`` is ``None`` when gone."""

    revision: int
    backend: Backend | None
    since: float


class Directory:
    """Backend servers by instance, merged by revision.

    ``complete_revision`` is the store's revision up to which nothing is missing;
    ``confirmed_at`` is when, on the local clock, the store vouched for it. What
    was removed before ``history_from`` may be unknown here.
    """

    def __init__(self):
        self.complete_revision = 0
        self.history_from = 0
        self.confirmed_at = float("-inf")
        self._records = {}
        # Made from the records when asked for after a change.
        self._newest = None
        self._by_service = {}
        self._lapsed = {}
        self._away_until = float("-inf")

    @property
    def shareable_revision(self):
        """The revision up to which others may be told that nothing is missing.

        A removal that is held is not told yet.
        """
        held = self._lapsed.values()
        return (
            min(self.complete_revision, min(held) - 1)
            if held
            else self.complete_revision
        )

    @property
    def shareable_confirmed_at(self):
        """When the store vouched for ``shareable_revision``."""
        if not self._lapsed:
            return self.confirmed_at
        return min(self.confirmed_at, self._away_until - LAPSE_SECONDS)

    def __len__(self):
        return sum(1 for one in self._records.values() if one.backend)

    def get(self, instance):
        """Return the backend of an instance, or ``None``."""
        record = self._records.get(instance)
        return record.backend if record else None

    def get_revision(self, instance):
        """Return the revision of an instance's record, 0 if unknown."""
        record = self._records.get(instance)
        return record.revision if record else 0

    def list_instances(self):
        """Return the names of all instances that have a backend."""
        return [name for name, one in self._records.items() if one.backend]

    def list_service(self, service):
        """Return the backends of a service, those that drain included."""
        self._index()
        return self._by_service.get(service, ())

    def find_by_address(self, host, port):
        """Return the newest backend at an address, or ``None``."""
        self._index()
        record = self._newest.get((host, port))
        return record.backend if record else None

    def list_hosts(self):
        """Return the host of each backend with its failure domain, by host."""
        return {
            one.backend.host: one.backend.failure_domain
            for one in self._records.values()
            if one.backend
        }

    def put(self, *, now, instance, revision, backend):
        """Take in a record; return whether the backend or its state changed."""
        known = self._records.get(instance)
        if known and known.revision >= revision:
            return False
        if backend is None and known and known.backend and now < self._away_until:
            self._lapsed[instance] = revision
            return False
        self._lapsed.pop(instance, None)
        self._records[instance] = Record(revision=revision, backend=backend, since=now)
        before = known.backend if known else None
        if before == backend:
            return False
        self._newest = None
        return _forget_warmth(before) != _forget_warmth(backend)

    def remove_unlisted(self, *, now, names, revision):
        """Remove what a whole listing at ``revision`` does not name.

        Return the instances that are gone.
        """
        missing = [
            name
            for name, one in self._records.items()
            if one.backend and name not in names and one.revision <= revision
        ]
        self.history_from = max(self.history_from, revision)
        return [
            name
            for name in missing
            if self.put(now=now, instance=name, revision=revision, backend=None)
        ]

    def record_store_contact(self, *, now):
        """Note that the store was reached, before what it says is put in.

        After an outage removals are held for a while: entries lapse in one.
        """
        if OUTAGE_SECONDS < now - self.confirmed_at < float("inf"):
            self._away_until = now + LAPSE_SECONDS

    def apply_held_removals(self, *, now):
        """Apply removals that were held; forget old ones. Return those applied."""
        applied = []
        if now >= self._away_until:
            held, self._lapsed = self._lapsed, {}
            for instance, revision in held.items():
                self.put(now=now, instance=instance, revision=revision, backend=None)
                applied.append(instance)
        for name, one in list(self._records.items()):
            if one.backend is None and now - one.since > REMOVAL_SECONDS:
                del self._records[name]
        return applied

    def confirm(self, *, revision, at):
        """Note that the store vouched for ``revision`` at local time ``at``."""
        self.complete_revision = max(self.complete_revision, revision)
        self.confirmed_at = max(self.confirmed_at, at)

    def list_since(self, revision):
        """Return ``(instance, record)`` pairs newer than ``revision``.

        Nothing is missing only from ``history_from`` on.
        """
        return [
            (name, one)
            for name, one in self._records.items()
            if one.revision > revision
        ]

    def _index(self):
        """Sort the newest backend of each address by service.

        An address is used again while the entry of its former user lingers.
        """
        if self._newest is not None:
            return
        self._newest = {}
        for record in self._records.values():
            if record.backend:
                self._keep_newer(record)
        services = {}
        for record in self._newest.values():
            services.setdefault(record.backend.service, []).append(record.backend)
        self._by_service = {name: tuple(some) for name, some in services.items()}

    def _keep_newer(self, record):
        address = record.backend.host, record.backend.port
        other = self._newest.get(address)
        if other is None or _get_age_key(record) > _get_age_key(other):
            self._newest[address] = record


def _get_age_key(record):
    return record.backend.born, record.revision


def _forget_warmth(backend):
    return backend and backend._replace(warm_seconds=0.0)

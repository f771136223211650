"""The state of the fleet, and the gossip protocol that replicates it.

A few daemons read the store. Each of them broadcasts what it read, or that
nothing changed, along a tree of all daemons. A daemon pushes any other change to
a few random peers at once. Once a second each daemon also sends a digest of its
state to one random peer, which answers with what the sender lacks.
"""

import logging
import math
import random
import time
import zlib

from jackdawlanding.decisions import (
    directory,
    quarantine,
    revisions,
    routes,
    trees,
    validation,
    versions,
)
from jackdawlanding.mesh import messages

logger = logging.getLogger("jackdaw.gossip")

DIGEST_INTERVAL_SECONDS = 1.0
FANOUT = 3
NO_TREE = -1
MAXIMUM_AGE_SECONDS = 1e6
SUSPECT_RETENTION_SECONDS = 120.0
MAXIMUM_SUSPECTS = 64
CONFIGURATION = "configuration"


class FleetState:
    """Holds the backend servers, the configuration in force and the suspects.

    :param decode: decodes the operator's document into a ``routes.Configuration``;
        raises ``ValueError``.
    :param log: a ``logs.Log``.
    :param origin: identifies the crashes that this daemon counted.
    """

    def __init__(self, *, decode, log, origin=""):
        self._origin = origin
        self.directory = directory.Directory()
        self.quarantine = quarantine.Quarantine(
            retention_seconds=SUSPECT_RETENTION_SECONDS
        )
        self.route_table = None
        self._decode = decode
        self._log = log
        self._publications = versions.ActivePublications(decode=self._try_decode)
        self._subscribers = []
        # Whether the store listed what it can list, though not all.
        self.is_partly_listed = False

    @property
    def configuration_version(self):
        """The version of the configuration in force, 0 if there is none."""
        return self._publications.get_version(CONFIGURATION)

    @property
    def document(self):
        """The configuration in force as the operator wrote it, ``b""`` if none."""
        active = self._publications.get(CONFIGURATION)
        return active.data if active else b""

    @property
    def is_ready(self):
        """Whether a configuration and the backend servers are known."""
        is_listed = self.directory.complete_revision > 0 or self.is_partly_listed
        return self.route_table is not None and is_listed

    def get_age(self, now):
        """Return the seconds since the store confirmed this state."""
        return now - self.directory.confirmed_at

    def get_shareable_age(self, now):
        """Return the seconds since the store confirmed what peers may receive."""
        return min(MAXIMUM_AGE_SECONDS, now - self.directory.shareable_confirmed_at)

    def subscribe(self, subscriber):
        """Call ``subscriber(topic)`` on each change.

        Topics are ``"configuration"``, ``"directory"`` and ``"suspects"``.
        """
        self._subscribers.append(subscriber)

    def apply_configuration(self, data, *, source):
        """Adopt a document if its version is higher; return whether it was adopted."""
        result, reason = self._publications.apply(service=CONFIGURATION, data=data)
        if result is versions.ApplyResult.REFUSED:
            self._log.note("config", "A configuration was refused.", reason=reason)
        if result is not versions.ApplyResult.ADOPTED:
            return False
        active = self._publications.get(CONFIGURATION)
        self.route_table = routes.RouteTable(configuration=active.publication)
        self.directory.set_services(active.publication.list_services())
        self._log.note(
            "config",
            "A configuration is in force.",
            version=active.version,
            source=source,
        )
        for warning in active.publication.warnings:
            self._log.note("config", "A part is not understood.", reason=warning)
        self._notify("configuration")
        return True

    def record_store_contact(self, *, now, source):
        """Record that the store was reached, by this daemon or by a peer."""
        seconds = self.directory.record_store_contact(now=now)
        if seconds:
            self._log.note(
                "directory",
                "Nothing was confirmed for long; removals are held.",
                seconds=round(seconds, 3),
                source=source,
            )

    def put(self, *, instance, revision, backend, source):
        """Store one record of the directory; return whether it changed anything."""
        was_held = instance in self.directory.held_changes
        contested_count = self.directory.contested_count
        changed = self.directory.put(
            now=time.monotonic(), instance=instance, revision=revision, backend=backend
        )
        if not was_held:
            self._note_held({instance}, source)
        if self.directory.contested_count > contested_count:
            self._log.note(
                "directory",
                "Several records name one address.",
                instance=instance,
                address=f"{backend.host}:{backend.port}",
                service=backend.service,
                source=source,
            )
        if changed:
            self._log.note(
                "directory",
                "A backend server changed.",
                instance=instance,
                era=revisions.get_era(revision),
                revision=revisions.get_number(revision),
                state=_describe(backend),
                source=source,
            )
            self._notify("directory")
        return changed

    def remove_unlisted(self, *, names, revision, source):
        """Remove the instances that a complete listing does not name."""
        held_before = set(self.directory.held_changes)
        removed = self.directory.remove_unlisted(
            now=time.monotonic(), names=names, revision=revision
        )
        self._note_held(self.directory.held_changes.keys() - held_before, source)
        for instance in removed:
            self._log.note(
                "directory",
                "A backend server is no longer listed.",
                instance=instance,
                source=source,
            )
            self._notify("directory")

    def apply_held_changes(self):
        """Apply changes that were held after an outage or a restore of the store."""
        for instance in self.directory.apply_held_changes(now=time.monotonic()):
            self._log.note(
                "directory",
                "A held change is applied.",
                instance=instance,
                state=_describe(self.directory.get(instance)),
            )
            self._notify("directory")

    def get_health_path(self, service):
        """Return the target of a service's health checks, ``""`` if unknown."""
        if self.route_table is None:
            return ""
        known = self.route_table.configuration.services.get(service)
        return known.health_path if known else ""

    def disprove(self, instance, *, source):
        """Record that an instance doesn't run at its address; return whether it is new.

        :param source: who found out: the daemon beside it, or one that called it.
        """
        if not self.directory.disprove(now=time.monotonic(), instance=instance):
            return False
        backend = self.directory.get(instance)
        self._log.note(
            "directory",
            "A record is disproved: another backend server runs at its address.",
            instance=instance,
            address=f"{backend.host}:{backend.port}",
            service=backend.service,
            source=source,
        )
        return True

    def record_crash(self, fingerprint):
        """Attribute a crash to a request; return the number of its crashes."""
        crashes = self.quarantine.record_crash(
            now=time.monotonic(), fingerprint=fingerprint, origin=self._origin
        )
        self._notify("suspects")
        return crashes

    def count_crashes(self):
        """Return the number of known crashes of all suspects."""
        active = self.quarantine.export(now=time.monotonic())
        return sum(crashes for _, crashes, _ in active)

    def compute_suspects_checksum(self):
        """Return a checksum of the suspects, 0 if there are none."""
        total = 0
        for fingerprint, origin, crashes, _ in self.quarantine.export_by_origin(
            now=time.monotonic()
        ):
            total ^= zlib.crc32(fingerprint + f"{origin} {crashes}".encode())
        return total

    def merge_suspects(self, suspects):
        """Merge the suspects of a peer; return whether anything was new."""
        now = time.monotonic()
        is_new = [
            self.quarantine.merge(
                now=now,
                fingerprint=fingerprint,
                origin=origin,
                crashes=crashes,
                remaining=remaining,
            )
            for fingerprint, origin, crashes, remaining in suspects
        ]
        return any(is_new)

    def _note_held(self, instances, source):
        """Log the changes of those of some instances that have a held one."""
        for instance in instances & self.directory.held_changes.keys():
            self._log.note(
                "directory",
                "A change is held.",
                instance=instance,
                state=_describe(self.directory.held_changes[instance].backend),
                source=source,
            )

    def _try_decode(self, data, *, service):
        try:
            return versions.Decoded(ok=self._decode(data), error="")
        except ValueError as error:
            return versions.Decoded(ok=None, error=str(error))

    def _notify(self, topic):
        for subscriber in self._subscribers:
            subscriber(topic)


class Gossip:
    """Replicates a :class:`FleetState` among the daemons.

    :param loop: the event loop.
    :param fleet_state: a :class:`FleetState`.
    :param links: a ``links.LinkPool``.
    :param local_host: this daemon's IP address; no message is sent to it.
    """

    def __init__(self, *, loop, fleet_state, links, local_host, generator=None):
        self._loop = loop
        self._fleet_state = fleet_state
        self._links = links
        self._local_host = local_host
        self._random = generator or random.Random()
        self._is_push_scheduled = False
        self._is_applying_broadcast = False
        self._sent_revision = 0
        self._sent_version = 0
        self._trees = trees.make_trees(fleet_state.directory.hosts)
        self._handlers = {
            messages.Digest: self._handle_digest,
            messages.StateUpdate: self._handle_update,
        }
        fleet_state.subscribe(self._on_change)

    def start(self):
        """Start to send digests, at a random time within the first second."""
        self._loop.call_later(self._random.random(), self._send_digest)

    def handle(self, link, message):
        """Handle a message of a peer; return whether it belongs to gossip."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(link, message)
        return handler is not None

    def broadcast(self, tree):
        """Send what the store confirmed along a tree, from its root."""
        self._forward(self._make_increment(tree=tree))

    def _forward(self, update):
        for host in self._trees[update.tree].list_children(self._local_host):
            self._links.get(host).send(update)

    def _on_change(self, topic):
        """Schedule an update to some peers; changes until then share it."""
        if not self._is_push_scheduled and not self._is_applying_broadcast:
            self._is_push_scheduled = True
            self._loop.call_soon(self._push)

    def _push(self):
        self._is_push_scheduled = False
        update = self._make_increment(tree=NO_TREE)
        for host in self._sample_hosts(FANOUT):
            self._links.get(host).send(update)

    def _send_digest(self):
        self._loop.call_later(
            DIGEST_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2), self._send_digest
        )
        digest = self._make_digest()
        for host in self._sample_hosts(1):
            self._links.get(host).send(digest)

    def _sample_hosts(self, count):
        """Return up to ``count`` hosts of other daemons at random."""
        hosts = self._fleet_state.directory.hosts
        size = self._fleet_state.directory.daemon_count
        drawn = self._random.sample(range(size), min(count + 1, size))
        names = [hosts.get(position) for position in drawn]
        return [name for name in names if name != self._local_host][:count]

    def _make_digest(self):
        fleet_state = self._fleet_state
        return messages.Digest(
            revision=fleet_state.directory.shareable_revision,
            age=fleet_state.get_shareable_age(time.monotonic()),
            version=fleet_state.configuration_version,
            suspects=fleet_state.compute_suspects_checksum(),
        )

    def _make_increment(self, *, tree):
        """Return what is new since this daemon last sent an increment."""
        fleet_state = self._fleet_state
        since = max(self._sent_revision, fleet_state.directory.history_from)
        update = self._make_update(
            since,
            with_configuration=fleet_state.configuration_version > self._sent_version,
            tree=tree,
        )
        self._sent_revision = fleet_state.directory.shareable_revision
        self._sent_version = fleet_state.configuration_version
        return update

    def _make_update(self, since, *, with_configuration, tree=NO_TREE):
        """Return an update with the changes after revision ``since``.

        It is a snapshot if this daemon may not know all removals since then.
        """
        fleet_state = self._fleet_state
        local_directory = fleet_state.directory
        now = time.monotonic()
        is_snapshot = since < local_directory.history_from
        if is_snapshot:
            since = 0
        return messages.StateUpdate(
            tree=tree,
            is_snapshot=is_snapshot,
            since=since,
            revision=local_directory.shareable_revision,
            age=fleet_state.get_shareable_age(now),
            records=[
                (name, record.revision, record.backend)
                for name, record in local_directory.list_since(since)
                if record.backend or not is_snapshot
            ],
            configuration=fleet_state.document if with_configuration else b"",
            suspects=fleet_state.quarantine.export_by_origin(now=now)[
                -MAXIMUM_SUSPECTS:
            ],
        )

    def _handle_digest(self, link, digest):
        fleet_state = self._fleet_state
        is_newer = fleet_state.directory.shareable_revision > digest.revision
        has_configuration = fleet_state.configuration_version > digest.version
        is_fresher = fleet_state.get_shareable_age(time.monotonic()) + 0.5 < digest.age
        has_suspects = fleet_state.compute_suspects_checksum() not in (
            0,
            digest.suspects,
        )
        if is_newer or has_configuration or is_fresher or has_suspects:
            link.send(
                self._make_update(digest.revision, with_configuration=has_configuration)
            )

    def _handle_update(self, link, update):
        self._is_applying_broadcast = update.tree != NO_TREE
        try:
            self._apply(update)
        finally:
            self._is_applying_broadcast = False
        if update.tree != NO_TREE:
            self._forward(update)
        if self._fleet_state.directory.complete_revision < update.revision:
            # This daemon missed earlier updates.
            link.send(self._make_digest())

    def _apply(self, update):
        _check_update(update)
        fleet_state = self._fleet_state
        now = time.monotonic()
        if update.age < directory.OUTAGE_SECONDS:
            fleet_state.record_store_contact(now=now, source="peer")
        if update.configuration:
            fleet_state.apply_configuration(update.configuration, source="peer")
        for name, revision, values in update.records:
            if not validation.is_integer(revision):
                _log_invalid_record(
                    name, f"its revision is {validation.quote(revision)}"
                )
                continue
            fleet_state.put(
                instance=name,
                revision=revision,
                backend=self._make_backend(name, values),
                source="peer",
            )
        if update.is_snapshot:
            names = {name for name, _, _ in update.records}
            fleet_state.remove_unlisted(
                names=names, revision=update.revision, source="peer"
            )
        # Revision 0: the sender has no state that the store confirmed.
        if update.revision and fleet_state.directory.complete_revision >= update.since:
            fleet_state.directory.confirm(revision=update.revision, at=now - update.age)
        if fleet_state.merge_suspects(update.suspects):
            self._on_change("suspects")

    def _make_backend(self, name, values):
        """Return the backend of a peer's record, ``None`` if it is removed or invalid.

        A daemon of another version may know other rules.
        """
        if not values:
            return None
        try:
            return validation.check_backend(directory.Backend(*values))
        except (TypeError, validation.InvalidValueError) as error:
            _log_invalid_record(name, error)
            return None


def _check_update(update):
    """Check what a peer claims to know, before any of it is applied.

    A revision that the store never reaches would end the reading of its changes.

    :raises ValueError: a revision or the age is of another type, or out of range.
    """
    for name in ("since", "revision"):
        if not validation.is_integer(getattr(update, name)):
            value = validation.quote(getattr(update, name))
            raise ValueError(f"a peer's update has the {name} {value}")
    if type(update.age) not in (int, float) or not 0 <= update.age < math.inf:
        raise ValueError(f"a peer's update has the age {validation.quote(update.age)}")


def _log_invalid_record(name, reason):
    logger.warning(
        "gossip: A peer's record is not used.",
        extra={
            "fields": {
                "instance": validation.quote(name),
                "reason": validation.quote(reason),
            }
        },
    )


def _describe(backend):
    if backend is None:
        return "gone"
    return "draining" if backend.is_draining else "ready"

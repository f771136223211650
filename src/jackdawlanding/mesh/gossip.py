"""What a daemon knows of the fleet, and how daemons tell each other.

A few daemons read the store and send what they read, or that nothing is new,
down a tree of all daemons. What a daemon learns otherwise goes to some peers
at once. Each daemon also compares what it knows with one peer a second.
"""

import logging
import random
import time
import zlib

from jackdawlanding.decisions import (
    directory,
    quarantine,
    routes,
    trees,
    versions,
)
from jackdawlanding.mesh import messages

logger = logging.getLogger("jackdaw.gossip")

DIGEST_SECONDS = 1.0
FANOUT = 3
NO_TREE = -1
LONGEST_AGE_SECONDS = 1e6
SUSPECT_SECONDS = 120.0
MAXIMUM_SUSPECTS = 64
CONFIGURATION = "configuration"


class FleetState:
    """Backend servers, the configuration in force and suspects.

    :param decode: turns the operator's document into a ``routes.Configuration``,
        raises ``ValueError``.
    :param log: a ``logs.Log``.
    :param origin: names this daemon's own counts of crashes.
    """

    def __init__(self, *, decode, log, origin=""):
        self._origin = origin
        self.directory = directory.Directory()
        self.quarantine = quarantine.Quarantine(retention_seconds=SUSPECT_SECONDS)
        self.route_table = None
        self._decode = decode
        self._log = log
        self._store = versions.ActivePublications(decode=self._try_decode)
        self._listeners = []

    @property
    def configuration_version(self):
        """The version of the configuration in force, 0 where there is none."""
        return self._store.version(CONFIGURATION)

    @property
    def document(self):
        """The configuration in force as the operator wrote it."""
        held = self._store.get(CONFIGURATION)
        return held.data if held else b""

    @property
    def is_ready(self):
        """Whether a configuration and the backend servers are known."""
        return self.route_table is not None and self.directory.complete_revision > 0

    def get_age(self, now):
        """Return the seconds since the store vouched for what is known."""
        return now - self.directory.confirmed_at

    def get_shared_age(self, now):
        """Return the seconds since the store vouched for what may be told."""
        return min(LONGEST_AGE_SECONDS, now - self.directory.shareable_confirmed_at)

    def subscribe(self, listener):
        """Call ``listener(what)`` on each change, with the name of what changed."""
        self._listeners.append(listener)

    def offer_configuration(self, data, *, source):
        """Put a document in force if its version is higher; return whether."""
        change, reason = self._store.apply(service=CONFIGURATION, data=data)
        if change is versions.ApplyResult.REFUSED:
            self._log.note("config", "A configuration was refused.", reason=reason)
        if change is not versions.ApplyResult.ADOPTED:
            return False
        held = self._store.get(CONFIGURATION)
        self.route_table = routes.RouteTable(configuration=held.publication)
        self._log.note(
            "config",
            "A configuration is in force.",
            version=held.version,
            source=source,
        )
        self._tell("configuration")
        return True

    def put(self, *, instance, revision, backend, source):
        """Take in one record; return whether it changed anything."""
        changed = self.directory.put(
            now=time.monotonic(), instance=instance, revision=revision, backend=backend
        )
        if changed:
            self._log.note(
                "directory",
                "A backend server changed.",
                instance=instance,
                revision=revision,
                state=_describe(backend),
                source=source,
            )
            self._tell("directory")
        return changed

    def remove_unlisted(self, *, names, revision, source):
        """Remove what a whole listing does not name."""
        gone = self.directory.remove_unlisted(
            now=time.monotonic(), names=names, revision=revision
        )
        for instance in gone:
            self._log.note(
                "directory", "Not listed any more.", instance=instance, source=source
            )
            self._tell("directory")

    def apply_held_removals(self):
        """Apply removals that were held back while the store was away."""
        for instance in self.directory.apply_held_removals(now=time.monotonic()):
            self._log.note("directory", "A lapsed entry is gone.", instance=instance)
            self._tell("directory")

    def record_crash(self, fingerprint):
        """Hold a crash against a request; return its count."""
        deaths = self.quarantine.record_crash(
            now=time.monotonic(), fingerprint=fingerprint, origin=self._origin
        )
        self._tell("suspects")
        return deaths

    def count_crashes(self):
        """Return how many deaths are known, over all suspects."""
        held = self.quarantine.export(now=time.monotonic())
        return sum(deaths for _, deaths, _ in held)

    def sum_suspects(self):
        """Return a number that differs where the suspects do, 0 without any."""
        total = 0
        for fingerprint, origin, deaths, _ in self.quarantine.export_by_origin(
            now=time.monotonic()
        ):
            total ^= zlib.crc32(fingerprint + f"{origin} {deaths}".encode())
        return total

    def learn_suspects(self, suspects):
        """Take in what a peer tells; return whether anything was new."""
        now = time.monotonic()
        fresh = [
            self.quarantine.merge(
                now=now,
                fingerprint=fingerprint,
                origin=origin,
                crashes=deaths,
                remaining=left,
            )
            for fingerprint, origin, deaths, left in suspects
        ]
        return any(fresh)

    def _try_decode(self, data, *, service):
        try:
            return versions.Decoded(ok=self._decode(data), error="")
        except ValueError as error:
            return versions.Decoded(ok=None, error=str(error))

    def _tell(self, what):
        for listener in self._listeners:
            listener(what)


class Gossip:
    """Exchanges news with peers.

    :param loop: the event loop.
    :param fleet_state: a :class:`FleetState`.
    :param links: a ``links.LinkPool``.
    :param local_host: this daemon's host, which is never asked.
    """

    def __init__(self, *, loop, fleet_state, links, local_host, generator=None):
        self._loop = loop
        self._fleet_state = fleet_state
        self._links = links
        self._local_host = local_host
        self._random = generator or random.Random()
        self._is_due = False
        self._is_in_tree = False
        self._told_revision = 0
        self._told_version = 0
        self._trees = ()
        self._actions = {
            messages.Digest: self._answer_digest,
            messages.News: self._take_news,
        }
        fleet_state.subscribe(self._note_change)

    def start(self):
        """Begin to compare with peers."""
        self._loop.call_later(self._random.random(), self._compare)

    def handle(self, link, message):
        """Serve a message of a peer; return whether it was gossip."""
        action = self._actions.get(type(message))
        if action is not None:
            action(link, message)
        return action is not None

    def spread(self, tree):
        """Send what the store vouched for down a tree, from its root."""
        self._forward(self._make_increment(tree=tree))

    def _forward(self, news):
        for host in self._find_tree(news.tree).list_children(self._local_host):
            self._links.get(host).send(news)

    def _find_tree(self, number):
        if not self._trees:
            hosts = self._fleet_state.directory.list_hosts()
            self._trees = trees.build_trees(hosts)
        return self._trees[number]

    def _note_change(self, what):
        """Tell some peers soon; several changes go together."""
        if what == "directory":
            self._trees = ()
        if not self._is_due and not self._is_in_tree:
            self._is_due = True
            self._loop.call_soon(self._push)

    def _push(self):
        self._is_due = False
        news = self._make_increment(tree=NO_TREE)
        for host in self._choose_hosts(FANOUT):
            self._links.get(host).send(news)

    def _compare(self):
        self._loop.call_later(
            DIGEST_SECONDS * self._random.uniform(0.8, 1.2), self._compare
        )
        digest = self._make_digest()
        for host in self._choose_hosts(1):
            self._links.get(host).send(digest)

    def _choose_hosts(self, count):
        hosts = self._fleet_state.directory.list_hosts()
        hosts.pop(self._local_host, None)
        names = sorted(hosts)
        return self._random.sample(names, min(count, len(names)))

    def _make_digest(self):
        fleet_state = self._fleet_state
        return messages.Digest(
            revision=fleet_state.directory.shareable_revision,
            age=fleet_state.get_shared_age(time.monotonic()),
            version=fleet_state.configuration_version,
            suspects=fleet_state.sum_suspects(),
        )

    def _make_increment(self, *, tree):
        """Return what is new since this daemon last sent news."""
        fleet_state = self._fleet_state
        since = max(self._told_revision, fleet_state.directory.history_from)
        news = self._make_update(
            since,
            with_configuration=fleet_state.configuration_version > self._told_version,
            tree=tree,
        )
        self._told_revision = fleet_state.directory.shareable_revision
        self._told_version = fleet_state.configuration_version
        return news

    def _make_update(self, since, *, with_configuration, tree=NO_TREE):
        """Return what is newer than ``since``, or all where that isn't known."""
        fleet_state = self._fleet_state
        directory_ = fleet_state.directory
        now = time.monotonic()
        is_whole = since < directory_.history_from
        if is_whole:
            since = 0
        return messages.News(
            tree=tree,
            is_whole=is_whole,
            since=since,
            revision=directory_.shareable_revision,
            age=fleet_state.get_shared_age(now),
            records=[
                (name, record.revision, record.backend)
                for name, record in directory_.list_since(since)
                if record.backend or not is_whole
            ],
            configuration=fleet_state.document if with_configuration else b"",
            suspects=fleet_state.quarantine.export_by_origin(now=now)[
                -MAXIMUM_SUSPECTS:
            ],
        )

    def _answer_digest(self, link, digest):
        fleet_state = self._fleet_state
        is_newer = fleet_state.directory.shareable_revision > digest.revision
        has_configuration = fleet_state.configuration_version > digest.version
        is_fresher = fleet_state.get_shared_age(time.monotonic()) + 0.5 < digest.age
        has_suspects = fleet_state.sum_suspects() not in (0, digest.suspects)
        if is_newer or has_configuration or is_fresher or has_suspects:
            link.send(
                self._make_update(digest.revision, with_configuration=has_configuration)
            )

    def _take_news(self, link, news):
        self._is_in_tree = news.tree != NO_TREE
        try:
            self._apply(news)
        finally:
            self._is_in_tree = False
        if news.tree != NO_TREE:
            self._forward(news)
        if self._fleet_state.directory.complete_revision < news.revision:
            # News in between were missed.
            link.send(self._make_digest())

    def _apply(self, news):
        fleet_state = self._fleet_state
        now = time.monotonic()
        if news.age < directory.OUTAGE_SECONDS:
            fleet_state.directory.record_store_contact(now=now)
        if news.configuration:
            fleet_state.offer_configuration(news.configuration, source="peer")
        for name, revision, values in news.records:
            backend = directory.Backend(*values) if values else None
            fleet_state.put(
                instance=name, revision=revision, backend=backend, source="peer"
            )
        if news.is_whole:
            names = {name for name, _, _ in news.records}
            fleet_state.remove_unlisted(
                names=names, revision=news.revision, source="peer"
            )
        # A sender that has not reached the store yet vouches for nothing.
        if news.revision and fleet_state.directory.complete_revision >= news.since:
            fleet_state.directory.confirm(revision=news.revision, at=now - news.age)
        if fleet_state.learn_suspects(news.suspects):
            self._note_change("suspects")


def _describe(backend):
    if backend is None:
        return "gone"
    return "draining" if backend.is_draining else "ready"

"""Reads the platform's store: all of it once, then what changes."""

import logging
import random
import time

from jackdawlanding.decisions import readers
from jackdawlanding.mesh import fetching
from jackdawlanding.platform import documents, targets

logger = logging.getLogger("jackdaw.store")

CHECK_SECONDS = 0.1
ANSWER_SECONDS = 1.5
# The answer of a waiting read tells of the moment it was sent, which is at most
# so long ago: a slow store included, twice a round trip between regions.
TRANSIT_SECONDS = 0.25
# The prefix that holds the configuration and the backend servers.
EVERYTHING = ""
STATUS_OK = 200
STATUS_GONE = 410


class StoreReader:
    """Keeps a ``gossip.FleetState`` in step with the store.

    :param loop: the event loop.
    :param address: the store's address.
    :param local_host: this daemon's host, for its place among the readers.
    :param spread: called with a reader's place after each of its reads.
    """

    def __init__(self, *, loop, address, local_host, fleet_state, metrics, log, spread):
        self._loop = loop
        self._spread = spread
        self._local_host = local_host
        self._fleet_state = fleet_state
        self._metrics = metrics
        self._log = log
        self._fetcher = fetching.Fetcher(loop=loop, address=address)
        self._failures = 0
        self._wait_until = 0.0
        self._sent_at = 0.0
        self._needs_listing = True
        self._listing = None
        self._position = 0

    def start(self):
        """Begin to read."""
        self._fleet_state.subscribe(self._loop.coalesce(self._find_position))
        self._loop.call_every(CHECK_SECONDS, self._check)
        self._loop.call_later(random.uniform(0, CHECK_SECONDS), self._check)

    def _find_position(self):
        hosts = self._fleet_state.directory.list_hosts()
        self._position = readers.compute_position(host=self._local_host, hosts=hosts)

    def _check(self):
        now = time.monotonic()
        self._fleet_state.apply_held_removals()
        if self._fetcher.is_busy or now < self._wait_until:
            return
        age = self._fleet_state.get_age(now)
        if self._needs_listing and not self._fleet_state.is_ready:
            self._list()
        elif readers.compute_read_delay(position=self._position, age=age) <= 0:
            self._watch()

    def _list(self, *, after=""):
        if not after:
            self._listing = None
        self._get(targets.format_range(EVERYTHING, after=after), self._take_listing)

    def _watch(self):
        waits = self._position < readers.READER_COUNT
        seconds = readers.WATCH_SECONDS if waits else 0.0
        target = targets.format_watch(
            EVERYTHING,
            revision=self._fleet_state.directory.complete_revision,
            seconds=seconds,
        )
        self._get(target, self._take_events, seconds=seconds)

    def _get(self, target, take, *, seconds=0.0):
        self._sent_at = time.monotonic()
        self._metrics.count("store_reads")
        self._fetcher.get(
            target,
            seconds=seconds + ANSWER_SECONDS,
            done=lambda response: self._finish(response, take),
        )

    def _finish(self, response, take):
        now = time.monotonic()
        if response is not None and response.status == STATUS_GONE:
            self._log.note("store", "The history is gone; all is read again.")
            self._list()
            return
        page = None
        if response is not None and response.status == STATUS_OK:
            try:
                page = documents.decode_page(response.body)
            except documents.DocumentError as error:
                logger.warning("store: %s", error)
        if page is None:
            self._note_failure(now, response)
            return
        if self._failures:
            self._log.note("store", "The store answers again.", dependency="store")
        self._failures = 0
        self._fleet_state.directory.record_store_contact(now=now)
        self._wait_until = now + readers.READ_INTERVAL_SECONDS
        take(page)

    def _note_failure(self, now, response):
        self._failures += 1
        self._wait_until = now + readers.compute_backoff(failures=self._failures)
        self._metrics.count("store_failures")
        if self._failures == 1:
            status = response.status if response is not None else "none"
            self._log.note(
                "store", "The store fails.", dependency="store", status=status
            )

    def _take_listing(self, page):
        if self._listing is None:
            self._listing = (page.revision, set())
        revision, names = self._listing
        for item in page.items:
            names.add(item.key)
            self._apply(item)
        if page.has_more and page.items:
            self._list(after=page.items[-1].key)
            return
        self._listing = None
        self._needs_listing = False
        known = {
            name.removeprefix(documents.BACKEND_PREFIX)
            for name in names
            if name.startswith(documents.BACKEND_PREFIX)
        }
        self._fleet_state.remove_unlisted(
            names=known, revision=revision, source="store"
        )
        self._confirm(revision)

    def _take_events(self, page):
        for item in page.items:
            self._apply(item)
        self._confirm(page.revision)

    def _confirm(self, revision):
        at = max(self._sent_at, time.monotonic() - TRANSIT_SECONDS)
        self._fleet_state.directory.confirm(revision=revision, at=at)
        if self._position < readers.READER_COUNT:
            self._spread(self._position)

    def _apply(self, item):
        if item.key == documents.CONFIGURATION_KEY:
            if item.value is not None:
                self._fleet_state.offer_configuration(item.value, source="store")
        elif item.key.startswith(documents.BACKEND_PREFIX):
            self._apply_backend(item)

    def _apply_backend(self, item):
        backend = None
        if item.value is not None:
            try:
                backend = documents.decode_backend(item.key, item.value)
            except documents.DocumentError as error:
                self._log.note("store", "An entry is passed over.", reason=str(error))
        self._fleet_state.put(
            instance=item.key.removeprefix(documents.BACKEND_PREFIX),
            revision=item.revision,
            backend=backend,
            source="store",
        )

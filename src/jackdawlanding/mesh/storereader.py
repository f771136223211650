"""Reads the platform's store: a complete listing once, then its changes."""

import logging
import random
import time

from jackdawlanding.decisions import readers, revisions
from jackdawlanding.mesh import fetching, listings
from jackdawlanding.platform import documents, targets

logger = logging.getLogger("jackdaw.store")

CHECK_INTERVAL_SECONDS = 0.1
# The pause between pages of a listing. All daemons may list at once, and share the
# store's rate.
PAGE_INTERVAL_SECONDS = 0.02
# The pause after a page that brings its listing no further, and after a listing that
# ended in part.
STALL_SECONDS = 0.25
PARTIAL_SECONDS = 1.0
RESPONSE_TIMEOUT_SECONDS = 1.5
# A response to a long poll reflects the store when it was sent, at most this long
# ago: twice a round trip between regions, with a slow store allowed for.
MAXIMUM_TRANSIT_SECONDS = 0.25
# The prefix that holds the configuration and the backend servers.
ROOT_PREFIX = ""
STATUS_OK = 200
STATUS_GONE = 410


class StoreReader:
    """Keeps a ``gossip.FleetState`` up to date with the store.

    :param loop: the event loop.
    :param address: the store's address.
    :param local_host: this daemon's IP address, which gives its position in the
        order of readers.
    :param broadcast: called with this daemon's position after each read, if it is
        one of the assigned readers.
    """

    def __init__(
        self, *, loop, address, local_host, fleet_state, metrics, log, broadcast
    ):
        self._loop = loop
        self._broadcast = broadcast
        self._local_host = local_host
        self._fleet_state = fleet_state
        self._metrics = metrics
        self._log = log
        self._fetcher = fetching.Fetcher(loop=loop, address=address)
        self._failures = 0
        self._next_read_at = 0.0
        self._sent_at = 0.0
        # A listing is needed until more than this revision is known completely.
        self._gone_revision = 0
        self._has_listed = False
        self._listing = None
        # When a listing that ended in part is made again, and up to which revision of
        # the store changes were read since.
        self._relist_at = 0.0
        self._partial_revision = 0
        self._position = 0
        # The era of the last answer.
        self.era = 0

    def start(self):
        """Start to read, at a random time within the first check interval."""
        self._fleet_state.subscribe(self._loop.coalesce(self._update_position))
        self._loop.call_every(CHECK_INTERVAL_SECONDS, self._check)
        self._loop.call_later(random.uniform(0, CHECK_INTERVAL_SECONDS), self._check)

    def _update_position(self):
        hosts = self._fleet_state.directory.hosts
        self._position = hosts.compute_position(self._local_host)

    def _check(self):
        now = time.monotonic()
        self._fleet_state.apply_held_changes()
        if self._fetcher.is_busy or now < self._next_read_at:
            return
        if not self._needs_listing:
            self._forget_listing()
        elif self._listing is not None or now >= self._relist_at:
            self._request_page()
            return
        age = self._fleet_state.get_age(now)
        if readers.compute_read_delay(position=self._position, age=age) <= 0:
            self._request_changes()

    @property
    def _needs_listing(self):
        """Whether neither a listing nor a peer has told all that the store holds."""
        if self._fleet_state.directory.complete_revision <= self._gone_revision:
            return True
        return not (self._has_listed or self._fleet_state.is_ready)

    def _forget_listing(self):
        self._listing = None
        self._relist_at = 0.0
        self._partial_revision = 0
        self._fleet_state.is_partly_listed = False

    def _request_page(self):
        if self._listing is None:
            self._listing = listings.Listing()
        target = targets.format_range(ROOT_PREFIX, after=self._listing.after)
        self._send_read(target, self._handle_listing)

    def _request_changes(self):
        is_assigned_reader = self._position < readers.READER_COUNT
        seconds = readers.WATCH_SECONDS if is_assigned_reader else 0.0
        since = max(
            self._fleet_state.directory.complete_revision, self._partial_revision
        )
        target = targets.format_watch(ROOT_PREFIX, revision=since, seconds=seconds)
        self._send_read(
            target,
            lambda page: self._handle_events(page, since=since),
            seconds=seconds,
        )

    def _send_read(self, target, handle_page, *, seconds=0.0):
        self._sent_at = time.monotonic()
        self._metrics.count("store_reads")
        self._fetcher.get(
            target,
            seconds=seconds + RESPONSE_TIMEOUT_SECONDS,
            on_response=lambda response: self._handle_response(response, handle_page),
        )

    def _handle_response(self, response, handle_page):
        now = time.monotonic()
        is_gone = response is not None and response.status == STATUS_GONE
        if is_gone and self._listing is None:
            self._log.note("store", "The history is gone; all is read again.")
            self._list_anew()
            return
        page = None
        if response is not None and response.status == STATUS_OK:
            try:
                self._record_era(documents.decode_era(response))
                page = documents.decode_page(response.body, era=self.era)
            except documents.DocumentError as error:
                logger.warning("store: %s", error)
        if page is None:
            self._record_failure(now, response)
            return
        if self._failures:
            self._log.note("store", "The store can be read again.", dependency="store")
        self._failures = 0
        self._fleet_state.record_store_contact(now=now, source="store")
        self._pause(readers.READ_INTERVAL_SECONDS)
        handle_page(page)

    def _record_era(self, era):
        if era != self.era:
            before, self.era = self.era, era
            self._log.note("store", "The store is in another era.", era=era, was=before)

    def _pause(self, seconds):
        """Read next after a pause, and not only at the next check if it is short."""
        self._next_read_at = time.monotonic() + seconds
        if seconds < CHECK_INTERVAL_SECONDS:
            self._loop.call_later(seconds, self._check)

    def _record_failure(self, now, response):
        self._failures += 1
        self._next_read_at = now + readers.compute_backoff(failures=self._failures)
        self._metrics.count("store_failures")
        if self._failures == 1:
            status = response.status if response is not None else "none"
            self._log.note(
                "store", "A store read failed.", dependency="store", status=status
            )

    def _handle_listing(self, page):
        for item in page.items:
            self._apply(item)
        self._LISTING_STEPS[self._listing.add(page)](self)

    def _list_anew(self):
        """Read all again: changes after what is known can't be read."""
        self._gone_revision = self._fleet_state.directory.complete_revision
        self._relist_at = 0.0
        self._pause(PAGE_INTERVAL_SECONDS)

    def _restart_listing(self):
        self._listing = None
        self._pause(PAGE_INTERVAL_SECONDS)

    def _continue_listing(self):
        self._pause(PAGE_INTERVAL_SECONDS)

    def _record_stall(self):
        self._metrics.count("store_listings_stalled")
        self._log.note(
            "store",
            "A page brings its listing no further.",
            dependency="store",
            after=self._listing.after,
        )
        self._pause(STALL_SECONDS)

    def _end_listing(self):
        listing = self._listing
        self._forget_listing()
        self._has_listed = True
        self._gone_revision = -1
        instances = {
            documents.get_instance(key)
            for key in listing.keys
            if key.startswith(documents.BACKEND_PREFIX)
        }
        self._fleet_state.remove_unlisted(
            names=instances, revision=listing.revision, source="store"
        )
        self._confirm(listing.revision)

    def _end_listing_in_part(self):
        """Use what was listed, remove nothing, and list again later."""
        listing, self._listing = self._listing, None
        self._relist_at = time.monotonic() + PARTIAL_SECONDS
        self._partial_revision = max(self._partial_revision, listing.revision)
        self._fleet_state.is_partly_listed = True
        self._metrics.count("store_listings_partial")
        self._log.note(
            "store",
            "A listing ended in part.",
            dependency="store",
            keys=len(listing.keys),
            after=listing.after,
        )

    _LISTING_STEPS = {
        listings.Step.NEXT: _continue_listing,
        listings.Step.RESTORED: _restart_listing,
        listings.Step.STALLED: _record_stall,
        listings.Step.COMPLETE: _end_listing,
        listings.Step.PARTIAL: _end_listing_in_part,
    }

    def _handle_events(self, page, *, since):
        for item in page.items:
            self._apply(item)
        if revisions.get_era(page.revision) == revisions.get_era(since):
            self._confirm(page.revision)
        else:
            self._log.note("store", "The store was restored; all is read again.")
            self._list_anew()

    def _confirm(self, revision):
        if self._partial_revision:
            # Peers would take what this daemon knows for all there is.
            self._partial_revision = max(self._partial_revision, revision)
            return
        at = max(self._sent_at, time.monotonic() - MAXIMUM_TRANSIT_SECONDS)
        self._fleet_state.directory.confirm(revision=revision, at=at)
        if self._position < readers.READER_COUNT:
            self._broadcast(self._position)

    def _apply(self, item):
        """Apply an item; one that fails must not hold up the others of its page."""
        try:
            self._apply_value(item)
        except Exception:
            self._metrics.count("store_items_failed")
            logger.exception(
                "store: An item can't be applied.",
                extra={"fields": {"key": item.key, "revision": item.revision}},
            )

    def _apply_value(self, item):
        if item.key == documents.CONFIGURATION_KEY:
            if item.value is not None:
                self._fleet_state.apply_configuration(item.value, source="store")
        elif item.key.startswith(documents.BACKEND_PREFIX):
            self._apply_backend(item)

    def _apply_backend(self, item):
        backend = None
        if item.value is not None:
            try:
                backend = documents.decode_backend(item.key, item.value)
            except documents.DocumentError as error:
                self._metrics.count("store_entries_malformed")
                self._log.note(
                    "store",
                    "A malformed entry is treated as removed.",
                    reason=str(error),
                )
        self._fleet_state.put(
            instance=documents.get_instance(item.key),
            revision=item.revision,
            backend=backend,
            source="store",
        )

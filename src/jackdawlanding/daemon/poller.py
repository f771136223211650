"""Polls the platform for published values and lists of instances, and applies them.

All daemons together stay below a published number of reads a second: each divides
it by the fleet's size. Peers send newer values in the meantime.
"""

import logging
import threading
import time

from jackdawlanding.daemon import platform
from jackdawlanding.decisions import routing, versions

logger = logging.getLogger("jackdaw.values")

MINIMUM_INTERVAL_SECONDS = 0.5
# Lists of called services are read again if peers have sent none for this long.
CALLED_REFRESH_SECONDS = 30.0
# The longest delay of a requested poll, so that several requests cause one poll.
POLL_SOON_SECONDS = 1.0


class PlatformPoller:
    """Reads lists and values alternately and applies those that are newer.

    :param context: the daemon's :class:`context.Context`.
    """

    def __init__(self, *, context):
        self._context = context
        self._poll_requested = threading.Event()
        self._refreshed_at = {}
        self._on_adopted = lambda declaration: None
        self._on_listed = lambda read_at, roster: None

    def set_callbacks(self, *, on_adopted, on_listed):
        """Set the functions that are called after changes and reads.

        :param on_adopted: called with each new declaration of the local service.
        :param on_listed: called after each read of the local service's list, with the
            time of the read and the roster.
        """
        self._on_adopted = on_adopted
        self._on_listed = on_listed

    def poll_soon(self):
        """Read the list soon, since a peer has sent something newer."""
        self._poll_requested.set()

    def run(self, stopped):
        """Poll until ``stopped`` is set; for a supervisor."""
        reader = platform.PlatformReader(
            address=self._context.settings.platform_address
        )
        poll_number = 0
        try:
            while not stopped.is_set():
                self._poll_once(reader, poll_number)
                poll_number += 1
                interval = self.compute_interval()
                if poll_number > 2 and self._poll_requested.wait(interval):
                    stopped.wait(min(interval, POLL_SOON_SECONDS))
                    self._poll_requested.clear()
                    # An even number reads the list.
                    poll_number += poll_number % 2
        finally:
            reader.close()

    def compute_interval(self):
        """Return the seconds between this daemon's reads of the platform."""
        settings = self._context.settings
        interval = settings.fleet_size / settings.platform_reads
        return max(MINIMUM_INTERVAL_SECONDS, interval)

    def apply_value(self, service, data, *, cause):
        """Apply a published value if it is newer; record changes and refusals."""
        before = self._context.publications.get_version(service)
        result, reason = self._context.publications.apply(service=service, data=data)
        if result is versions.ApplyResult.REFUSED:
            logger.warning("values: refused a value of %s: %s.", service, reason)
            self._context.audit_trail.record(
                "publication", cause=f"{cause}: refused: {reason}", version=before
            )
        if result is not versions.ApplyResult.ADOPTED:
            return
        version = self._context.publications.get_version(service)
        self._context.audit_trail.record(
            "publication",
            cause=cause,
            before=f"{service} {before}",
            after=f"{service} {version}",
            version=version,
        )
        if service == self._context.settings.service:
            self._on_adopted(self._context.declaration)

    def apply_instances(self, service, entries):
        """Route calls to a service by a list of its instances."""
        endpoints = [
            routing.Endpoint(
                instance=entry.instance,
                address=entry.address,
                region=entry.region,
                failure_domain=entry.failure_domain,
            )
            for entry in entries
        ]
        router = self._context.get_router(service)
        router.set_endpoints(now=time.monotonic(), endpoints=endpoints)
        for entry in entries:
            if entry.leaving:
                router.record_draining(instance=entry.instance)
        self._refreshed_at[service] = time.monotonic()

    def _poll_once(self, reader, poll_number):
        local_service = self._context.settings.service
        try:
            if poll_number % 2 == 0:
                self._read_instances(reader, local_service)
            else:
                self._read_value(reader, local_service)
            self._refresh_called_service(reader)
        except platform.PlatformError as error:
            self._context.metrics.count("platform_failures")
            logger.info("values: %s; the last values read stay active.", error)

    def _refresh_called_service(self, reader):
        """Read the list of one called service that peers have not sent lately."""
        now = time.monotonic()
        for service in self._context.list_services()[1:]:
            if self._context.publications.get_version(service) == 0:
                self._read_value(reader, service)
            refreshed_at = self._refreshed_at.get(service, float("-inf"))
            endpoints = self._context.get_router(service).endpoints
            if not endpoints or now - refreshed_at > CALLED_REFRESH_SECONDS:
                entries = reader.read_instances(service)
                self.apply_instances(service, entries)
                return

    def _read_instances(self, reader, service):
        started_at = time.monotonic()
        entries = reader.read_instances(service)
        self._context.metrics.count("platform_reads")
        roster = self._context.roster
        before = set(roster.listed)
        # The list is at least as old as the request for it.
        roster.record_list(now=started_at, entries=entries)
        self._on_listed(started_at, roster)
        self.apply_instances(service, entries)
        if before != set(roster.listed):
            self._context.audit_trail.record(
                "instances",
                cause="the platform's list",
                before=",".join(sorted(before)),
                after=",".join(sorted(roster.listed)),
            )

    def _read_value(self, reader, service):
        data = reader.read_value(service)
        self._context.metrics.count("platform_reads")
        if data is not None:
            self.apply_value(service, data, cause="the platform")

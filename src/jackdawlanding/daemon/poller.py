"""Keeps published values and lists of instances in force, from the platform.

Platform reads by all daemons together stay under a published total: each
daemon divides it by the fleet's size. Peers bring the rest.
"""

import logging
import threading
import time

from jackdawlanding.daemon import platform
from jackdawlanding.decisions import routing, versions

logger = logging.getLogger("jackdaw.values")

MINIMUM_READ_SECONDS = 0.5
CALLED_REFRESH_SECONDS = 30.0
HURRY_SECONDS = 1.0


class PlatformPoller:
    """Reads the platform in turn and puts what is newer in force.

    :param context: the daemon's :class:`context.Context`.
    """

    def __init__(self, *, context):
        self._context = context
        self._woken = threading.Event()
        self._refreshed = {}
        self._adopted = lambda declaration: None
        self._listed = lambda read_at, roster: None

    def set_callbacks(self, *, on_adopted, on_listed):
        """Set what to call with new declarations and after each list read."""
        self._adopted = on_adopted
        self._listed = on_listed

    def poll_soon(self):
        """Read the list soon: a peer told of something new."""
        self._woken.set()

    def run(self, stopped):
        """Read in turn until ``stopped`` is set; for a supervisor."""
        reader = platform.PlatformReader(
            address=self._context.settings.platform_address
        )
        turn = 0
        try:
            while not stopped.is_set():
                self._read_turn(reader, turn)
                turn += 1
                pause = self.compute_interval()
                if turn > 2 and self._woken.wait(pause):
                    stopped.wait(min(pause, HURRY_SECONDS))
                    self._woken.clear()
                    turn += turn % 2
        finally:
            reader.close()

    def compute_interval(self):
        """Return the seconds between this daemon's reads of the platform."""
        settings = self._context.settings
        share = settings.fleet_size / settings.platform_reads
        return max(MINIMUM_READ_SECONDS, share)

    def apply_value(self, service, data, *, cause):
        """Put a value in force if it is newer; audit what comes of it."""
        before = self._context.publications.version(service)
        change, reason = self._context.publications.apply(service=service, data=data)
        if change is versions.ApplyResult.REFUSED:
            logger.warning("values: a value of %s was refused: %s.", service, reason)
            self._context.audit_trail.record(
                "publication", cause=f"{cause}: refused: {reason}", version=before
            )
        if change is not versions.ApplyResult.ADOPTED:
            return
        version = self._context.publications.version(service)
        self._context.audit_trail.record(
            "publication",
            cause=cause,
            before=f"{service} {before}",
            after=f"{service} {version}",
            version=version,
        )
        if service == self._context.settings.service:
            self._adopted(self._context.declaration)

    def apply_instances(self, service, entries):
        """Put a list of instances of a service in force for routing."""
        endpoints = [
            routing.Endpoint(
                instance=one.instance,
                address=one.address,
                region=one.region,
                failure_domain=one.failure_domain,
            )
            for one in entries
        ]
        router = self._context.get_router(service)
        router.set_endpoints(now=time.monotonic(), endpoints=endpoints)
        for one in entries:
            if one.leaving:
                router.record_draining(instance=one.instance)
        self._refreshed[service] = time.monotonic()

    def _read_turn(self, reader, turn):
        own = self._context.settings.service
        try:
            if turn % 2 == 0:
                self._read_instances(reader, own)
            else:
                self._read_value(reader, own)
            self._read_called(reader)
        except platform.PlatformError as error:
            self._context.metrics.count("platform_failures")
            logger.info("values: %s; what is known stays in force.", error)

    def _read_called(self, reader):
        """Read for one called service that peers have not refreshed lately."""
        now = time.monotonic()
        for service in self._context.list_services()[1:]:
            if self._context.publications.version(service) == 0:
                self._read_value(reader, service)
            refreshed = self._refreshed.get(service, float("-inf"))
            known = self._context.get_router(service).endpoints
            if not known or now - refreshed > CALLED_REFRESH_SECONDS:
                entries = reader.read_instances(service)
                self.apply_instances(service, entries)
                return

    def _read_instances(self, reader, service):
        began = time.monotonic()
        entries = reader.read_instances(service)
        self._context.metrics.count("platform_reads")
        roster = self._context.roster
        before = set(roster.listed)
        # The list is at least as old as the moment it was asked for.
        roster.record_list(now=began, entries=entries)
        self._listed(began, roster)
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

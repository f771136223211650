"""Exchanges membership, published values and suspects between daemons."""

import concurrent.futures
import logging
import random
import time

from jackdawlanding.daemon import instances, peers
from jackdawlanding.decisions import membership, ownership
from jackdawlanding.wire import codec, framing

logger = logging.getLogger("jackdaw.control")

STEP_INTERVAL_SECONDS = 0.25
GOSSIP_INTERVAL_SECONDS = 1.0
GOSSIP_PEERS = 2
CALLED_SERVICES_INTERVAL_SECONDS = 3.0
SYNC_TIMEOUT_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 0.3
NEW_SERVICE_SECONDS = 600.0
SYNC_THREADS = 8
MAXIMUM_SENT_SUSPECTS = 64


class StateSync:
    """Synchronizes views, published values and suspects with other daemons.

    :param context: the daemon's :class:`context.Context`.
    :param once_only: a :class:`onceonly.OnceOnly`.
    :param poller: a :class:`poller.PlatformPoller`.
    """

    def __init__(self, *, context, once_only, poller):
        self._context = context
        self._once_only = once_only
        self._poller = poller
        self._pool = concurrent.futures.ThreadPoolExecutor(
            max_workers=SYNC_THREADS, thread_name_prefix="sync"
        )
        self._syncing_addresses = set()
        self._gossiped_at = float("-inf")
        self._called_services_synced_at = float("-inf")

    def run(self, stopped):
        """Run steps at intervals until ``stopped`` is set."""
        while not stopped.wait(STEP_INTERVAL_SECONDS):
            self.step(time.monotonic())

    def step(self, now):
        """Check for a pause, adopt the view and send the sync messages that are due."""
        self._check_for_pause(now)
        self._adopt_view(now)
        for address, wants_keys in self._list_due_peers(now):
            self._schedule_sync(address, wants_keys=wants_keys)
        if now - self._called_services_synced_at >= CALLED_SERVICES_INTERVAL_SECONDS:
            self._called_services_synced_at = now
            self._sync_called_services()

    def announce_suspects(self):
        """Send the suspects to all members; wait for answers up to the timeout."""
        self._sync_all(ANNOUNCE_TIMEOUT_SECONDS)

    def announce_shutdown(self):
        """Notify all members that this daemon shuts down; wait up to the timeout."""
        self._context.roster.is_shutting_down = True
        with self._once_only.lock:
            self._once_only.ownership.stop_acting()
        self._sync_all(SYNC_TIMEOUT_SECONDS)

    def serve(self, message, body):
        """Return the answer to a peer's sync message, and its body."""
        now = time.monotonic()
        self._context.metrics.count("control_messages_in")
        self._record_sender(message)
        self._merge_suspects(now, message.suspects)
        answer = self._make_message(message.id, now)
        if message.wants_instances:
            entries = list(self._context.roster.listed.values())
            return answer, instances.encode(entries)
        if message.wants_publication:
            active = self._context.publications.get(message.wants_publication)
            return answer, active.data if active else b""
        if message.wants_keys:
            return self._add_keys(message, answer, now)
        return answer, b""

    def stop(self):
        """Send no more sync messages."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _check_for_pause(self, now):
        gap = self._once_only.pause_guard.tick(now=now)
        if not gap:
            return
        logger.warning("control: the process was paused for %.1f s.", gap)
        self._context.audit_trail.record("view", cause="a pause", after="stale")
        with self._once_only.lock:
            self._once_only.ownership.require_new_evidence(now=now)

    def _adopt_view(self, now):
        members = self._context.roster.list_members(now=now)
        with self._once_only.lock:
            key_ownership = self._once_only.ownership
            key_ownership.tick(now=now)
            before = key_ownership.view
            if members and key_ownership.adopt(members=members):
                self._context.audit_trail.record(
                    "view",
                    cause="membership",
                    before=",".join(sorted(before)),
                    after=",".join(sorted(members)),
                )
            established = key_ownership.establish_view(
                now=now, wall=time.time(), is_new_service=self._is_new_service()
            )
        if established:
            self._record_established()

    def _list_due_peers(self, now):
        """Return the peers to synchronize with now.

        Each is a pair of an address and whether to ask for keys.
        """
        roster = self._context.roster
        with self._once_only.lock:
            unanswered = {
                member.partition("#")[0]
                for member in self._once_only.ownership.list_unanswered()
            }
            is_stale = not self._once_only.ownership.is_fresh(now=now)
        peer_addresses = {
            name: entry.address
            for name, entry in roster.listed.items()
            if name != self._context.settings.instance
        }
        urgent = [
            name
            for name in peer_addresses
            if name in unanswered or not roster.is_contacted(name)
        ]
        due = [(peer_addresses[name], name in unanswered) for name in urgent]
        if now - self._gossiped_at >= GOSSIP_INTERVAL_SECONDS:
            self._gossiped_at = now
            regular = [name for name in peer_addresses if name not in urgent]
            count = len(regular) if is_stale else min(GOSSIP_PEERS, len(regular))
            due += [
                (peer_addresses[name], False) for name in random.sample(regular, count)
            ]
        return due

    def _sync_called_services(self):
        """Synchronize with one instance of each called service."""
        for service in self._context.list_services()[1:]:
            endpoints = list(self._context.get_router(service).endpoints.values())
            if endpoints:
                self._schedule_sync(random.choice(endpoints).address, service=service)

    def _schedule_sync(self, address, *, wants_keys=False, service=None):
        if address in self._syncing_addresses:
            return
        self._syncing_addresses.add(address)
        fields = {"wants_keys": wants_keys}
        self._pool.submit(self._sync_and_log_errors, address, fields, service)

    def _sync_and_log_errors(self, address, fields, service=None):
        try:
            self._sync(address, fields, service)
        except Exception:
            logger.exception("control: a sync with a peer failed.")
        finally:
            self._syncing_addresses.discard(address)

    def _sync(self, address, fields, service=None):
        """Send one sync message and apply its answer."""
        with self._once_only.lock:
            view_hash = self._once_only.ownership.view_hash
        reply = self._request_sync(address, view_hash=view_hash, **fields)
        if reply is None:
            return
        now = time.monotonic()
        self._record_sender(reply.message)
        self._merge_suspects(now, reply.message.suspects)
        if fields.get("wants_keys") and reply.message.agrees:
            self._apply_keys(now, reply, view_hash)
        self._fetch_newer_values(address, reply.message, service)

    def _request_sync(self, address, **fields):
        """Send a sync message; return the peer's reply, ``None`` if there is none.

        :param fields: replace those of the local daemon's message.
        """

        def encode(message_id):
            message = self._make_message(message_id, time.monotonic())
            data = codec.encode_sync(message._replace(**fields))
            self._context.metrics.count("control_bytes_out", len(data))
            return data

        self._context.metrics.count("control_messages_out")
        try:
            return self._context.pool.request(
                address=address,
                kind=framing.Kind.SYNC,
                encode=encode,
                timeout=SYNC_TIMEOUT_SECONDS,
            )
        except peers.PeerError:
            return None

    def _make_message(self, message_id, now):
        context = self._context
        with self._once_only.lock:
            view_hash = self._once_only.ownership.view_hash
        return codec.SyncMessage(
            id=message_id,
            instance=context.settings.instance,
            incarnation=context.incarnation,
            service=context.settings.service,
            leaving=context.shutting_down.is_set(),
            view_hash=view_hash,
            publications=tuple(
                codec.Digest(service=service, version=version)
                for service, version in context.publications.list_versions().items()
            ),
            suspects=tuple(
                codec.Suspect(
                    fingerprint=fingerprint, crashes=crashes, remaining=remaining
                )
                for fingerprint, crashes, remaining in context.quarantine.export(
                    now=now
                )[-MAXIMUM_SENT_SUSPECTS:]
            ),
            list_hash=instances.compute_hash(context.roster.listed.values()),
        )

    def _add_keys(self, message, answer, now):
        with self._once_only.lock:
            history = self._once_only.ownership.make_history(
                now=now, view_hash=message.view_hash
            )
            if history is None:
                return answer, b""
            records = self._once_only.ledger.export(now=now)
        answer = answer._replace(
            agrees=True,
            has_kept_up=history.has_kept_up,
            pending=tuple(tuple(sorted(view)) for view in history.pending),
            uncertain=tuple(
                codec.Uncertainty(
                    views=tuple(tuple(sorted(view)) for view in uncertain_keys.views),
                    gone=tuple(sorted(uncertain_keys.gone)),
                    remaining=uncertain_keys.until - now,
                    since=uncertain_keys.since,
                )
                for uncertain_keys in history.uncertain
            ),
        )
        return answer, records

    def _apply_keys(self, now, reply, view_hash):
        message = reply.message
        history = ownership.History(
            pending=tuple(frozenset(view) for view in message.pending),
            has_kept_up=message.has_kept_up,
            uncertain=tuple(
                ownership.UncertainKeys(
                    views=tuple(frozenset(view) for view in uncertain_keys.views),
                    gone=frozenset(uncertain_keys.gone),
                    until=now + uncertain_keys.remaining,
                    since=uncertain_keys.since,
                )
                for uncertain_keys in message.uncertain
            ),
        )
        member = _make_sender_name(message)
        with self._once_only.lock:
            self._once_only.ledger.merge(now=now, records=reply.body)
            established = self._once_only.ownership.apply_history(
                now=now,
                wall=time.time(),
                member=member,
                view_hash=view_hash,
                history=history,
                is_new_service=self._is_new_service(),
            )
        if established:
            self._record_established()

    def _record_established(self):
        uncertain = self._once_only.ownership.uncertain
        self._context.audit_trail.record(
            "ownership",
            cause="all members answered",
            after=f"established; {len(uncertain)} uncertain",
        )

    def _is_new_service(self):
        """Return whether no process of this service can have run before this one.

        This holds if the service was first published at most
        ``NEW_SERVICE_SECONDS`` before this process started, or later.
        """
        active = self._context.publications.get(self._context.settings.service)
        if active is None:
            return False
        started_at = time.time() - (time.monotonic() - self._context.started_at)
        return started_at - active.publication.created <= NEW_SERVICE_SECONDS

    def _record_sender(self, message):
        if message.service != self._context.settings.service:
            return
        changed = self._context.roster.record_contact(
            instance=message.instance,
            incarnation=message.incarnation,
            leaving=message.leaving,
        )
        if message.leaving:
            router = self._context.get_router(message.service)
            router.record_draining(instance=message.instance)
        with self._once_only.lock:
            key_ownership = self._once_only.ownership
            if message.view_hash == key_ownership.view_hash:
                key_ownership.record_contact(
                    now=time.monotonic(),
                    member=_make_sender_name(message),
                )
        if changed:
            self._context.audit_trail.record(
                "membership",
                cause="contact",
                after=_make_sender_name(message)
                + (" leaving" if message.leaving else ""),
            )
            self._poller.poll_soon()
            self._adopt_view(time.monotonic())

    def _merge_suspects(self, now, suspects):
        for suspect in suspects:
            if self._context.quarantine.merge(
                now=now,
                fingerprint=suspect.fingerprint,
                crashes=suspect.crashes,
                remaining=suspect.remaining,
            ):
                self._context.audit_trail.record(
                    "quarantine", cause="a peer told", after=suspect.crashes
                )

    def _fetch_newer_values(self, address, message, service):
        """Fetch the values that a peer has in a higher version, and its list.

        The list of instances is fetched only from a peer of ``service``.
        """
        wanted = set(self._context.list_services())
        for digest in message.publications:
            known = self._context.publications.get_version(digest.service)
            if digest.service in wanted and digest.version > known:
                self._fetch_value(address, digest.service)
        if service and message.service == service:
            known = self._context.get_router(service).endpoints.values()
            if message.list_hash != instances.compute_hash(known):
                self._fetch_instances(address, service)

    def _fetch_value(self, address, service):
        reply = self._request_sync(address, wants_publication=service)
        if reply and reply.body:
            self._poller.apply_value(service, reply.body, cause="a peer")

    def _fetch_instances(self, address, service):
        reply = self._request_sync(address, wants_instances=True)
        if reply and reply.body:
            entries = instances.decode(reply.body)
            self._poller.apply_instances(service, entries)

    def _sync_all(self, seconds):
        """Exchange a sync message with all members; wait at most ``seconds``."""
        futures = [
            self._pool.submit(self._sync_and_log_errors, entry.address, {})
            for name, entry in self._context.roster.listed.items()
            if name != self._context.settings.instance
        ]
        concurrent.futures.wait(futures, timeout=seconds)


def _make_sender_name(message):
    return membership.make_member_name(message.instance, message.incarnation)

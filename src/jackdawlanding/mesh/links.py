"""The calling side of the links between daemons, over TCP.

A silent link is replaced. On the new link the calling daemon asks for the missing
replies. The serving daemon resends a reply, continues a call that still runs, or
answers that the call never arrived. Such a call never runs: links are numbered, and the
serving daemon closes all but the last one, also those that it sees only later.
"""

import itertools
import logging
import time

from jackdawlanding.decisions import outcomes
from jackdawlanding.mesh import codec, memory, messages, streams, turns

logger = logging.getLogger("jackdaw.links")

CONNECT_TIMEOUT_SECONDS = 0.5
# A link with pending calls on which nothing arrives is pinged, then replaced.
PING_AFTER_SECONDS = 0.3
# The same for a link without pending calls: updates that are sent have no reply.
UPDATE_PING_AFTER_SECONDS = 1.5
PING_TIMEOUT_SECONDS = 0.7
# Reconnecting to a silent host is tried for as long as most callers wait.
RESUME_TIMEOUT_SECONDS = 3.0
# Calls to an unreachable host fail at once for this long.
UNREACHABLE_RETRY_SECONDS = 1.0
IDLE_TIMEOUT_SECONDS = 20.0


class PendingReply:
    """A call whose reply has not arrived yet."""

    __slots__ = ("call", "respond", "was_sent")

    def __init__(self, *, call, respond):
        self.call = call
        self.respond = respond
        self.was_sent = False


class OutboundLink:
    """The calling side of the link to one host.

    :param loop: the event loop.
    :param address: a pair of host and port.
    :param make_hello: returns the :class:`messages.Hello` for the next connection.
    :param is_in_other_region: tells whether a failure domain is in another region.
    :param on_message: called with the link and each message that does not belong
        to a call or to the link itself.
    :param limit_reading: called when a large message begins or ends to arrive.
    """

    def __init__(
        self,
        *,
        loop,
        address,
        make_hello,
        is_in_other_region,
        on_message,
        limit_reading,
    ):
        self._loop = loop
        self._limit_reading = limit_reading
        self.turn = turns.Turn()
        self.address = address
        self._make_hello = make_hello
        self._is_in_other_region = is_in_other_region
        self._on_message = on_message
        self._stream = None
        self._encoder = None
        self._decoder = None
        self._pending = {}
        # What responds to calls that can't be sent, by their numbers.
        self._unsendable = {}
        self._acks = []
        # Numbers of calls that were cancelled while the link was lost.
        self._unsent_cancels = []
        self._peer_incarnation = ""
        self._last_received_at = 0.0
        self._opened_at = 0.0
        self._last_used_at = time.monotonic()
        self._pinged_at = 0.0
        self._lost_at = None
        self._is_resuming = False
        self._was_open = False
        self._unreachable_until = float("-inf")

    @property
    def pending_count(self):
        """The number of calls without a reply."""
        return len(self._pending)

    @property
    def pending_bytes(self):
        """The size of the part of a message that was received."""
        return self._decoder.pending_bytes if self._decoder else 0

    @property
    def stream(self):
        """The stream of the current connection, ``None`` without one."""
        return self._stream

    @property
    def peer_incarnation(self):
        """The incarnation in the last :class:`messages.Welcome`, ``""`` if none."""
        return self._peer_incarnation

    @property
    def is_reachable(self):
        """Whether calls are sent now, rather than failed at once."""
        return self._lost_at is None and time.monotonic() >= self._unreachable_until

    def call(self, call, respond):
        """Send a call; ``respond(reply)`` is called once."""
        if not self.is_reachable:
            self._unsendable[call.number] = respond
            self._loop.call_soon(lambda: self._fail_unsendable(call.number))
            return
        pending = self._pending[call.number] = PendingReply(call=call, respond=respond)
        self._send(call)
        pending.was_sent = self._stream.is_open

    def cancel(self, number):
        """Cancel a call, without a reply; return whether it certainly never runs."""
        if self._unsendable.pop(number, None) is not None:
            return True
        pending = self._pending.pop(number, None)
        if pending is None:
            return False
        if self._stream is not None and self._stream.is_open:
            self._send(messages.Cancel(number=number))
        elif pending.was_sent:
            self._unsent_cancels.append(number)
        else:
            # The call is still in the buffer of a connection that isn't open yet.
            self._stream.close()
            self._stream = None
            self._fail_unsent("unreachable")
            return True
        return False

    def send(self, message):
        """Send a message that has no reply, if the host can be reached."""
        if self.is_reachable:
            self._send(message)

    def tick(self, now):
        """Ping a silent host, replace a silent link, close an idle link.

        Also sends acknowledgements that are due.
        """
        if self._lost_at is not None:
            self._retry_resume(now)
        elif self._stream is None:
            return
        elif not self._stream.is_open:
            if now - self._opened_at > CONNECT_TIMEOUT_SECONDS:
                self._handle_loss("no connection")
        elif self._check_silence(now):
            self._handle_loss("silent")
        elif self._acks:
            acks, self._acks = self._acks, []
            self._send(messages.Ack(numbers=acks))
        elif not self._pending and now - self._last_used_at > IDLE_TIMEOUT_SECONDS:
            self.close()

    def close(self):
        """Close the link; pending calls end with an unknown outcome."""
        if self._stream:
            self._stream.close()
            self._stream = None
        self._fail_all("closed")

    def _check_silence(self, now):
        """Return whether a ping was not answered in time; send one if it is due."""
        if self._stream.is_paused:
            self._last_received_at = now
            return False
        if self._pinged_at > self._last_received_at:
            return now - self._pinged_at > PING_TIMEOUT_SECONDS
        if self._is_ping_due(now):
            self._pinged_at = now
            self._stream.write(self._encoder.encode(messages.Ping(number=0)))
        return False

    def _is_ping_due(self, now):
        if self._pending:
            last_at = max(self._last_received_at, self._last_used_at)
            return now - last_at > PING_AFTER_SECONDS
        return (
            self._last_used_at > self._last_received_at
            and now - self._last_received_at > UPDATE_PING_AFTER_SECONDS
        )

    def _send(self, message):
        if self._stream is None:
            self._open()
        self._last_used_at = time.monotonic()
        self._stream.write_all(self._encoder.encode_parts(message))

    def _open(self):
        self._encoder = codec.Encoder()
        self._decoder = codec.Decoder()
        self.turn.end()
        self._opened_at = self._last_received_at = time.monotonic()
        self._pinged_at = 0.0
        self._stream = streams.connect(loop=self._loop, address=self.address)
        self._stream.reads_after_error = True
        self._stream.on_open = self._on_open
        self._stream.on_data = self._on_data
        self._stream.on_closed = lambda was_reset: self._handle_loss("closed")
        self._stream.write(self._encoder.encode(self._make_hello()))

    def _on_open(self):
        self._last_received_at = time.monotonic()
        self._was_open = True
        for pending in self._pending.values():
            pending.was_sent = True

    def _on_data(self, data):
        self._last_received_at = time.monotonic()
        try:
            received = self._decoder.feed(data)
        except codec.MessageError as error:
            logger.warning("links: %s: %s", self.address[0], error)
            self._handle_loss("malformed")
            return
        stream = self._stream
        for message in received:
            if self._stream is not stream:
                return
            try:
                self._dispatch(message)
            except Exception:
                logger.exception("links: a message of %s failed.", self.address[0])
                if self._stream is stream:
                    self._handle_loss("malformed")
        if self._stream is stream:
            self._record_turn()

    def _record_turn(self):
        was_due = self.turn.since is not None
        is_large = self.pending_bytes > memory.LARGE_BYTES
        self.turn.record(now=self._last_received_at, is_large=is_large)
        if was_due or is_large:
            self._limit_reading()

    def _dispatch(self, message):
        if isinstance(message, messages.Reply):
            self._finish(message)
        elif isinstance(message, messages.Welcome):
            self._handle_welcome(message)
        elif not isinstance(message, messages.Pong):
            self._on_message(self, message)

    def _finish(self, reply):
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            return
        if reply.reason == messages.NOT_RECEIVED or (
            reply.reason == messages.NEVER_RECEIVED and pending.call.is_safe
        ):
            # The host keeps no replies to safe calls: the call may have run.
            reply = reply._replace(outcome=outcomes.Outcome.UNKNOWN, arrived=True)
        if not pending.call.is_safe and reply.arrived:
            self._acks.append(reply.number)
        pending.respond(reply._replace(load=messages.make_load(reply.load)))

    def _handle_welcome(self, message):
        self._encoder.is_compressed = self._is_in_other_region(message.failure_domain)
        is_same_process = self._peer_incarnation == message.incarnation
        self._peer_incarnation = message.incarnation
        if self._is_resuming and not is_same_process:
            # Only the process that received the calls knows their outcome.
            logger.info("links: %s has restarted.", self.address[0])
            self._fail_all("restarted")
        elif self._is_resuming and self._pending:
            logger.info("links: the link to %s is back.", self.address[0])
            self._send(messages.Resume(numbers=list(self._pending)))
        cancels, self._unsent_cancels = self._unsent_cancels, []
        for number in cancels if is_same_process else ():
            self._send(messages.Cancel(number=number))
        self._is_resuming = False
        self._lost_at = None

    def _handle_loss(self, reason):
        """Close a lost link; open a new one if calls are pending."""
        was_open, self._was_open = self._was_open, False
        self._stream.close()
        self._stream = None
        self.turn.end()
        self._fail_unsent(reason)
        now = time.monotonic()
        if not was_open:
            self._unreachable_until = now + UNREACHABLE_RETRY_SECONDS
            if self._is_resuming and reason == "closed":
                # The port refuses connections: the process has ended.
                self._fail_all("gone")
            return
        if not self._pending:
            return
        if self._lost_at is None:
            count = len(self._pending)
            logger.info(
                "links: lost the link to %s (%s), pending calls: %d.",
                self.address[0],
                reason,
                count,
            )
            self._lost_at = now
        self._is_resuming = True
        self._open()

    def _fail_unsent(self, reason):
        for number, pending in list(self._pending.items()):
            if not pending.was_sent:
                del self._pending[number]
                pending.respond(_make_not_run(number, reason))

    def _fail_unsendable(self, number):
        respond = self._unsendable.pop(number, None)
        if respond is not None:
            respond(_make_not_run(number, "unreachable"))

    def _retry_resume(self, now):
        if now - self._lost_at > RESUME_TIMEOUT_SECONDS or not self._pending:
            self._unreachable_until = now + UNREACHABLE_RETRY_SECONDS
            if self._stream:
                self._stream.close()
                self._stream = None
            self._fail_all("unreachable")
        elif self._stream is None:
            self._open()
        elif now - self._opened_at > CONNECT_TIMEOUT_SECONDS:
            self._stream.close()
            self._open()

    def _fail_all(self, reason):
        pending, self._pending = self._pending, {}
        self._lost_at = None
        self._is_resuming = False
        for number, pending_reply in pending.items():
            pending_reply.respond(
                messages.make_failure(number, reason, outcome=outcomes.Outcome.UNKNOWN)
            )


def _make_not_run(number, reason):
    return messages.make_failure(number, reason, outcome=outcomes.Outcome.NOT_RUN)


class LinkPool:
    """Holds the calling sides of the links, by host.

    :param port: the port on which the daemons of all hosts listen.
    :param incarnation: identifies this process.
    :param failure_domain: this daemon's failure domain.
    :param is_in_other_region: tells whether a failure domain is in another region.
    :param on_message: see :class:`OutboundLink`.
    """

    def __init__(
        self,
        *,
        loop,
        port,
        incarnation,
        failure_domain,
        is_in_other_region,
        on_message,
    ):
        self._loop = loop
        self._port = port
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._is_in_other_region = is_in_other_region
        self._on_message = on_message
        self._links = {}
        self._numbers = itertools.count(1)
        self._link_numbers = itertools.count(1)

    @property
    def unreachable_count(self):
        """The number of hosts to which calls fail at once."""
        return sum(not link.is_reachable for link in self._links.values())

    def make_number(self):
        """Return a call number that is unique in this process."""
        return next(self._numbers)

    def get(self, host):
        """Return the link to a host; a new one connects when it is first used."""
        link = self._links.get(host)
        if link is None:
            link = self._links[host] = OutboundLink(
                loop=self._loop,
                address=(host, self._port),
                make_hello=self._make_hello,
                is_in_other_region=self._is_in_other_region,
                on_message=self._on_message,
                limit_reading=self._limit_reading,
            )
        return link

    def _limit_reading(self):
        """Read large messages one after the other where they are too many."""
        large = [
            link
            for link in self._links.values()
            if link.turn.since is not None and link.stream is not None
        ]
        if not large:
            return
        arriving = sum(link.pending_bytes for link in large)
        count = memory.count_readable(
            held=0, arriving=arriving + self._loop.unsent_bytes, count=len(large)
        )
        turns.share(large, count=count, now=time.monotonic())

    def _make_hello(self):
        return messages.Hello(
            number=next(self._link_numbers),
            incarnation=self._incarnation,
            failure_domain=self._failure_domain,
        )

    def tick(self):
        """Call :meth:`OutboundLink.tick` on all links."""
        now = time.monotonic()
        for link in list(self._links.values()):
            link.tick(now)
        self._limit_reading()

    def retain_only(self, hosts):
        """Close links to hosts not in ``hosts``, unless calls are pending."""
        for host in [host for host in self._links if host not in hosts]:
            if not self._links[host].pending_count:
                self._links.pop(host).close()

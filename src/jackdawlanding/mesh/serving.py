"""The serving side of the links between daemons, and the calls that arrive on it."""

import logging
import time

from jackdawlanding.decisions import outcomes
from jackdawlanding.mesh import codec, memory, messages, turns

logger = logging.getLogger("jackdaw.links")

# Replies to calls that must not run twice are kept until they are acknowledged, but
# no longer than this: a calling daemon tries for less time to reach a silent host.
REPLY_RETENTION_SECONDS = 5.0
# Safe calls of a lost link continue for this long: a calling daemon that still runs
# opens a new link within a second. The others continue to their end, since a daemon
# that is only silent for longer asks for their replies later.
ORPHAN_GRACE_SECONDS = 1.5
# Longer than any caller waits for a response.
DROPPED_RETENTION_SECONDS = 600.0


class _ServedCall:
    """A call that this daemon serves for another daemon."""

    __slots__ = ("body_bytes", "ended_at", "execution", "is_safe", "link", "reply")

    def __init__(self, *, link, is_safe, body_bytes):
        self.link = link
        self.body_bytes = body_bytes
        self.is_safe = is_safe
        self.execution = None
        self.reply = None
        self.ended_at = 0.0


class InboundLink:
    """The serving side of one link."""

    def __init__(self, *, server, stream):
        self._server = server
        self.stream = stream
        self._encoder = codec.Encoder()
        self._decoder = codec.Decoder()
        self.hello = None
        self.turn = turns.Turn()
        stream.on_data = self._on_data
        stream.on_closed = lambda was_reset: server.on_link_lost(self)

    def send(self, message):
        """Send a message; on a closed link it is dropped."""
        self.stream.write_all(self._encoder.encode_parts(message))

    def enable_compression(self):
        """Compress later messages, for a calling daemon in another region."""
        self._encoder.is_compressed = True

    @property
    def pending_bytes(self):
        """The size of the part of a message that was received."""
        return self._decoder.pending_bytes

    def _on_data(self, data):
        try:
            received = self._decoder.feed(data)
        except codec.MessageError as error:
            logger.warning("links: a link is closed: %s", error)
            self.stream.close()
            self._server.on_link_lost(self)
            return
        for message in received:
            if self.stream.is_closed:
                return
            try:
                self._server.dispatch(self, message)
            except Exception:
                # Messages behind this one are lost; a new link asks for them again.
                logger.exception("links: a link is closed: a message failed.")
                self.stream.close()
                self._server.on_link_lost(self)
                return
        is_large = self.pending_bytes > memory.LARGE_BYTES
        self.turn.record(now=time.monotonic(), is_large=is_large)
        if is_large:
            self._server.limit_reading()


class LinkServer:
    """Serves the links of other daemons and the calls that arrive on them.

    :param welcome: the :class:`messages.Welcome` of this daemon.
    :param executor: an ``executor.Executor`` that runs the calls.
    :param is_in_other_region: tells whether a failure domain is in another region.
    :param on_message: called with the link and each message that does not belong
        to a call or to the link itself.
    """

    def __init__(self, *, loop, welcome, executor, is_in_other_region, on_message):
        self._loop = loop
        self._welcome = welcome
        self._is_in_other_region = is_in_other_region
        self._executor = executor
        self._on_message = on_message
        self._links = {}
        # The highest number of a link, by the calling daemon's incarnation.
        self._newest_numbers = {}
        self._served = {}
        # When a call was last dropped, by the calling daemon's incarnation.
        self._dropped_at = {}
        self._handlers = {
            messages.Hello: self._handle_hello,
            messages.Call: self._handle_call,
            messages.Cancel: self._handle_cancel,
            messages.Resume: self._handle_resume,
            messages.Ack: self._handle_ack,
            messages.Ping: self._handle_ping,
        }

    @property
    def links(self):
        """The links by the calling daemon's incarnation."""
        return self._links

    @property
    def has_undelivered(self):
        """Whether a reply has not, or not whole, reached the daemon that called.

        Replies to calls that must not run twice count until they are acknowledged.
        """
        if any(link.stream.unsent for link in self._links.values()):
            return True
        return any(
            served.reply is not None and not served.is_safe
            for served in self._served.values()
        )

    def accept(self, stream, host):
        """Serve a new connection; called by a listener."""
        InboundLink(server=self, stream=stream)

    def dispatch(self, link, message):
        """Handle one message of a link."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self._on_message(link, message)
        elif link.hello is None and handler != self._handle_hello:
            logger.warning("links: a link is closed: its first message is not a Hello.")
            link.stream.close()
        else:
            handler(link, message)

    def on_link_lost(self, link):
        """Let the safe calls of a lost link continue for a while, then cancel them."""
        link.turn.end()
        if link.hello and self._links.get(link.hello.incarnation) is link:
            self._loop.call_later(
                ORPHAN_GRACE_SECONDS, lambda: self._cancel_orphans(link)
            )

    def limit_reading(self):
        """Read large messages one after the other while too much is held.

        None is read while the calls that run hold too much: they end by themselves.
        """
        large = [link for link in self._links.values() if link.turn.since is not None]
        if not large:
            return
        running = sum(
            served.body_bytes
            for served in self._served.values()
            if served.execution is not None
        )
        arriving = sum(link.pending_bytes for link in large)
        count = memory.count_readable(
            held=running,
            arriving=arriving + self._loop.unsent_bytes,
            count=len(large),
        )
        turns.share(large, count=count, now=time.monotonic())

    def sweep(self):
        """Read on where it may be; remove what was retained for long enough."""
        self.limit_reading()
        now = time.monotonic()
        for key, served in list(self._served.items()):
            if served.reply and now - served.ended_at > REPLY_RETENTION_SECONDS:
                self._dropped_at[key[0]] = now
                del self._served[key]
        for incarnation, at in list(self._dropped_at.items()):
            if now - at > DROPPED_RETENTION_SECONDS:
                del self._dropped_at[incarnation]
                if incarnation not in self._links:
                    self._newest_numbers.pop(incarnation, None)

    def _handle_hello(self, link, hello):
        if self._is_late(hello):
            # Its calls were answered as never received on a later link.
            logger.info("links: a link that comes late is closed: %d.", hello.number)
            link.stream.close()
            return
        if _is_numbered(hello):
            self._newest_numbers[hello.incarnation] = hello.number
        previous = self._links.get(hello.incarnation)
        link.hello = hello
        self._links[hello.incarnation] = link
        if previous is not None and previous is not link:
            # A call that arrives late on the previous link must not start.
            previous.stream.close()
        for key, served in self._served.items():
            if key[0] == hello.incarnation:
                served.link = link
        link.send(self._welcome)
        if self._is_in_other_region(hello.failure_domain):
            link.enable_compression()

    def _is_late(self, hello):
        """Return whether the calling daemon opened a later link than this one."""
        newest = self._newest_numbers.get(hello.incarnation, 0)
        return _is_numbered(hello) and hello.number <= newest

    def _handle_call(self, link, call):
        if not messages.is_sound(call):
            self._refuse_malformed(link, call)
            return
        key = (link.hello.incarnation, call.number)
        if key in self._served:
            logger.warning("links: duplicate call %d is ignored.", call.number)
            return
        served = self._served[key] = _ServedCall(
            link=link, is_safe=call.is_safe, body_bytes=len(call.body)
        )
        served.execution = self._executor.submit(
            call, lambda reply: self._finish(key, served, reply)
        )

    def _refuse_malformed(self, link, call):
        """Answer a malformed call if its number can be read; close the link if not."""
        logger.warning("links: a malformed call is refused: %.200r.", call)
        if type(call.number) is not int:
            link.stream.close()
            return
        link.send(
            messages.make_failure(
                call.number, "malformed", outcome=outcomes.Outcome.NOT_RUN
            )
        )

    def _finish(self, key, served, reply):
        try:
            served.link.send(reply)
        except Exception:
            logger.exception("links: a reply can't be sent.")
            outcome = (
                outcomes.Outcome.UNKNOWN if reply.arrived else outcomes.Outcome.NOT_RUN
            )
            reply = messages.make_failure(reply.number, "failed", outcome=outcome)
            served.link.send(reply)
        is_retained = reply.arrived and not served.is_safe
        if not is_retained and not served.link.stream.is_closed:
            self._served.pop(key, None)
            return
        served.reply = reply
        served.execution = None
        served.ended_at = time.monotonic()

    def _handle_cancel(self, link, message):
        served = self._served.pop((link.hello.incarnation, message.number), None)
        if served and served.execution:
            self._executor.cancel(served.execution)

    def _handle_resume(self, link, message):
        for number in message.numbers:
            served = self._served.get((link.hello.incarnation, number))
            if served is None:
                link.send(self._make_unknown_reply(link.hello.incarnation, number))
            elif served.reply is not None:
                link.send(served.reply)

    def _make_unknown_reply(self, incarnation, number):
        """Return the reply for a call that this daemon has no record of.

        Without an order of its links the call may still arrive.
        """
        is_ordered = incarnation in self._newest_numbers
        if incarnation in self._dropped_at or not is_ordered:
            return messages.make_failure(
                number, "forgotten", outcome=outcomes.Outcome.UNKNOWN
            )
        return messages.make_failure(
            number, messages.NEVER_RECEIVED, outcome=outcomes.Outcome.NOT_RUN
        )

    def _handle_ack(self, link, message):
        for number in message.numbers:
            self._served.pop((link.hello.incarnation, number), None)

    def _handle_ping(self, link, message):
        link.send(messages.Pong(number=message.number))

    def _cancel_orphans(self, link):
        incarnation = link.hello.incarnation
        if self._links.get(incarnation) is not link:
            return
        del self._links[incarnation]
        self._dropped_at[incarnation] = time.monotonic()
        for key, served in list(self._served.items()):
            if key[0] == incarnation and served.is_safe:
                del self._served[key]
                if served.execution:
                    self._executor.cancel(served.execution)


def _is_numbered(hello):
    """Return whether a daemon numbers its links; those of earlier versions don't."""
    return isinstance(hello.number, int)

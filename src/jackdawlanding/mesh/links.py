"""Links to other daemons: the calling side, over TCP.

A link that goes silent is replaced. The caller then asks on the new link for
the replies that it still misses; the host answers with the reply, goes on, or
tells that the call never came, which then never runs.
"""

import itertools
import logging
import time

from jackdawlanding.decisions import outcomes
from jackdawlanding.mesh import codec, messages, streams

logger = logging.getLogger("jackdaw.links")

CONNECT_SECONDS = 0.5
# A link with calls under way that hears nothing asks, then is replaced.
PING_SECONDS = 0.3
SILENT_SECONDS = 0.7
# Tries to reach a silent host go on for as long as most callers wait.
RESUME_SECONDS = 3.0
# A host that can't be reached is not tried again for so long.
UNREACHABLE_SECONDS = 1.0
IDLE_SECONDS = 20.0


class Pending:
    """One call under way on a link."""

    __slots__ = ("call", "respond", "was_sent")

    def __init__(self, *, call, respond):
        self.call = call
        self.respond = respond
        self.was_sent = False


class OutLink:
    """The calling side of the link to one host.

    :param loop: the event loop.
    :param address: a pair of host and port.
    :param hello: the :class:`messages.Hello` of this daemon.
    :param is_in_other_region: tells whether a failure domain is in another region.
    :param on_news: called with the link and each other message.
    """

    def __init__(self, *, loop, address, hello, is_in_other_region, on_news):
        self._loop = loop
        self.address = address
        self._hello = hello
        self._is_in_other_region = is_in_other_region
        self._on_news = on_news
        self._stream = None
        self._encoder = None
        self._decoder = None
        self._pending = {}
        self._acks = []
        self._peer = ""
        self._heard_at = 0.0
        self._opened_at = 0.0
        self._used_at = time.monotonic()
        self._asked_at = 0.0
        self._lost_at = None
        self._resuming = False
        self._was_open = False
        self._refused_until = float("-inf")

    @property
    def pending(self):
        """How many calls are under way."""
        return len(self._pending)

    @property
    def peer(self):
        """The host's incarnation as it last said, or ``""``."""
        return self._peer

    @property
    def is_reachable(self):
        """Whether a call may be sent now."""
        return self._lost_at is None and time.monotonic() >= self._refused_until

    def call(self, call, respond):
        """Send a call; ``respond(reply)`` is called once."""
        if not self.is_reachable:
            reply = messages.make_failure(
                call.number, "unreachable", outcome=outcomes.Outcome.NOT_RUN
            )
            self._loop.call_soon(lambda: respond(reply))
            return
        pending = Pending(call=call, respond=respond)
        self._pending[call.number] = pending
        self._send(call)
        pending.was_sent = self._stream.is_open

    def cancel(self, number):
        """Give up a call; return whether it certainly never runs."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return False
        if self._stream is not None and self._stream.is_open:
            self._send(messages.Cancel(number=number))
        elif not pending.was_sent:
            # What waits for the connection must not go out any more.
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
        """Ask a silent host, replace a silent link, close an unused one."""
        if self._lost_at is not None:
            self._try_again(now)
        elif self._stream is None:
            return
        elif not self._stream.is_open:
            if now - self._opened_at > CONNECT_SECONDS:
                self._lose("no connection")
        elif self._is_silent(now):
            self._lose("silent")
        elif self._acks:
            acks, self._acks = self._acks, []
            self._send(messages.Ack(numbers=acks))
        elif not self._pending and now - self._used_at > IDLE_SECONDS:
            self.close()

    def close(self):
        """Close the link; calls under way end as unknown."""
        if self._stream:
            self._stream.close()
            self._stream = None
        self._fail_all("closed")

    def _is_silent(self, now):
        if not self._pending:
            return False
        if self._asked_at > self._heard_at:
            return now - self._asked_at > SILENT_SECONDS
        if now - max(self._heard_at, self._used_at) > PING_SECONDS:
            self._asked_at = now
            self._stream.write(self._encoder.encode(messages.Ping(number=0)))
        return False

    def _send(self, message):
        if self._stream is None:
            self._open()
        self._used_at = time.monotonic()
        self._stream.write(self._encoder.encode(message))

    def _open(self):
        self._encoder = codec.Encoder()
        self._decoder = codec.Decoder()
        self._opened_at = self._heard_at = time.monotonic()
        self._asked_at = 0.0
        self._stream = streams.connect(loop=self._loop, address=self.address)
        self._stream.on_open = self._note_open
        self._stream.on_data = self._take
        self._stream.on_closed = lambda was_reset: self._lose("closed")
        self._stream.write(self._encoder.encode(self._hello))

    def _note_open(self):
        self._heard_at = time.monotonic()
        self._was_open = True
        for pending in self._pending.values():
            pending.was_sent = True

    def _take(self, data):
        self._heard_at = time.monotonic()
        try:
            received = self._decoder.feed(data)
        except codec.MessageError as error:
            logger.warning("links: %s: %s", self.address[0], error)
            self._lose("malformed")
            return
        for message in received:
            self._dispatch(message)

    def _dispatch(self, message):
        if isinstance(message, messages.Reply):
            self._finish(message)
        elif isinstance(message, messages.Welcome):
            self._note_welcome(message)
        elif not isinstance(message, messages.Pong):
            self._on_news(self, message)

    def _finish(self, reply):
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            return
        if reply.reason == messages.NOT_RECEIVED and pending.call.is_safe:
            # The host keeps no replies of safe calls: it may have run.
            reply = reply._replace(outcome=outcomes.Outcome.UNKNOWN, arrived=True)
        if not pending.call.is_safe and reply.arrived:
            self._acks.append(reply.number)
        pending.respond(reply._replace(load=messages.Load(*reply.load)))

    def _note_welcome(self, message):
        self._encoder.is_packed = self._is_in_other_region(message.failure_domain)
        is_same = self._peer == message.incarnation
        self._peer = message.incarnation
        if self._resuming and not is_same:
            # Only the process that took the calls can tell what became of them.
            logger.info("links: %s has started anew.", self.address[0])
            self._fail_all("restarted")
        elif self._resuming and self._pending:
            logger.info("links: %s answers again.", self.address[0])
            self._send(messages.Resume(numbers=list(self._pending)))
        self._resuming = False
        self._lost_at = None

    def _lose(self, reason):
        """Replace a lost link if calls are under way on it."""
        was_open, self._was_open = self._was_open, False
        self._stream.close()
        self._stream = None
        self._fail_unsent(reason)
        now = time.monotonic()
        if not was_open:
            self._refused_until = now + UNREACHABLE_SECONDS
            if self._resuming and reason == "closed":
                # Nobody listens there any more: the process is gone.
                self._fail_all("gone")
            return
        if not self._pending:
            return
        if self._lost_at is None:
            count = len(self._pending)
            logger.info(
                "links: %s is lost (%s), %d calls open.", self.address[0], reason, count
            )
            self._lost_at = now
        self._resuming = True
        self._open()

    def _fail_unsent(self, reason):
        for number, pending in list(self._pending.items()):
            if not pending.was_sent:
                del self._pending[number]
                pending.respond(
                    messages.make_failure(
                        number, reason, outcome=outcomes.Outcome.NOT_RUN
                    )
                )

    def _try_again(self, now):
        if now - self._lost_at > RESUME_SECONDS or not self._pending:
            self._refused_until = now + UNREACHABLE_SECONDS
            if self._stream:
                self._stream.close()
                self._stream = None
            self._fail_all("unreachable")
        elif self._stream is None:
            self._open()
        elif now - self._opened_at > CONNECT_SECONDS:
            self._stream.close()
            self._open()

    def _fail_all(self, reason):
        pending, self._pending = self._pending, {}
        self._lost_at = None
        self._resuming = False
        for number, one in pending.items():
            one.respond(
                messages.make_failure(number, reason, outcome=outcomes.Outcome.UNKNOWN)
            )


class LinkPool:
    """The calling sides of all links, by host."""

    def __init__(self, *, loop, port, hello, is_in_other_region, on_news):
        self._loop = loop
        self._port = port
        self._hello = hello
        self._is_in_other_region = is_in_other_region
        self._on_news = on_news
        self._links = {}
        self._numbers = itertools.count(1)

    def make_number(self):
        """Return a number that no other call of this process has."""
        return next(self._numbers)

    def get(self, host):
        """Return the link to a host."""
        link = self._links.get(host)
        if link is None:
            link = self._links[host] = OutLink(
                loop=self._loop,
                address=(host, self._port),
                hello=self._hello,
                is_in_other_region=self._is_in_other_region,
                on_news=self._on_news,
            )
        return link

    def tick(self):
        """Look after all links."""
        now = time.monotonic()
        for link in list(self._links.values()):
            link.tick(now)

    def keep(self, hosts):
        """Drop unused links to other hosts."""
        for host in set(self._links) - set(hosts):
            if not self._links[host].pending:
                self._links.pop(host).close()

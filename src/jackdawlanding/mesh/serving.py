"""Links from other daemons: the serving side, and the calls that come over them."""

import logging
import time

from jackdawlanding.decisions import outcomes
from jackdawlanding.mesh import codec, messages

logger = logging.getLogger("jackdaw.links")

# Replies of calls that must not run twice are kept until acknowledged, for as long
# as a caller tries to reach a silent host, and some more.
KEPT_SECONDS = 5.0
# A host goes on with the calls of a lost link for this long: a caller that lives
# makes a new one within a second.
ORPHAN_SECONDS = 1.5
# Longer than any caller waits for a call.
FORGOTTEN_SECONDS = 600.0


class _Served:
    """One call that this host serves for another daemon."""

    __slots__ = ("ended_at", "handle", "is_safe", "link", "reply")

    def __init__(self, *, link, is_safe):
        self.link = link
        self.is_safe = is_safe
        self.handle = None
        self.reply = None
        self.ended_at = 0.0


class InLink:
    """The host's side of one link."""

    def __init__(self, *, server, stream):
        self._server = server
        self.stream = stream
        self._encoder = codec.Encoder()
        self._decoder = codec.Decoder()
        self.hello = None
        stream.on_data = self._take
        stream.on_closed = lambda was_reset: server.note_lost(self)

    def send(self, message):
        """Send a message; on a lost link nothing happens."""
        self.stream.write(self._encoder.encode(message))

    def pack(self):
        """Pack what is sent from now on: the caller is in another region."""
        self._encoder.is_packed = True

    def _take(self, data):
        try:
            received = self._decoder.feed(data)
        except codec.MessageError as error:
            logger.warning("links: a peer is cut off: %s", error)
            self.stream.close()
            self._server.note_lost(self)
            return
        for message in received:
            if self.stream.is_closed:
                return
            self._server.dispatch(self, message)


class LinkServer:
    """The host's sides of all links, and the calls that came over them.

    :param welcome: the :class:`messages.Welcome` of this daemon.
    :param executor: an ``executor.Executor``, which runs the calls.
    :param is_in_other_region: tells whether a failure domain is in another region.
    :param on_news: called with the link and each message that is no call.
    """

    def __init__(self, *, loop, welcome, executor, is_in_other_region, on_news):
        self._loop = loop
        self._welcome = welcome
        self._is_in_other_region = is_in_other_region
        self._executor = executor
        self._on_news = on_news
        self._links = {}
        self._served = {}
        # Incarnations some of whose calls were dropped, by when.
        self._forgotten = {}
        self._actions = {
            messages.Hello: self._greet,
            messages.Call: self._call,
            messages.Cancel: self._cancel,
            messages.Resume: self._resume,
            messages.Ack: self._acknowledge,
            messages.Ping: self._answer_ping,
        }

    @property
    def links(self):
        """The links by the caller's incarnation."""
        return self._links

    def accept(self, stream, host):
        """Take a new connection; called by a listener."""
        InLink(server=self, stream=stream)

    def dispatch(self, link, message):
        """Serve one message of a link."""
        action = self._actions.get(type(message))
        if action is None:
            self._on_news(link, message)
        elif link.hello is None and action != self._greet:
            logger.warning("links: a peer that did not say who it is is cut off.")
            link.stream.close()
        else:
            action(link, message)

    def note_lost(self, link):
        """Go on with the calls of a lost link for a while, then drop them."""
        if link.hello and self._links.get(link.hello.incarnation) is link:
            self._loop.call_later(ORPHAN_SECONDS, lambda: self._drop_orphans(link))

    def sweep(self):
        """Forget replies that were kept for long enough."""
        now = time.monotonic()
        for key, served in list(self._served.items()):
            if served.reply and now - served.ended_at > KEPT_SECONDS:
                self._forgotten[key[0]] = now
                del self._served[key]
        for incarnation, at in list(self._forgotten.items()):
            if now - at > FORGOTTEN_SECONDS:
                del self._forgotten[incarnation]

    def _greet(self, link, hello):
        older = self._links.get(hello.incarnation)
        link.hello = hello
        self._links[hello.incarnation] = link
        if older is not None and older is not link:
            # What still arrives on the older link must not start a call.
            older.stream.close()
            for key, served in self._served.items():
                if key[0] == hello.incarnation:
                    served.link = link
        link.send(self._welcome)
        if self._is_in_other_region(hello.failure_domain):
            link.pack()

    def _call(self, link, call):
        key = (link.hello.incarnation, call.number)
        if key in self._served:
            logger.warning("links: call %d came twice.", call.number)
            return
        served = self._served[key] = _Served(link=link, is_safe=call.is_safe)
        served.handle = self._executor.submit(
            call, lambda reply: self._finish(key, served, reply)
        )

    def _finish(self, key, served, reply):
        served.link.send(reply)
        is_kept = reply.arrived and not served.is_safe
        if not is_kept and not served.link.stream.is_closed:
            self._served.pop(key, None)
            return
        served.reply = reply
        served.handle = None
        served.ended_at = time.monotonic()

    def _cancel(self, link, message):
        served = self._served.pop((link.hello.incarnation, message.number), None)
        if served and served.handle:
            self._executor.cancel(served.handle)

    def _resume(self, link, message):
        for number in message.numbers:
            served = self._served.get((link.hello.incarnation, number))
            if served is None:
                link.send(self._make_unknown(link.hello.incarnation, number))
            elif served.reply is not None:
                link.send(served.reply)

    def _make_unknown(self, incarnation, number):
        """Return the reply for a call that this host does not know."""
        if incarnation in self._forgotten:
            return messages.make_failure(
                number, "forgotten", outcome=outcomes.Outcome.UNKNOWN
            )
        return messages.make_failure(
            number, messages.NOT_RECEIVED, outcome=outcomes.Outcome.NOT_RUN
        )

    def _acknowledge(self, link, message):
        for number in message.numbers:
            self._served.pop((link.hello.incarnation, number), None)

    def _answer_ping(self, link, message):
        link.send(messages.Pong(number=message.number))

    def _drop_orphans(self, link):
        incarnation = link.hello.incarnation
        if self._links.get(incarnation) is not link:
            return
        del self._links[incarnation]
        self._forgotten[incarnation] = time.monotonic()
        for key, served in list(self._served.items()):
            if key[0] != incarnation:
                continue
            del self._served[key]
            if served.handle:
                self._executor.cancel(served.handle)

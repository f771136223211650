"""What backend servers say of themselves in their answers.

A backend server in need names the rate of requests that it takes, and one that is
leaving says so. The daemon beside it hears this first; the others learn it from
replies. A daemon that restarts knows nothing of it until the first answer, unless
a call tells it.
"""

import typing

# How long a notice is kept for an instance that is in no directory any more: longer
# than a leaving backend server runs on.
RETENTION_SECONDS = 600.0


class Notice(typing.NamedTuple):
    """What one answer says of its backend server.

    ``rate`` is how many requests a second it takes from all daemons together,
    ``None`` if it names no limit.
    """

    rate: float | None = None
    is_leaving: bool = False


EMPTY = Notice()


class DatedNotice(typing.NamedTuple):
    """A notice as daemons tell it to each other.

    ``born`` is when the backend server that gave it started, 0 if that is unknown: it
    may start again under its name, and daemons learn of that at different times.
    """

    notice: Notice
    born: int


def make_dated(values):
    """Return a :class:`DatedNotice` from its fields as they were sent."""
    notice, born = values
    return DatedNotice(notice=Notice(*notice), born=born)


def _is_earlier(born, other):
    """Return whether a start is known to be before another one."""
    return 0 < born < other


class LocalNotice:
    """The notice in force at the local backend server.

    ``current`` is ``None`` until an answer or a call tells it, and ``instance`` names
    the backend server that it is of: others may follow at the same address.
    """

    def __init__(self):
        # The instance in the directory.
        self._listed = ""
        self._reset("")

    def get(self, instance):
        """Return the :class:`DatedNotice` of a backend server, ``None`` if unknown."""
        if instance != self.instance or self.current is None:
            return None
        return DatedNotice(notice=self.current, born=self._born)

    def is_leaving(self, instance):
        """Whether a backend server said that it is leaving."""
        dated = self.get(instance)
        return dated is not None and dated.notice.is_leaving

    def identify(self, *, instance, born):
        """Forget the notice of an earlier start than the one in the directory.

        An entry of another backend server that was known before ends no notice: an
        answer of the next one may come before its entry.

        :param born: when it started, 0 if that is unknown.
        :returns: whether the notice in force changed.
        """
        is_listed, self._listed = instance == self._listed, instance
        previous = self.current or EMPTY
        if instance == self.instance:
            if _is_earlier(self._born, born):
                self._reset(instance, born=born)
            elif self._born == 0 < born:
                self._attribute(born)
        elif not is_listed:
            self._reset(instance, born=born)
        return (self.current or EMPTY) != previous

    def record_answer(self, *, now, sent_at, instance, notice, is_success):
        """Merge the notice of an answer; return whether the current one changed.

        An answer without a rate lifts the limit only if its request was sent after
        the limit became known: answers of different connections arrive in any order.

        :param sent_at: when the request was sent.
        :param instance: the backend server that answered.
        :param is_success: whether the answer is valid and complete, and no failure.
            Others may come from another part of the backend server and lack headers.
        """
        previous = self.current or EMPTY
        if instance != self.instance:
            self._reset(instance)
        known = self.current or EMPTY
        rate = notice.rate
        if rate is not None:
            self._named_at = now
        elif not is_success or sent_at <= self._named_at:
            rate = known.rate
        if is_success:
            self._has_answered = True
        merged = Notice(rate=rate, is_leaving=known.is_leaving or notice.is_leaving)
        if is_success or merged != EMPTY:
            self.current = merged
        return merged != previous

    def adopt(self, *, now, instance, dated):
        """Adopt what a call tells until an answer does; return whether it is new.

        :param dated: a :class:`DatedNotice`.
        """
        if self._has_answered or self.current is not None:
            return False
        if instance != self.instance:
            self._reset(instance)
        elif _is_earlier(dated.born, self._born):
            return False
        self._born = max(self._born, dated.born)
        self.current = dated.notice
        self._named_at = now
        return True

    def _attribute(self, born):
        """Attribute a notice of an unknown start to the first one that is known.

        That one may be later than the leave of the unknown one. If it is not, its
        next answer says again that it leaves.
        """
        self._born = born
        if self.current is not None:
            self.current = self.current._replace(is_leaving=False)

    def _reset(self, instance, *, born=0):
        self.instance = instance
        self.current = None
        self._born = born
        self._has_answered = False
        self._named_at = float("-inf")


class _Heard(typing.NamedTuple):
    """A notice that a reply carried, and when."""

    dated: DatedNotice
    at: float


class RemoteNotices:
    """The notices that replies carried, by instance.

    ``leaving`` holds the names of the instances that are leaving. A notice ends with
    the backend server that gave it: an instance may start again under its name.
    """

    def __init__(self):
        self.leaving = frozenset()
        self._heard = {}

    def get(self, instance):
        """Return the :class:`DatedNotice` of an instance, ``None`` if there is none."""
        heard = self._heard.get(instance)
        return heard and heard.dated

    def record(self, *, now, backend, dated, directory):
        """Store the notice of a reply; an empty one removes that of the instance.

        :param backend: the backend server that the reply is of.
        :param dated: a :class:`DatedNotice`. That of an earlier start than the one in
            the directory tells nothing.
        """
        instance, born = backend.instance, dated.born or backend.born
        listed = directory.get(instance)
        if listed is not None and _is_earlier(born, listed.born):
            return
        if dated.notice == EMPTY:
            self._heard.pop(instance, None)
        else:
            self._heard[instance] = _Heard(dated=dated._replace(born=born), at=now)
        self._update_leaving()

    def apply_directory(self, *, now, directory):
        """Drop the notices of backend servers that have ended."""
        for instance, heard in list(self._heard.items()):
            backend = directory.get(instance)
            if backend is None:
                is_over = now - heard.at > RETENTION_SECONDS
            else:
                is_over = _is_earlier(heard.dated.born, backend.born)
            if is_over:
                del self._heard[instance]
        self._update_leaving()

    def _update_leaving(self):
        self.leaving = frozenset(
            instance
            for instance, heard in self._heard.items()
            if heard.dated.notice.is_leaving
        )

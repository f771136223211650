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
        return instance == self.instance and bool(
            self.current and self.current.is_leaving
        )

    def identify(self, *, instance, born):
        """Forget a leave of an earlier start, and the notice of another server.

        An entry of another backend server that was known before ends no notice: an
        answer of the next one may come before its entry.

        :param born: when it started, 0 if that is unknown.
        :returns: whether the notice in force changed.
        """
        is_listed, self._listed = instance == self._listed, instance
        previous = self.current or EMPTY
        if instance == self.instance:
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
        if instance != self.instance:
            self._reset(instance)
        if self._has_answered or self.current is not None:
            return False
        notice = dated.notice
        if _is_earlier(dated.born, self._born):
            notice = notice._replace(is_leaving=False)
        if notice == EMPTY:
            return False
        self._born = max(self._born, dated.born)
        self.current = notice
        self._named_at = now
        return True

    def _attribute(self, born):
        """Take back a leave that may be of an earlier start than a known one.

        The next answer tells of the leave again if it is of the same start, and
        lifts the limit if it is not.
        """
        if born > self._born:
            self._born = born
            self.current = self.current and self.current._replace(is_leaving=False)

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

    def record(self, *, now, backend, dated, is_answer, directory):
        """Store the notice of a reply; an empty one lifts the limit of the instance.

        :param backend: the backend server that the call was for.
        :param dated: a :class:`DatedNotice`.
        :param is_answer: whether the reply has an answer of the backend server, which
            is then of this start or a later one. A refusal may come from a daemon that
            has not heard of this start.
        """
        instance, notice = backend.instance, dated.notice
        born = max(dated.born, backend.born) if is_answer else dated.born
        listed = directory.get(instance)
        if listed is not None and (not born or born < listed.born):
            notice = notice._replace(is_leaving=False)
        known = self.get(instance)
        if known and known.notice.is_leaving and not _is_earlier(known.born, born):
            # Replies arrive in any order, and a leave is never taken back.
            notice, born = notice._replace(is_leaving=True), known.born
        self._store(instance, DatedNotice(notice=notice, born=born), now)
        self._update_leaving()

    def apply_directory(self, *, now, directory):
        """Drop the leaves of backend servers that have ended.

        A limit holds until an answer of the next start lifts it.
        """
        for instance, (dated, at) in list(self._heard.items()):
            backend = directory.get(instance)
            if backend is None:
                if now - at > RETENTION_SECONDS:
                    del self._heard[instance]
            elif _is_earlier(dated.born, backend.born):
                notice = dated.notice._replace(is_leaving=False)
                self._store(instance, dated._replace(notice=notice), at)
        self._update_leaving()

    def _store(self, instance, dated, at):
        if dated.notice == EMPTY:
            self._heard.pop(instance, None)
        else:
            self._heard[instance] = _Heard(dated=dated, at=at)

    def _update_leaving(self):
        self.leaving = frozenset(
            instance
            for instance, heard in self._heard.items()
            if heard.dated.notice.is_leaving
        )

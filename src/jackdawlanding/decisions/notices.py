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


def _is_restart(before, after):
    """Return whether two times of start are known and differ."""
    return before != after and 0 not in (before, after)


class LocalNotice:
    """The notice in force at the local backend server.

    ``current`` is ``None`` until an answer or a call tells it, and ``instance`` names
    the backend server that it is of: others may follow at the same address.
    """

    def __init__(self):
        # The instance in the directory, and when it started.
        self._start = ("", 0)
        self._reset("")

    def get(self, instance):
        """Return the notice of a backend server, ``None`` if none is known."""
        return self.current if instance == self.instance else None

    def is_leaving(self, instance):
        """Whether a backend server said that it is leaving."""
        notice = self.get(instance)
        return notice is not None and notice.is_leaving

    def identify(self, *, instance, born):
        """Forget the notice of an earlier start than the one in the directory.

        :param born: when it started, 0 if that is not known.
        :returns: whether the notice in force changed.
        """
        former, known = self._start
        is_same = instance == former
        has_restarted = is_same and _is_restart(known, born)
        self._start = (instance, born or (known if is_same else 0))
        if not has_restarted and (is_same or instance == self.instance):
            return False
        previous = self.current
        self._reset(instance)
        return (previous or EMPTY) != EMPTY

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

    def adopt(self, *, now, instance, notice):
        """Adopt what a call tells until an answer does; return whether it is new."""
        if self._has_answered or self.current is not None:
            return False
        self.instance = instance
        self.current = notice
        self._named_at = now
        return True

    def _reset(self, instance):
        self.instance = instance
        self.current = None
        self._has_answered = False
        self._named_at = float("-inf")


class _Heard(typing.NamedTuple):
    """A notice of the backend server of an instance that started at ``born``."""

    notice: Notice
    born: int
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
        """Return the notice of an instance, ``None`` if there is none."""
        heard = self._heard.get(instance)
        return heard and heard.notice

    def record(self, *, now, backend, notice, directory):
        """Store the notice of a reply; an empty one removes that of the instance.

        :param backend: the backend server that the reply is of. The reply of one that
            has started again since tells nothing.
        """
        instance, born = backend.instance, backend.born
        listed = directory.get(instance)
        if listed is not None and _is_restart(born, listed.born):
            return
        if notice == EMPTY:
            self._heard.pop(instance, None)
        else:
            self._heard[instance] = _Heard(notice=notice, born=born, at=now)
        self._update_leaving()

    def apply_directory(self, *, now, directory):
        """Drop the notices of backend servers that have ended."""
        for instance, heard in list(self._heard.items()):
            backend = directory.get(instance)
            if backend is None:
                is_over = now - heard.at > RETENTION_SECONDS
            else:
                is_over = _is_restart(heard.born, backend.born)
            if is_over:
                del self._heard[instance]
        self._update_leaving()

    def _update_leaving(self):
        self.leaving = frozenset(
            instance
            for instance, heard in self._heard.items()
            if heard.notice.is_leaving
        )

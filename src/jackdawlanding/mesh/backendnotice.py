"""The notice of the local backend server: heard, obeyed and passed on."""

import time

from jackdawlanding.decisions import notices
from jackdawlanding.mesh import classification
from jackdawlanding.platform import answers


class BackendNotice:
    """Keeps to what the local backend server says of itself in its answers.

    :param controller: the ``slots.SlotController`` that starts its requests.
    :param on_leaving: called when it says that it is leaving.
    :param metrics: a ``metrics.Metrics``.
    :param log: a ``logs.Log``.
    """

    def __init__(self, *, controller, on_leaving, metrics, log):
        self._controller = controller
        self._on_leaving = on_leaving
        self._metrics = metrics
        self._log = log
        self._local = notices.LocalNotice()

    @property
    def current(self):
        """The :class:`notices.Notice` in force."""
        return self._local.current or notices.EMPTY

    def is_leaving(self, instance):
        """Return whether a backend server said that it is leaving."""
        return self._local.is_leaving(instance)

    def record_answer(self, *, instance, sent_at, outcome, response):
        """Record what the response to a call says.

        A misdirected request was answered by another backend server.

        :param instance: the instance that the request expected.
        :param sent_at: when the call was sent, in ``time.monotonic()`` seconds.
        :param response: ``None`` without a complete one.
        """
        if response is None or outcome is classification.UNKNOWN:
            return
        if response.status == classification.MISDIRECTED_STATUS:
            return
        now = time.monotonic()
        has_changed = self._local.record_answer(
            now=now,
            sent_at=sent_at,
            instance=instance,
            notice=answers.decode_notice(response),
            is_success=classification.is_success(outcome, response),
        )
        if has_changed:
            self._apply(now, "answer")

    def adopt(self, *, call, backend):
        """Adopt the notice that a call tells, if it is of this backend server.

        :param backend: its entry in the directory, or ``None``.
        """
        if backend is not None and backend.instance != call.instance:
            return
        now, dated = time.monotonic(), notices.make_dated(call.notice)
        if self._local.adopt(now=now, instance=call.instance, dated=dated):
            self._apply(now, "peer")

    def identify(self, backend):
        """Forget the notice of a former backend server at this address."""
        if self._local.identify(instance=backend.instance, born=backend.born):
            self._apply(time.monotonic(), "directory")

    def make_dated(self, call, *, instance):
        """Return the :class:`notices.DatedNotice` for the reply to a call, or ``None``.

        An empty notice is told only to a caller that knows another one.

        :param instance: the instance that the call's request expected.
        """
        if self.current == notices.EMPTY and call.notice is None:
            return None
        return self._local.get(instance)

    def _apply(self, now, source):
        notice = self.current
        self._controller.rate_limit.set_rate(now=now, rate=notice.rate)
        self._log.note(
            "host",
            "The backend server's notice changed.",
            instance=self._local.instance,
            rate=notice.rate,
            leaving=notice.is_leaving,
            source=source,
            arrivals=self._metrics.get("host_arrivals"),
            running=self._controller.running,
            queued=self._controller.queued,
        )
        if notice.is_leaving:
            self._on_leaving()

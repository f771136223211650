"""Runs calls at this daemon's own backend server."""

import logging
import time

from jackdawlanding.daemon import (
    backend,
    calls,
    cancellation as cancellations,
    isolation,
    messages,
)
from jackdawlanding.decisions import admission, outcomes, quarantine, rendezvous

logger = logging.getLogger("jackdaw.local")

FAILURE_STATUS = 500
DEATH_REASONS = frozenset({"died", "cut-short"})
SHED_REASONS = DEATH_REASONS | {"timeout"}


class LocalExecutor:
    """Admits calls, runs them and learns from how they end.

    :param context: the daemon's :class:`context.Context`.
    :param announce: called after a death; tells the other daemons of the
        service of the suspects before the caller is answered.
    """

    def __init__(self, *, context, announce):
        self._context = context
        self._announce = announce
        self._isolation = isolation.Isolation()

    def run(self, call, cancellation=None):
        """Run a call; return its :class:`messages.Answer`."""
        refusal, alone = self._check_suspect(call)
        if not refusal and self._lacks_needed(call):
            refusal = "over-limit"
        if refusal:
            return messages.refuse(refusal)
        pending_call = admission.PendingCall(
            work=_inherit_rank(call),
            caller=call.caller,
            deadline=call.deadline,
        )
        reason = self._context.admission.enter(pending_call)
        if reason:
            return messages.refuse(reason)
        answer, nested_seconds = None, 0.0
        try:
            with self._isolation.run(alone=alone, deadline=call.deadline) as entered:
                if entered:
                    answer, nested_seconds = self._call_backend(call, cancellation)
                else:
                    answer = messages.refuse("too-late")
        finally:
            self._context.admission.leave(
                pending_call,
                completion=_find_end(answer),
                nested_seconds=nested_seconds,
            )
        self._judge(call, answer, alone)
        return answer

    def is_suspect(self, call):
        """Return whether a call must run alone, at the instance chosen for it."""
        if not len(self._context.quarantine):
            return False
        deaths = self._context.quarantine.count_crashes(
            now=time.monotonic(), fingerprint=make_fingerprint(call)
        )
        return deaths == 1 and not call.work.once_only

    def _check_suspect(self, call):
        """Return the refusal of a suspect, if any, and whether it runs alone."""
        if not len(self._context.quarantine):
            return "", False
        fingerprint = make_fingerprint(call)
        now = time.monotonic()
        if self._context.quarantine.is_refused(
            now=now, fingerprint=fingerprint, once_only=call.work.once_only
        ):
            return "quarantined", False
        if not self._context.quarantine.count_crashes(now=now, fingerprint=fingerprint):
            return "", False
        names = self._context.get_router(call.service).endpoints
        chosen = choose_suspect_instance(fingerprint, names)
        is_chosen = chosen in (None, self._context.settings.instance)
        return ("", True) if is_chosen else ("suspect", False)

    def _lacks_needed(self, call):
        """Return whether a service that the call will need would shed it."""
        if call.protected:
            return False
        now = time.monotonic()
        for service in self._context.dependencies.list_required(work=call.work.name):
            if not self._context.throttle.admits(
                now=now, service=service, rank=call.rank
            ):
                self._context.metrics.count("refused_early")
                return True
        return False

    def _call_backend(self, call, cancellation=None):
        """Return the answer and the seconds that the call's own calls took."""
        cancellation = cancellation or cancellations.Cancellation()
        token = self._context.held.hold(call)
        answer = None
        try:
            response = self._context.backend.call(
                method=call.method,
                target=call.target,
                headers=calls.make_backend_headers(call, token),
                body=call.body,
                timeout=call.left,
                cancellation=cancellation,
            )
            answer = self._convert_response(response)
        except backend.BackendError as error:
            answer = self._convert_error(error, cancellation)
        finally:
            is_whole = _find_end(answer) is admission.Completion.GOOD
            nested_seconds = self._context.held.drop(token, is_whole=is_whole)
        return answer, nested_seconds

    def _convert_error(self, error, cancellation):
        reason = "timeout" if cancellation.is_cancelled else error.reason
        sent = outcomes.Outcome.UNKNOWN if error.sent else outcomes.Outcome.NOT_RUN
        return messages.refuse(reason, outcome=sent)

    def _convert_response(self, response):
        """A backend server may say itself that it did not run the call."""
        outcome = outcomes.Outcome.DONE
        for key, value in response.headers:
            if key.lower() == messages.OUTCOME_HEADER.lower() and value == b"not-run":
                outcome = outcomes.Outcome.NOT_RUN
        return messages.Answer(response=response, outcome=outcome)

    def _judge(self, call, answer, alone):
        if answer.reason in DEATH_REASONS:
            self._record_crash(call)
        elif alone and answer.outcome is outcomes.Outcome.DONE:
            fingerprint = make_fingerprint(call)
            self._context.quarantine.clear(fingerprint=fingerprint)
            self._context.audit_trail.record(
                "quarantine", cause="a suspect ran", before="suspect", after="cleared"
            )

    def _record_crash(self, call):
        fingerprint = make_fingerprint(call)
        deaths = self._context.quarantine.record_crash(
            now=time.monotonic(), fingerprint=fingerprint
        )
        self._context.audit_trail.record(
            "quarantine",
            cause="a backend server died with the call in flight",
            before=deaths - 1,
            after=deaths,
        )
        logger.warning("local: a backend server died; deaths %d.", deaths)
        self._announce()


def make_fingerprint(call):
    """Return the fingerprint of a call."""
    return quarantine.make_fingerprint(
        service=call.service,
        method=call.method,
        target=call.target,
        key=call.key,
        body=call.body,
    )


def choose_suspect_instance(fingerprint, names):
    """Return the one instance that may run a suspect, or ``None``."""
    order = rendezvous.order(fingerprint, names)
    return order[0] if order else None


def _inherit_rank(call):
    """Return a call's work with the rank of its whole tree."""
    work = call.work
    if (work.rank, work.protected) == (call.rank, call.protected):
        return work
    return work._replace(rank=call.rank, protected=call.protected)


def _find_end(answer):
    """Return what the limit learns from an answer."""
    if answer is None:
        return admission.Completion.FAILED
    if answer.reason in SHED_REASONS:
        return admission.Completion.SHED
    if answer.response.status < FAILURE_STATUS:
        return admission.Completion.GOOD
    said_not_run = answer.outcome is outcomes.Outcome.NOT_RUN and not answer.reason
    return admission.Completion.SHED if said_not_run else admission.Completion.FAILED

"""Runs calls at the local backend server."""

import logging
import time

from jackdawlanding.daemon import (
    backend,
    calls,
    cancellations,
    isolation,
    messages,
)
from jackdawlanding.decisions import admission, outcomes, quarantine, rendezvous

logger = logging.getLogger("jackdaw.local")

FAILURE_STATUS = 500
CRASH_REASONS = frozenset({"died", "cut-short"})
# Calls that end for these reasons lower the concurrency limit, as shed calls do.
ABORT_REASONS = CRASH_REASONS | {"timeout"}


class LocalExecutor:
    """Admits calls, runs them at the local backend server and records their ends.

    :param context: the daemon's :class:`context.Context`.
    :param announce_suspects: called after a crash, before the caller is answered;
        sends the suspects to the other daemons of the service.
    """

    def __init__(self, *, context, announce_suspects):
        self._context = context
        self._announce_suspects = announce_suspects
        self._isolation = isolation.Isolation()

    def run(self, call, cancellation=None):
        """Run a call; return its :class:`messages.Answer`."""
        refusal, exclusive = self._check_suspect(call)
        if not refusal and self._is_dependency_overloaded(call):
            refusal = "over-limit"
        if refusal:
            return messages.refuse(refusal)
        pending_call = admission.PendingCall(
            work=_inherit_rank(call),
            caller=call.caller,
            deadline=call.deadline,
        )
        reason = self._context.admission.wait_for_admission(pending_call)
        if reason:
            return messages.refuse(reason)
        answer, nested_seconds = None, 0.0
        try:
            with self._isolation.run(
                exclusive=exclusive, deadline=call.deadline
            ) as may_run:
                if may_run:
                    answer, nested_seconds = self._call_backend(call, cancellation)
                else:
                    answer = messages.refuse("too-late")
        finally:
            self._context.admission.release(
                pending_call,
                completion=_compute_completion(answer),
                nested_seconds=nested_seconds,
            )
        self._update_quarantine(call, answer, exclusive)
        return answer

    def is_suspect(self, call):
        """Return whether a call may only run alone, at the instance chosen for it."""
        if not len(self._context.quarantine):
            return False
        crashes = self._context.quarantine.count_crashes(
            now=time.monotonic(), fingerprint=make_fingerprint(call)
        )
        return crashes == 1 and not call.work.once_only

    def _check_suspect(self, call):
        """Return the reason to refuse a call, or '', and whether it must run alone."""
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
        instances = self._context.get_router(call.service).endpoints
        chosen_instance = choose_suspect_instance(fingerprint, instances)
        is_chosen = chosen_instance in (None, self._context.settings.instance)
        return ("", True) if is_chosen else ("suspect", False)

    def _is_dependency_overloaded(self, call):
        """Return whether a service that the call depends on would shed it."""
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
        """Return the answer and the seconds that the call's nested calls took."""
        cancellation = cancellation or cancellations.Cancellation()
        token = self._context.active_calls.add(call)
        answer = None
        try:
            response = self._context.backend.call(
                method=call.method,
                target=call.target,
                headers=calls.make_backend_headers(call, token),
                body=call.body,
                timeout=call.remaining,
                cancellation=cancellation,
            )
            answer = self._convert_response(response)
        except backend.BackendError as error:
            answer = self._convert_error(error, cancellation)
        finally:
            is_successful = _compute_completion(answer) is admission.Completion.GOOD
            nested_seconds = self._context.active_calls.remove(
                token, is_successful=is_successful
            )
        return answer, nested_seconds

    def _convert_error(self, error, cancellation):
        reason = "timeout" if cancellation.is_cancelled else error.reason
        outcome = outcomes.Outcome.UNKNOWN if error.sent else outcomes.Outcome.NOT_RUN
        return messages.refuse(reason, outcome=outcome)

    def _convert_response(self, response):
        """Convert a response; its outcome header may say that the call did not run."""
        outcome = outcomes.Outcome.DONE
        for key, value in response.headers:
            if key.lower() == messages.OUTCOME_HEADER.lower() and value == b"not-run":
                outcome = outcomes.Outcome.NOT_RUN
        return messages.Answer(response=response, outcome=outcome)

    def _update_quarantine(self, call, answer, exclusive):
        if answer.reason in CRASH_REASONS:
            self._record_crash(call)
        elif exclusive and answer.outcome is outcomes.Outcome.DONE:
            fingerprint = make_fingerprint(call)
            self._context.quarantine.clear(fingerprint=fingerprint)
            self._context.audit_trail.record(
                "quarantine", cause="a suspect ran", before="suspect", after="cleared"
            )

    def _record_crash(self, call):
        fingerprint = make_fingerprint(call)
        crashes = self._context.quarantine.record_crash(
            now=time.monotonic(), fingerprint=fingerprint
        )
        self._context.audit_trail.record(
            "quarantine",
            cause="a backend server died with the call in flight",
            before=crashes - 1,
            after=crashes,
        )
        logger.warning(
            "local: the backend server crashed; the request has been in %d crashes.",
            crashes,
        )
        self._announce_suspects()


def make_fingerprint(call):
    """Return the digest by which the daemons of a service recognize a request."""
    return quarantine.make_fingerprint(
        service=call.service,
        method=call.method,
        target=call.target,
        key=call.key,
        body=call.body,
    )


def choose_suspect_instance(fingerprint, instances):
    """Return the one instance that may run a suspect, or ``None`` if there is none."""
    ranked_instances = rendezvous.order(fingerprint, instances)
    return ranked_instances[0] if ranked_instances else None


def _inherit_rank(call):
    """Return a call's work with the rank of its whole tree."""
    work = call.work
    if (work.rank, work.protected) == (call.rank, call.protected):
        return work
    return work._replace(rank=call.rank, protected=call.protected)


def _compute_completion(answer):
    """Return how a call ended, for the concurrency limit."""
    if answer is None:
        return admission.Completion.FAILED
    if answer.reason in ABORT_REASONS:
        return admission.Completion.SHED
    if answer.response.status < FAILURE_STATUS:
        return admission.Completion.GOOD
    said_not_run = answer.outcome is outcomes.Outcome.NOT_RUN and not answer.reason
    return admission.Completion.SHED if said_not_run else admission.Completion.FAILED

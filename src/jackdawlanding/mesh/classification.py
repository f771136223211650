"""What a run at the backend server amounts to."""

from jackdawlanding.decisions import outcomes, pacing, quarantine
from jackdawlanding.platform import headers

NOT_RUN = outcomes.Outcome.NOT_RUN
UNKNOWN = outcomes.Outcome.UNKNOWN
DONE = outcomes.Outcome.DONE
STATUS_MISDIRECTED = 421


def make_fingerprint(call):
    """Return the digest by which a repeated request is known."""
    return quarantine.make_fingerprint(
        service=call.service,
        method=call.method,
        target=call.target,
        key=call.caller,
        body=call.body,
    )


def classify_for_pacing(now, handle, is_good):
    """Return whether a run ended badly for want of capacity, ``None`` if unsure."""
    job = handle.job
    allowed = job.objective - job.submitted_at
    if handle.is_starved or now - job.admitted_at > allowed * pacing.LATE_SHARE:
        return True
    return False if is_good else None


def classify(result):
    """Return ``(outcome, arrived, reason)`` of a result of the backend server."""
    response = result.response
    if response is None:
        if not result.sent:
            return NOT_RUN, False, result.reason
        return UNKNOWN, True, result.reason
    if response.status == STATUS_MISDIRECTED or response.get_header(
        headers.NOT_EXECUTED.lower()
    ):
        return NOT_RUN, True, "not-executed"
    if response.get_header(b"content-encoding"):
        return UNKNOWN, True, "encoded"
    if not response.get_header(headers.SIGNATURE.lower()):
        return UNKNOWN, True, "unsigned"
    return DONE, True, ""

"""Classification of the results of calls at the backend server."""

from jackdawlanding.decisions import outcomes, pacing, quarantine
from jackdawlanding.platform import answers, headers

NOT_RUN = outcomes.Outcome.NOT_RUN
UNKNOWN = outcomes.Outcome.UNKNOWN
DONE = outcomes.Outcome.DONE
MISDIRECTED_STATUS = 421
SUCCESS_STATUSES = range(200, 300)


def make_fingerprint(call):
    """Return the digest that all attempts of a request share."""
    return quarantine.make_fingerprint(
        service=call.service,
        method=call.method,
        target=call.target,
        key=call.caller,
        body=call.body,
    )


def classify_for_pacing(now, execution, is_success):
    """Return whether a call ended badly for lack of capacity.

    ``None`` means that its result says nothing about capacity.
    """
    job = execution.job
    allowed = job.objective - job.submitted_at
    if execution.lacked_capacity or now - job.admitted_at > allowed * pacing.LATE_SHARE:
        return True
    return False if is_success else None


def is_success(outcome, response):
    """Return whether a response reports that the request ran and succeeded."""
    return outcome is DONE and response.status in SUCCESS_STATUSES


def get_retry_after(outcome, response):
    """Return after how many seconds a request that has not run may come again.

    0 if its backend server, with ``response``, named none.
    """
    if outcome is not NOT_RUN or response is None:
        return 0.0
    return answers.decode_retry_after(response)


def is_misdirected(result):
    """Return whether a ``backends.Result`` says that another instance runs here."""
    return result.response is not None and result.response.status == MISDIRECTED_STATUS


def classify(result):
    """Return ``(outcome, arrived, reason)`` of a ``backends.Result``.

    ``arrived`` is whether the backend server may have received the request, and
    ``reason`` is ``""`` for a valid response.
    """
    response = result.response
    if response is None:
        if not result.sent:
            return NOT_RUN, False, result.reason
        return UNKNOWN, True, result.reason
    if is_misdirected(result):
        return NOT_RUN, True, "misdirected"
    if response.get_header(headers.NOT_EXECUTED.lower()):
        return NOT_RUN, True, "not-executed"
    if response.get_header(b"content-encoding"):
        return UNKNOWN, True, "encoded"
    if not response.get_header(headers.SIGNATURE.lower()):
        return UNKNOWN, True, "unsigned"
    return DONE, True, ""

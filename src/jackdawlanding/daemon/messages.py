"""Answers and refusals passed between the daemon's components, and their headers."""

import json
import random
import typing

from jackdawlanding.decisions import outcomes
from jackdawlanding.wire import http

HEADER_PREFIX = b"jackdaw-"
CALL_HEADER = b"Jackdaw-Call"
DEADLINE_HEADER = b"Jackdaw-Deadline-Ms"
RANK_HEADER = b"Jackdaw-Rank"
ALLOWANCE_HEADER = b"Jackdaw-Allowance"
CALLER_HEADER = b"Jackdaw-Caller"
OUTCOME_HEADER = b"Jackdaw-Outcome"
REASON_HEADER = b"Jackdaw-Reason"
# Bounds of the Retry-After header; each refusal draws its value at random.
RETRY_AFTER_SECONDS = (1, 4)


class Answer(typing.NamedTuple):
    """The result of a call: a response, its outcome and the reason of a refusal.

    ``confirmed`` says that the owner or the witness of a once-only key gave the
    outcome, which then holds for the key and not just for this attempt.
    """

    response: http.Response
    outcome: outcomes.Outcome
    reason: str = ""
    confirmed: bool = False

    @property
    def is_refusal(self):
        """Whether a daemon refused the call, and no backend server answered it."""
        return bool(self.reason)


class Refusal(typing.NamedTuple):
    """A kind of refusal: its HTTP status, its title and advice to the caller."""

    status: int
    title: str
    remedy: str


REFUSALS = {
    "over-limit": Refusal(503, "The service is over its limit", "Try again later."),
    "too-late": Refusal(503, "The deadline cannot be met", "Try again later."),
    "leaving": Refusal(503, "This instance is leaving", "Try another instance."),
    "no-instance": Refusal(503, "No instance can take the call", "Try again later."),
    "unreachable": Refusal(502, "The backend server is unreachable", "Try again."),
    "peer-lost": Refusal(502, "The answer was lost on its way", "Ask for its state."),
    "cut-short": Refusal(502, "The answer was cut short", "Ask for its state."),
    "died": Refusal(502, "The backend server died", "Ask for its state."),
    "timeout": Refusal(504, "No answer before the deadline", "Ask for its state."),
    "key-missing": Refusal(400, "This work needs a key", "Send the declared header."),
    "key-too-old": Refusal(400, "The key is older than its horizon", "Use a new key."),
    "already-ran": Refusal(409, "An earlier attempt ran", "Do not send it again."),
    "attempt-running": Refusal(409, "An earlier attempt runs", "Wait for its answer."),
    "attempt-unknown": Refusal(
        409, "An earlier attempt may have run", "Ask for its state."
    ),
    "not-established": Refusal(
        503,
        "This attempt was not run; an earlier one may have been",
        "Send it again with the same key.",
    ),
    "keys-full": Refusal(503, "No room for another key", "Try again later."),
    "suspect": Refusal(
        503, "This request was there when a backend server died", "Try again later."
    ),
    "quarantined": Refusal(
        503, "This request crashed backend servers", "Do not send it again."
    ),
    "undeclared-service": Refusal(
        502, "The service is not declared", "Declare it in calls and publish."
    ),
    "internal": Refusal(500, "The daemon failed", "Report it."),
}


def refuse(reason, *, outcome=outcomes.Outcome.NOT_RUN, detail=""):
    """Return the answer that refuses a call.

    :param reason: a key of :data:`REFUSALS`.
    :param detail: text sent in place of the kind's remedy.
    :raises KeyError: the reason is not in :data:`REFUSALS`.
    """
    kind = REFUSALS[reason]
    document = {
        "type": f"urn:jackdawlanding:refusal:{reason}",
        "title": kind.title,
        "status": kind.status,
        "outcome": outcome.label,
        "detail": detail or kind.remedy,
    }
    headers = [
        (b"Content-Type", b"application/problem+json"),
        (OUTCOME_HEADER, outcome.label.encode()),
        (REASON_HEADER, reason.encode()),
    ]
    if kind.status in (429, 503):
        wait = random.randint(*RETRY_AFTER_SECONDS)
        headers.append((b"Retry-After", str(wait).encode()))
    response = http.Response(
        status=kind.status,
        headers=tuple(headers),
        body=json.dumps(document).encode(),
    )
    return Answer(response=response, outcome=outcome, reason=reason)


def strip_headers(headers, *, kept=()):
    """Return ``headers`` without hop-by-hop headers and Jackdaw headers.

    :param kept: names that a ``Connection`` header can't leave out.
    """
    kept = http.END_TO_END_HEADERS.union(name.lower().encode() for name in kept)
    return tuple(
        (key, value)
        for key, value in http.remove_hop_by_hop_headers(headers, kept=kept)
        if not key.lower().startswith(HEADER_PREFIX)
    )


def pack_headers(headers):
    """Encode header pairs as lines of bytes, separated by CRLF."""
    return b"\r\n".join(key + b": " + value for key, value in headers)


def unpack_headers(data):
    """Decode the header pairs that :func:`pack_headers` encoded."""
    if not data:
        return ()
    pairs = (line.partition(b": ") for line in data.split(b"\r\n"))
    return tuple((key, value) for key, _, value in pairs)

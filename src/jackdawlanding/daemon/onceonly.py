"""Runs once-only calls: the owner and the witness of a key each record it."""

import collections
import concurrent.futures
import threading
import time

from jackdawlanding.daemon import attempts, dispatch, messages
from jackdawlanding.decisions import keys, outcomes, ownership, pauses

MAXIMUM_CACHED_BYTES = 1 << 20
MAXIMUM_CACHED_ANSWER_BYTES = 8192
DEFAULT_HORIZON_SECONDS = 900.0

# Whether an attempt ran, as ``KeyLedger.finish`` takes it.
RAN_BY_OUTCOME = {
    outcomes.Outcome.NOT_RUN: False,
    outcomes.Outcome.DONE: True,
    outcomes.Outcome.UNKNOWN: None,
}
# Reason and outcome of the answer to a duplicate, by the state of its key.
DUPLICATE_REFUSALS = {
    keys.State.RUNNING: ("attempt-running", outcomes.Outcome.UNKNOWN),
    keys.State.UNKNOWN: ("attempt-unknown", outcomes.Outcome.UNKNOWN),
    keys.State.DONE: ("already-ran", outcomes.Outcome.DONE),
}


class AnswerCache:
    """Small answers of once-only calls, for callers that did not receive them."""

    def __init__(self):
        self._answers = collections.OrderedDict()
        self._cached_bytes = 0

    def get(self, key):
        """Return the answer stored for a key's digest, or ``None``."""
        return self._answers.get(key)

    def put(self, key, answer):
        """Store an answer if it is small; evict the oldest ones over the size limit."""
        size = len(answer.response.body)
        if size > MAXIMUM_CACHED_ANSWER_BYTES or key in self._answers:
            return
        self._answers[key] = answer
        self._cached_bytes += size
        while self._cached_bytes > MAXIMUM_CACHED_BYTES:
            _, removed = self._answers.popitem(last=False)
            self._cached_bytes -= len(removed.response.body)


class OnceOnly:
    """The local daemon's part in the once-only calls of its service.

    :param context: the daemon's :class:`context.Context`.
    :param local_executor: a :class:`executor.LocalExecutor`.
    :param send_to: see :meth:`dispatch.Dispatcher.send_to`.
    :param find_address: called with a member's name; returns its peer address, or ''.
    """

    def __init__(self, *, context, local_executor, send_to, find_address):
        self._context = context
        self._local_executor = local_executor
        self._send_to = send_to
        self._find_address = find_address
        self._running = {}
        self._cached_answers = AnswerCache()
        self.lock = threading.Lock()
        self.pause_guard = pauses.PauseGuard(now=time.monotonic())
        self.ledger = keys.KeyLedger(
            horizon=DEFAULT_HORIZON_SECONDS,
            capacity=context.settings.key_capacity,
        )
        self.ownership = ownership.Ownership(
            local_member=context.roster.local_member,
            horizon=DEFAULT_HORIZON_SECONDS,
            fresh_seconds=context.settings.fresh_seconds,
            gone_seconds=context.settings.gone_seconds,
            outage_seconds=context.settings.outage_seconds,
        )

    def start(self, call):
        """Send a call to the witness of its key, or attempt it at the local daemon."""
        refusal = self._check_key(call)
        if refusal:
            return refusal
        with self.lock:
            pair = self.ownership.choose_pair(self._digest(call))
        owner, witness = pair
        if owner is None:
            return messages.refuse("not-established")
        if witness is None or witness == self.ownership.local_member:
            return self.attempt(call, pair)
        address = self._find_address(witness)
        answer, _ = self._send_to(
            call,
            address=address,
            role=dispatch.ROLE_WITNESS,
            pair=pair,
            share=call.allowance.take_share(),
        )
        return answer

    def attempt(self, call, pair):
        """Attempt a call as the witness or the owner of its key, once for each key.

        A witness sends the call on to the owner; the owner runs it.

        :param pair: the owner and the witness that the sender chose.
        """
        key = self._digest(call)
        made_at = keys.parse_uuid_time(call.key)
        now = time.monotonic()
        with self.lock:
            record = self.ledger.get(now=now, key=key)
            running = self._running.get(key)
            if record is None:
                refusal = self._check_may_run(now, key, pair, made_at)
                if refusal:
                    return refusal
                self.ledger.begin(now=now, key=key)
                running = self._running[key] = concurrent.futures.Future()
        if record is not None:
            return self._answer_duplicate(call, key, record, running)
        return self._run_attempt(call, key, pair, running)

    def set_horizon(self, seconds):
        """Apply the declared repeat horizon, in seconds."""
        with self.lock:
            self.ledger.horizon = seconds
            self.ownership.horizon = seconds

    def _run_attempt(self, call, key, pair, running):
        answer = messages.refuse("internal", outcome=outcomes.Outcome.UNKNOWN)
        try:
            answer = self._run(call, pair)._replace(confirmed=True)
        finally:
            with self.lock:
                self.ledger.finish(
                    now=time.monotonic(), key=key, ran=RAN_BY_OUTCOME[answer.outcome]
                )
                if answer.outcome is outcomes.Outcome.DONE and not answer.reason:
                    self._cached_answers.put(key, answer)
                del self._running[key]
            running.set_result(answer)
        return answer

    def _run(self, call, pair):
        owner, _ = pair
        if owner == self.ownership.local_member:
            return self._local_executor.run(call)
        answer, _ = self._send_to(
            call,
            address=self._find_address(owner),
            role=dispatch.ROLE_OWNER,
            pair=pair,
            share=call.allowance.take_share(),
        )
        # An owner that answers has recorded the key too. If the owner never
        # received the call, this witness alone confirms that nothing ran.
        return answer

    def _check_key(self, call):
        if not call.key:
            return messages.refuse(
                "key-missing", detail=f"Send the header {call.work.key_header}."
            )
        made_at = keys.parse_uuid_time(call.key)
        if made_at is not None and time.time() - made_at > self.ledger.horizon:
            return messages.refuse("key-too-old", outcome=outcomes.Outcome.UNKNOWN)
        return None

    def _check_may_run(self, now, key, pair, made_at):
        if self.pause_guard.is_paused(now=now):
            self.ownership.require_new_evidence(now=now)
        if not self.ownership.may_act(now=now, key=key, pair=pair, made_at=made_at):
            self._context.metrics.count("not_established")
            return messages.refuse("not-established")
        if not self.ledger.has_room(now=now):
            return messages.refuse("keys-full")
        return None

    def _answer_duplicate(self, call, key, record, running):
        if running is not None:
            self._context.metrics.count("joined")
            return attempts.wait_for_answer(call, running)
        cached = self._cached_answers.get(key)
        if cached is not None:
            return cached
        reason, outcome = DUPLICATE_REFUSALS[record.state]
        return messages.refuse(reason, outcome=outcome)._replace(confirmed=True)

    def _digest(self, call):
        declaration = self._context.declaration
        has_caller = bool(declaration and declaration.caller.header)
        return dispatch.digest_key(call, has_caller=has_caller)

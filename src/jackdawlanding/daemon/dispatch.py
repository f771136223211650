"""Sends calls to instances of their service, with bounded retries."""

import time

from jackdawlanding.daemon import executor, messages, peers
from jackdawlanding.decisions import outcomes, rendezvous
from jackdawlanding.wire import codec, framing, http

MAXIMUM_ATTEMPTS = 4
# What the receiving daemon is asked to do with a call; sent as numbers.
ROLE_SERVE = 0
ROLE_WITNESS = 1
ROLE_OWNER = 2

SHED_REASONS = frozenset({"over-limit", "too-late"})
# No backend server received these calls, and another instance may accept them:
# a retry takes nothing from the allowance or the budget.
FREE_RETRY_REASONS = frozenset({"suspect", "leaving"})
# Reasons that allow a retry, by the outcome of the attempt. With an unknown
# outcome, the work must be repeatable too.
RETRYABLE_NOT_RUN = frozenset({"unreachable"})
RETRYABLE_UNKNOWN = frozenset({"died", "cut-short", "peer-lost"})


class Dispatcher:
    """Chooses an instance for each call and retries the call where that is allowed.

    :param context: the daemon's :class:`context.Context`.
    :param local_executor: a :class:`executor.LocalExecutor`.
    :param start_once_only: called with a once-only call; sends it to the owner
        and the witness of its key and returns the answer.
    """

    def __init__(self, *, context, local_executor, start_once_only):
        self._context = context
        self._local_executor = local_executor
        self._start_once_only = start_once_only

    def dispatch(self, call):
        """Return the answer to a call from a caller or the local backend server."""
        answer = self._dispatch(call)
        self._context.throttle.record(
            now=time.monotonic(),
            service=call.service,
            rank=call.rank,
            shed=answer.reason in SHED_REASONS,
        )
        return answer

    def _dispatch(self, call):
        self._context.budget.record_first_try()
        self._context.metrics.count("first_tries")
        tried_instances = set()
        answer = None
        for _ in range(MAXIMUM_ATTEMPTS):
            instance = self._choose_instance(call, tried_instances, answer)
            if instance is None:
                return answer or self._refuse_early(call)
            answer = self._send(call, instance)
            if not self._may_retry(call, answer):
                return answer
            tried_instances.add(instance)
        return answer

    def send_to(self, call, *, address, role=ROLE_SERVE, pair=("", ""), share=0):
        """Send a call to another daemon; return the answer and the peer's message.

        The message is ``None`` if the peer did not answer.

        :param pair: the owner and the witness of a once-only key.
        :param share: retries of the call tree that the peer may use.
        """
        timeout = call.remaining
        if timeout <= 0:
            return messages.refuse("too-late"), None
        if not address:
            return messages.refuse("unreachable"), None

        def encode(message_id):
            return codec.encode_call(
                _make_call_message(call, message_id, role, pair, share)
            )

        try:
            reply = self._context.pool.request(
                address=address,
                kind=framing.Kind.CALL,
                encode=encode,
                body=call.body,
                timeout=timeout,
            )
        except peers.PeerError as error:
            outcome = (
                outcomes.Outcome.UNKNOWN if error.sent else outcomes.Outcome.NOT_RUN
            )
            return messages.refuse(error.reason, outcome=outcome), None
        return convert_answer(reply), reply.message

    def _choose_instance(self, call, tried_instances, answer):
        """Return the name of the instance for the next attempt, or ``None``."""
        if self._is_suspect(call, answer):
            instances = self._context.get_router(call.service).endpoints
            return executor.choose_suspect_instance(
                executor.make_fingerprint(call), instances
            )
        local_instance = self._context.settings.instance
        is_local_service = call.service == self._context.settings.service
        is_shutting_down = self._context.shutting_down.is_set()
        if (
            is_local_service
            and local_instance not in tried_instances
            and not is_shutting_down
        ):
            if not self._context.admission.is_full() or call.work.once_only:
                return local_instance
            return (
                self._choose_remote(call, {*tried_instances, local_instance})
                or local_instance
            )
        return self._choose_remote(call, {*tried_instances, local_instance})

    def _choose_remote(self, call, exclude):
        endpoint = self._context.get_router(call.service).choose(
            now=time.monotonic(),
            rank=call.rank,
            cross_region=call.work.cross_region or call.protected,
            exclude=exclude,
        )
        return endpoint.instance if endpoint else None

    def _is_suspect(self, call, answer):
        if call.work.once_only:
            return False
        if answer is None:
            return self._local_executor.is_suspect(call)
        return answer.reason in ("suspect", *executor.CRASH_REASONS)

    def _refuse_early(self, call):
        """Refuse a call that no instance would accept, without sending it."""
        self._context.metrics.count("refused_early")
        known_instances = self._context.get_router(call.service).endpoints
        return messages.refuse("over-limit" if known_instances else "no-instance")

    def _send(self, call, instance):
        if instance == self._context.settings.instance:
            return self._run_locally(call)
        router = self._context.get_router(call.service)
        endpoint = router.endpoints.get(instance)
        if endpoint is None:
            return messages.refuse("no-instance")
        share = call.allowance.take_share()
        router.record_sent(instance=instance)
        started_at = time.monotonic()
        answer, message = self.send_to(call, address=endpoint.address, share=share)
        self._update_router(router, instance, started_at, answer, message)
        # Without an answer the peer may still use the share: returning it could
        # count the same retries twice.
        if message:
            call.allowance.return_unused(retries=min(share, message.allowance_left))
        elif answer.outcome is outcomes.Outcome.NOT_RUN:
            call.allowance.return_unused(retries=share)
        return answer

    def _run_locally(self, call):
        if call.work.once_only:
            return self._start_once_only(call)
        return self._local_executor.run(call)

    def _update_router(self, router, instance, started_at, answer, message):
        now = time.monotonic()
        if message:
            router.record_answer(
                now=now,
                instance=instance,
                latency=now - started_at,
                in_flight=message.in_flight,
                limit=message.limit,
                threshold=message.threshold,
                draining=message.draining,
            )
        elif router.record_failure(now=now, instance=instance):
            self._context.audit_trail.record(
                "routing", cause=answer.reason, before=instance, after="ejected"
            )

    def _may_retry(self, call, answer):
        if call.remaining <= 0:
            return False
        if answer.reason in FREE_RETRY_REASONS:
            return True
        if not _is_retryable(call, answer):
            return False
        if not call.allowance.take():
            return False
        if not self._context.budget.spend():
            call.allowance.return_unused(retries=1)
            return False
        self._context.metrics.count("retries")
        return True


def _is_retryable(call, answer):
    if answer.outcome is outcomes.Outcome.NOT_RUN:
        return answer.reason in RETRYABLE_NOT_RUN
    return call.work.repeatable and answer.reason in RETRYABLE_UNKNOWN


def _make_call_message(call, message_id, role, pair, share):
    return codec.CallMessage(
        id=message_id,
        service=call.service,
        method=call.method,
        target=call.target,
        headers=messages.pack_headers(call.headers),
        remaining=call.remaining,
        allowance=share,
        caller=call.caller,
        key=call.key,
        role=role,
        owner=pair[0],
        witness=pair[1] or "",
        rank=call.rank,
        protected=call.protected,
    )


def convert_answer(reply):
    """Convert a peer's reply to a :class:`messages.Answer`."""
    message = reply.message
    response = http.Response(
        status=message.status,
        headers=messages.unpack_headers(message.headers),
        body=reply.body,
    )
    return messages.Answer(
        response=response,
        outcome=outcomes.Outcome(message.outcome),
        reason=message.reason,
        confirmed=message.confirmed,
    )


def digest_key(call, *, has_caller):
    """Return the digest of a once-only call's key.

    :param has_caller: whether the caller's declared identity is part of it.
    """
    scope = call.caller if has_caller else ""
    return rendezvous.digest(call.service, call.work.name, scope, call.key)

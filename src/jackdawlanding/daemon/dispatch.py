"""Sends a call to an instance of its service, with bounded retries."""

import time

from jackdawlanding.daemon import executor, messages, peers
from jackdawlanding.decisions import outcomes, rendezvous
from jackdawlanding.wire import codec, framing, http

MAXIMUM_ATTEMPTS = 4
ROLE_SERVE = 0
ROLE_WITNESS = 1
ROLE_OWNER = 2

SHED_REASONS = frozenset({"over-limit", "too-late"})
# No backend server saw these calls, and another instance may take them.
FREE_RETRY_REASONS = frozenset({"suspect", "leaving"})
RETRYABLE_NOT_RUN = frozenset({"unreachable"})
RETRYABLE_UNKNOWN = frozenset({"died", "cut-short", "peer-lost"})


class Dispatcher:
    """Chooses where a call goes and whether it goes again.

    :param context: the daemon's :class:`context.Context`.
    :param local_executor: a :class:`executor.LocalExecutor`.
    :param start_once_only: starts a once-only call at its pair.
    """

    def __init__(self, *, context, local_executor, start_once_only):
        self._context = context
        self._local_executor = local_executor
        self._start_once_only = start_once_only

    def dispatch(self, call):
        """Return the answer to a call of a caller or of the backend server."""
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
            target = self._choose_instance(call, tried_instances, answer)
            if target is None:
                return answer or self._refuse_early(call)
            answer = self._send(call, target)
            if not self._may_retry(call, answer):
                return answer
            tried_instances.add(target)
        return answer

    def send_to(self, call, *, address, role=ROLE_SERVE, pair=("", ""), share=0):
        """Send a call to one daemon; return the answer and its message.

        The message is ``None`` where no answer came.
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
            sent = outcomes.Outcome.UNKNOWN if error.sent else outcomes.Outcome.NOT_RUN
            return messages.refuse(error.reason, outcome=sent), None
        return convert_answer(reply), reply.message

    def _choose_instance(self, call, tried_instances, answer):
        """Return the name of the instance to try, or ``None``."""
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
        """Refuse here what would be refused at its end."""
        self._context.metrics.count("refused_early")
        known_instances = self._context.get_router(call.service).endpoints
        return messages.refuse("over-limit" if known_instances else "no-instance")

    def _send(self, call, target):
        if target == self._context.settings.instance:
            return self._run_locally(call)
        router = self._context.get_router(call.service)
        endpoint = router.endpoints.get(target)
        if endpoint is None:
            return messages.refuse("no-instance")
        share = call.allowance.take_share()
        router.record_sent(instance=target)
        started_at = time.monotonic()
        answer, message = self.send_to(call, address=endpoint.address, share=share)
        self._update_router(router, target, started_at, answer, message)
        # A share that got lost with its answer stays lost: never two copies.
        if message:
            call.allowance.return_unused(retries=min(share, message.allowance_left))
        elif answer.outcome is outcomes.Outcome.NOT_RUN:
            call.allowance.return_unused(retries=share)
        return answer

    def _run_locally(self, call):
        if call.work.once_only:
            return self._start_once_only(call)
        return self._local_executor.run(call)

    def _update_router(self, router, target, started_at, answer, message):
        now = time.monotonic()
        if message:
            router.record_answer(
                now=now,
                instance=target,
                latency=now - started_at,
                in_flight=message.in_flight,
                limit=message.limit,
                threshold=message.threshold,
                draining=message.draining,
            )
        elif router.record_failure(now=now, instance=target):
            self._context.audit_trail.record(
                "routing", cause=answer.reason, before=target, after="ejected"
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
    """Convert a peer's reply to an answer."""
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

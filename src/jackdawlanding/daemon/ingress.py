"""Receives calls from callers, the local backend server and other daemons."""

import contextlib
import threading
import time

from jackdawlanding.daemon import attempts, calls, dispatch, messages
from jackdawlanding.decisions import allowances, outcomes, works
from jackdawlanding.wire import codec

HOST_HEADER = b"host"
# Shares of the worker threads that the steps of a call may keep busy.
CALLER_SHARE = 0.5
ROLE_SHARES = {
    dispatch.ROLE_SERVE: 0.65,
    dispatch.ROLE_WITNESS: 0.75,
    dispatch.ROLE_OWNER: 0.85,
}
# The part of each share that unprotected calls may use.
UNPROTECTED_SHARE = 0.8
CALL_TOKEN_HEADER = messages.CALL_HEADER.lower()


class Ingress:
    """Makes calls of incoming requests and answers them.

    :param context: the daemon's :class:`context.Context`.
    :param dispatcher: a :class:`dispatch.Dispatcher`.
    :param local_executor: a :class:`executor.LocalExecutor`.
    :param once_only: a :class:`onceonly.OnceOnly`.
    """

    def __init__(self, *, context, dispatcher, local_executor, once_only):
        self._context = context
        self._dispatcher = dispatcher
        self._local_executor = local_executor
        self._once_only = once_only
        self._running_attempts = attempts.RunningAttempts()
        self._busy_count = 0
        self._busy_lock = threading.Lock()

    def serve_caller(self, request):
        """Answer a request from outside; any Jackdaw headers in it are ignored."""
        started_at = time.monotonic()
        call = self._make_root_call(request)
        with self._count_busy():
            if self._is_short_of_threads(
                call.protected, dispatch.ROLE_SERVE, is_from_caller=True
            ):
                answer = messages.refuse("over-limit")
            elif started_at >= self._context.refuses_at:
                answer = messages.refuse("leaving")
            elif call.key:
                answer = self._serve_deduplicated(call)
            else:
                answer = self._dispatch(call)
        return self._finish(call, answer, started_at)

    def serve_backend(self, request):
        """Answer a request that the local backend server makes."""
        started_at = time.monotonic()
        service = request.get_header_text(HOST_HEADER).partition(":")[0]
        token = request.get_header_text(CALL_TOKEN_HEADER)
        parent = self._context.active_calls.find_parent(token, service=service)
        declaration = self._context.get_declaration(service)
        if declaration is None:
            return messages.refuse(
                "undeclared-service", detail=f"Add {service!r} to calls and publish."
            )
        call = self._make_nested_call(request, service, declaration, parent)
        answer = self._dispatch(call)
        self._context.active_calls.add_nested_seconds(
            token, seconds=time.monotonic() - started_at
        )
        return self._finish(call, answer, started_at)

    def serve_peer(self, message, body, cancellation):
        """Answer a call that another daemon forwarded; it is not forwarded again.

        The exception is a once-only call, which goes on to the witness and then to
        the owner of its key: two steps at most.

        Returns the answer message and the body of the answer.
        """
        started_at = time.monotonic()
        call = self._make_peer_call(message, body)
        with self._count_busy():
            if self._is_short_of_threads(
                call.protected, message.role, is_from_caller=False
            ):
                answer = messages.refuse("over-limit")
            else:
                answer = self._serve_role(call, message, cancellation)
        self._record(call, answer, started_at)
        controller = self._context.admission.controller
        reply = codec.AnswerMessage(
            id=message.id,
            status=answer.response.status,
            headers=messages.pack_headers(answer.response.headers),
            outcome=answer.outcome,
            reason=answer.reason,
            allowance_left=call.allowance.remaining,
            threshold=self._context.admission.get_threshold(),
            in_flight=controller.in_flight + controller.queued,
            limit=controller.limit.limit,
            draining=self._context.shutting_down.is_set(),
            confirmed=answer.confirmed,
        )
        return reply, answer.response.body

    def _is_short_of_threads(self, protected, role, *, is_from_caller):
        """Return whether too many threads are busy to accept one more such call.

        Each step of a call blocks a thread until the next step at another daemon
        has answered. A later step may use a larger share of the threads than an
        earlier one, so that two daemons never wait for each other's threads.
        """
        if self._context.settings.pass_through:
            return False
        share = CALLER_SHARE if is_from_caller else ROLE_SHARES[role]
        if not protected:
            share *= UNPROTECTED_SHARE
        return self._busy_count > self._context.settings.threads * share

    @contextlib.contextmanager
    def _count_busy(self):
        with self._busy_lock:
            self._busy_count += 1
        try:
            yield
        finally:
            with self._busy_lock:
                self._busy_count -= 1

    def _serve_role(self, call, message, cancellation):
        pair = (message.owner, message.witness or None)
        if message.role in (dispatch.ROLE_WITNESS, dispatch.ROLE_OWNER):
            return self._once_only.attempt(call, pair)
        if self._context.shutting_down.is_set():
            return messages.refuse("leaving")
        if call.work.once_only:
            return self._once_only.start(call)
        return self._local_executor.run(call, cancellation)

    def _serve_deduplicated(self, call):
        """Answer a duplicate with the result of the attempt in progress, if any."""
        key = (call.caller, call.method, call.target, call.key)
        running = self._running_attempts.join_or_begin(key)
        if running is not None:
            self._context.metrics.count("joined")
            return attempts.wait_for_answer(call, running)
        answer = messages.refuse("internal", outcome=outcomes.Outcome.UNKNOWN)
        try:
            answer = self._dispatch(call)
        finally:
            self._running_attempts.finish(key, answer)
        return answer

    def _dispatch(self, call):
        return self._dispatcher.dispatch(call)

    def _finish(self, call, answer, started_at):
        self._record(call, answer, started_at)
        return _adjust_outcome(call, answer)

    def _record(self, call, answer, started_at):
        self._context.metrics.record_call(
            rank=call.rank,
            outcome=answer.outcome.label,
            reason=answer.reason,
            seconds=time.monotonic() - started_at,
        )

    def _find_work(self, declaration, request):
        work = declaration.find_work(method=request.method, target=request.target)
        return self._context.adjust_work(work)

    def _make_root_call(self, request):
        service = self._context.settings.service
        declaration = self._context.declaration
        if declaration is None:
            work = works.make_undeclared(method=request.method, path=request.target)
            caller, retries = request.peer, 0
        else:
            work = self._find_work(declaration, request)
            caller = _get_caller(declaration, request)
            retries = declaration.retry_allowance
        return calls.Call(
            service=service,
            method=request.method,
            target=request.target,
            headers=messages.strip_headers(request.headers, kept=(work.key_header,)),
            body=request.body,
            work=work,
            rank=work.rank,
            protected=work.protected,
            caller=caller,
            key=_get_key(work, request),
            deadline=time.monotonic() + work.deadline_seconds,
            allowance=allowances.TreeAllowance(retries=retries),
        )

    def _make_nested_call(self, request, service, declaration, parent):
        work = self._find_work(declaration, request)
        deadline = time.monotonic() + work.deadline_seconds
        retries = allowances.TreeAllowance(retries=declaration.retry_allowance)
        return calls.Call(
            service=service,
            method=request.method,
            target=request.target,
            headers=messages.strip_headers(request.headers, kept=(work.key_header,)),
            body=request.body,
            work=work,
            rank=parent.rank if parent else works.LOWEST_RANK,
            protected=bool(parent and parent.protected),
            caller=parent.caller if parent else self._context.settings.service,
            key=_get_key(work, request),
            deadline=min(deadline, parent.deadline) if parent else deadline,
            allowance=parent.allowance if parent else retries,
        )

    def _make_peer_call(self, message, body):
        declaration = self._context.declaration
        if declaration is None:
            work = works.make_undeclared(method=message.method, path=message.target)
        else:
            work = self._find_work(declaration, message)
        return calls.Call(
            service=message.service,
            method=message.method,
            target=message.target,
            headers=messages.unpack_headers(message.headers),
            body=body,
            work=work,
            rank=message.rank,
            protected=message.protected,
            caller=message.caller,
            key=message.key,
            deadline=time.monotonic() + message.remaining,
            allowance=allowances.TreeAllowance(retries=message.allowance),
        )


def _get_caller(declaration, request):
    name = declaration.caller.header
    return (
        request.get_header_text(name.lower().encode()) if name else ""
    ) or request.peer


def _get_key(work, request):
    if not work.key_header:
        return ""
    return request.get_header_text(work.key_header.lower().encode())


def _adjust_outcome(call, answer):
    """Return the answer with the outcome that holds for the caller's key.

    A refusal of a once-only call that neither the owner nor the witness confirmed
    concerns this attempt only: an earlier attempt with the key may have run.
    """
    if not answer.is_refusal or not call.work.once_only or answer.confirmed:
        return answer
    if answer.outcome is not outcomes.Outcome.NOT_RUN or answer.reason == "key-missing":
        return answer
    refusal = messages.refuse(answer.reason, outcome=outcomes.Outcome.UNKNOWN)
    return answer._replace(response=refusal.response)

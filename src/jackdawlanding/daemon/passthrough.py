"""Pass-through mode, for comparison: no limits, and retries at each hop."""

import random

from jackdawlanding.daemon import dispatch, executor, messages

MAXIMUM_ATTEMPTS = 3
FAILURE_STATUS = 500


class PassThroughExecutor(executor.LocalExecutor):
    """Runs every call at once, without admission or quarantine."""

    def run(self, call, cancellation=None):
        """Run a call; return its :class:`messages.Answer`."""
        if call.remaining <= 0:
            return messages.refuse("too-late")
        answer, _ = self._call_backend(call, cancellation)
        return answer

    def is_suspect(self, call):
        """Return ``False``: no suspects are recorded."""
        return False


class PassThroughDispatcher(dispatch.Dispatcher):
    """Sends calls to random instances and retries failures at each hop."""

    def dispatch(self, call):
        """Return the answer to a call, after at most ``MAXIMUM_ATTEMPTS``."""
        self._context.metrics.count("first_tries")
        answer = self._send_to_random_instance(call)
        for _ in range(MAXIMUM_ATTEMPTS - 1):
            if answer.response.status < FAILURE_STATUS or call.remaining <= 0:
                break
            self._context.metrics.count("retries")
            answer = self._send_to_random_instance(call)
        return answer

    def _send_to_random_instance(self, call):
        if call.service == self._context.settings.service:
            return self._local_executor.run(call)
        instances = list(self._context.get_router(call.service).endpoints)
        if not instances:
            return messages.refuse("no-instance")
        return self._send(call, random.choice(instances))

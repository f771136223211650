"""One request on its way through the entry."""

import time

from jackdawlanding.platform import headers


class Exchange:
    """One request from its arrival to its answer."""

    __slots__ = (
        "arrivals",
        "backend",
        "deadline",
        "fallback",
        "link",
        "may_have_run",
        "number",
        "objective",
        "offers",
        "submitted_at",
        "parent",
        "request",
        "request_id",
        "retry_probability",
        "respond",
        "retry_after",
        "route",
        "service",
        "started",
        "timer",
        "tried",
        "_entry",
    )

    def __init__(self, *, entry, request, respond):
        self._entry = entry
        self.request = request
        self.respond = respond
        self.started = time.monotonic()
        self.request_id = request.get_header(headers.REQUEST_ID.lower()).decode(
            "latin-1"
        )
        # The call that the own backend server runs and that made this request.
        self.parent = None
        self.route = None
        self.service = ""
        self.deadline = 0.0
        self.objective = 0.0
        self.arrivals = 0
        self.offers = 0
        self.submitted_at = 0.0
        self.tried = set()
        self.backend = None
        self.link = None
        self.number = 0
        self.retry_after = 0.0
        self.timer = None
        # Whether an attempt may have run, and an answer that is better than none.
        self.may_have_run = False
        self.fallback = None
        self.retry_probability = 0.0

    @property
    def is_nested(self):
        """Whether the own backend server made the request."""
        return self.parent is not None

    @property
    def rank(self):
        """The rank of the request that all this is done for."""
        return self.parent.call.rank if self.parent else self.route.rank

    def cancel(self):
        """The caller has gone: stop the work."""
        self._entry.abandon(self, "caller-gone")


class LocalLink:
    """Calls to the host in this process, in the shape of a link."""

    def __init__(self, *, executor):
        self._executor = executor
        self._handles = {}

    def call(self, call, respond):
        """Submit a call to the own host."""

        def finish(reply):
            self._handles.pop(call.number, None)
            respond(reply)

        handle = self._executor.submit(call, finish)
        if not handle.is_ended:
            self._handles[call.number] = handle

    def cancel(self, number):
        """Give up a call; return whether it certainly never runs."""
        handle = self._handles.pop(number, None)
        return handle is not None and self._executor.cancel(handle)

"""State of one request in the dispatcher, and calls to the local executor."""

from jackdawlanding.platform import headers


class Exchange:
    """State of one request from its arrival to its response.

    Times are ``time.monotonic()`` seconds.

    :param dispatcher: the ``dispatcher.Dispatcher`` that serves it.
    :param request: a ``http.Request``.
    :param respond: called with the response; ``None`` once that has happened.
    :param received_at: when the request was received.
    """

    __slots__ = (
        "arrivals",
        "backend",
        "deadline",
        "fallback",
        "link",
        "may_have_run",
        "number",
        "objective",
        "submissions",
        "submitted_at",
        "parent",
        "request",
        "request_id",
        "reserved",
        "retry_probability",
        "respond",
        "retry_after",
        "route",
        "service",
        "started_at",
        "timer",
        "tried",
        "_dispatcher",
    )

    def __init__(self, *, dispatcher, request, respond, received_at):
        self._dispatcher = dispatcher
        self.request = request
        self.respond = respond
        self.started_at = received_at
        self.request_id = request.get_header(headers.REQUEST_ID.lower()).decode(
            "latin-1"
        )
        # The local execution whose backend server made this request, if any.
        self.parent = None
        self.route = None
        self.service = ""
        self.deadline = 0.0
        self.objective = 0.0
        # Attempts that reached a backend server.
        self.arrivals = 0
        self.submissions = 0
        self.submitted_at = 0.0
        self.tried = set()
        self.backend = None
        self.link = None
        # The number of the current call on the link, 0 without one.
        self.number = 0
        self.retry_after = 0.0
        self.timer = None
        self.may_have_run = False
        # Bytes of room that are reserved for the answer.
        self.reserved = 0
        # An error response of a backend server, used if no retry succeeds.
        self.fallback = None
        self.retry_probability = 0.0

    @property
    def is_nested(self):
        """Whether the local backend server made the request."""
        return self.parent is not None

    @property
    def rank(self):
        """The rank of the first request in the chain of calls."""
        return self.parent.call.rank if self.parent else self.route.rank

    def cancel(self):
        """Stop the work because the caller has disconnected."""
        self._dispatcher.abandon(self, "caller-gone")


class LocalLink:
    """Calls to the executor in this process, with the interface of a link."""

    def __init__(self, *, executor):
        self._executor = executor
        self._executions = {}

    def call(self, call, respond):
        """Submit a call; ``respond(reply)`` is called once unless it is cancelled."""

        def finish(reply):
            self._executions.pop(call.number, None)
            respond(reply)

        execution = self._executor.submit(call, finish)
        if not execution.is_ended:
            self._executions[call.number] = execution

    def cancel(self, number):
        """Cancel a call; return whether it certainly never runs."""
        execution = self._executions.pop(number, None)
        return execution is not None and self._executor.cancel(execution)

"""Names of the headers that the platform's callers and backend servers use."""

REQUEST_ID = b"X-Request-Id"
DEADLINE = b"X-Deadline-Ms"
# The service of the instance where the request began; the daemon always sets it.
CALLER = b"X-Caller-Service"
EXPECTED_INSTANCE = b"X-Expected-Instance"
# The name of the backend server in the answer to a health check.
INSTANCE_ID = b"X-Instance-Id"
SIGNATURE = b"X-Server-Signature"
NOT_EXECUTED = b"X-Not-Executed"
RETRY_AFTER = b"Retry-After"
# The requests a second that a backend server takes from all daemons together.
SERVER_LIMIT = b"Server-Limit"
# "1" in the answers of a backend server that is leaving.
SERVER_LEAVING = b"Server-Leaving"
# Rises each time that the store is restored from a copy; in all of its answers.
STORE_ERA = b"Store-Era"

# The lower-case names of what callers and backend servers tell each other: no
# ``Connection`` option takes these out of a message.
END_TO_END = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        DEADLINE,
        CALLER,
        EXPECTED_INSTANCE,
        SIGNATURE,
        NOT_EXECUTED,
        RETRY_AFTER,
        SERVER_LIMIT,
        SERVER_LEAVING,
    )
)

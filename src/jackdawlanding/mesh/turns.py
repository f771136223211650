"""Turns of connections at reading large messages, where few can be held at once."""

# A turn ends where nothing comes for this long.
TURN_SECONDS = 0.1


class Turn:
    """When a connection's turn at reading a large message began to be due.

    ``since`` is ``None`` while no large message arrives.
    """

    __slots__ = ("received_at", "since")

    def __init__(self):
        self.since = None
        self.received_at = 0.0

    def record(self, *, now, is_large):
        """Record that bytes came, and whether they are part of a large message."""
        self.received_at = now
        if not is_large:
            self.since = None
        elif self.since is None:
            self.since = now

    def end(self):
        """Forget a large message that is lost with its connection."""
        self.since = None


def share(readers, *, count, now):
    """Let the first ``count`` of some readers read, and pause the others.

    One that may read, but gets nothing, comes last.

    :param readers: objects with a ``turn`` that is due and an open ``stream``.
    """
    for reader in readers:
        is_quiet = now - reader.turn.received_at > TURN_SECONDS
        if is_quiet and not reader.stream.is_paused:
            reader.turn.since = now
    readers = sorted(readers, key=lambda reader: reader.turn.since)
    for reader in readers[:count]:
        if reader.stream.is_paused:
            reader.turn.received_at = now
            reader.stream.resume()
    for reader in readers[count:]:
        reader.stream.pause()

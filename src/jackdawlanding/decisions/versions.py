"""Which published value is in force: the highest version, whoever brings it."""

import enum
import threading
import typing


class ApplyResult(enum.Enum):
    """What became of an offered value."""

    ADOPTED = "adopted"
    KNOWN = "known"
    OLDER = "older"
    REFUSED = "refused"


class Held(typing.NamedTuple):
    """A value in force: its version, its bytes and what they decode to."""

    version: int
    data: bytes
    publication: typing.Any


class Decoded(typing.NamedTuple):
    """What a decoder returns: a publication, or why there is none."""

    ok: typing.Any
    error: str

    def is_error(self):
        """Return whether there is no publication."""
        return self.ok is None


class ActivePublications:
    """The values in force, one a service; versions only grow.

    :param decode: turns bytes into a publication; returns a result with
        ``is_error()``, ``ok`` and ``error``.
    """

    def __init__(self, *, decode):
        self._decode = decode
        self._held = {}
        self._lock = threading.Lock()

    def get(self, service):
        """Return the value in force of a service, or ``None``."""
        return self._held.get(service)

    def version(self, service):
        """Return the version in force of a service, 0 where there is none."""
        held = self._held.get(service)
        return held.version if held else 0

    def versions(self):
        """Return the version in force of each service held."""
        return {service: held.version for service, held in self._held.items()}

    def apply(self, *, service, data):
        """Apply a value that a platform read or a peer brought.

        :returns: a pair of an :class:`ApplyResult` and the reason of a refusal.
        """
        result = self._decode(data, service=service)
        if result.is_error():
            return ApplyResult.REFUSED, result.error
        publication = result.ok
        with self._lock:
            known = self.version(service)
            if publication.version < known:
                return ApplyResult.OLDER, ""
            if publication.version == known:
                return ApplyResult.KNOWN, ""
            self._held[service] = Held(
                version=publication.version, data=data, publication=publication
            )
        return ApplyResult.ADOPTED, ""

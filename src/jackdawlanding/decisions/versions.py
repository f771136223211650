"""Selects the published value in force for each service: the highest version."""

import enum
import threading
import typing


class ApplyResult(enum.Enum):
    """What became of a value that was applied."""

    ADOPTED = "adopted"
    KNOWN = "known"
    OLDER = "older"
    REFUSED = "refused"


class ActivePublication(typing.NamedTuple):
    """A value in force: its version, its bytes and the publication in them."""

    version: int
    data: bytes
    publication: typing.Any


class Decoded(typing.NamedTuple):
    """The result of a decoder: a publication, or why there is none."""

    ok: typing.Any
    error: str

    def is_error(self):
        """Return whether there is no publication."""
        return self.ok is None


class ActivePublications:
    """The value in force of each service; its version never decreases.

    :param decode: called with bytes and a keyword ``service``; returns a result
        such as :class:`Decoded`, with ``is_error()``, ``ok`` and ``error``.
    """

    def __init__(self, *, decode):
        self._decode = decode
        self._active = {}
        self._lock = threading.Lock()

    def get(self, service):
        """Return the :class:`ActivePublication` of a service, or ``None``."""
        return self._active.get(service)

    def get_version(self, service):
        """Return the version in force of a service, 0 where there is none."""
        active = self._active.get(service)
        return active.version if active else 0

    def list_versions(self):
        """Return a dictionary of each service's name to its version in force."""
        return {service: active.version for service, active in self._active.items()}

    def apply(self, *, service, data):
        """Put a value in force if its version is higher than the current one.

        :param data: bytes from the platform or from a peer.
        :returns: a pair of an :class:`ApplyResult` and the reason if refused.
        """
        result = self._decode(data, service=service)
        if result.is_error():
            return ApplyResult.REFUSED, result.error
        publication = result.ok
        with self._lock:
            known = self.get_version(service)
            if publication.version < known:
                return ApplyResult.OLDER, ""
            if publication.version == known:
                return ApplyResult.KNOWN, ""
            self._active[service] = ActivePublication(
                version=publication.version, data=data, publication=publication
            )
        return ApplyResult.ADOPTED, ""

"""Which of several records of an address names the backend server that runs there.

Another writer may put a record at the address of a live backend server, sound in each
field. The server itself is the judge: it answers with its name, or refuses a request
that expects another instance.
"""

import typing

# How long a record counts as disproved. A later start has another time of birth and
# isn't bound by it; this bounds an error of the judge.
DISPROOF_SECONDS = 5.0


class Choice(typing.NamedTuple):
    """The records of an address that are in use, one for each service.

    ``doubted`` holds the instances among them that are used only if no other may be
    tried: a newer record of another service names their address.
    """

    records: tuple = ()
    doubted: frozenset = frozenset()


class Occupants:
    """Remembers who answered at each address, and which records were disproved.

    ``names`` maps an address, a pair of host and port, to the instance that answered
    there last. Records are ``directory.Record`` objects with a backend.
    """

    def __init__(self):
        self.names = {}
        # Until when a record is disproved, by its identity; the oldest first.
        self._disproved = {}

    def disprove(self, *, now, record):
        """Record that the backend server of a record doesn't run at its address.

        :returns: whether that is new.
        """
        identity = _get_identity(record)
        is_new = self._disproved.pop(identity, None) is None
        self._disproved[identity] = now + DISPROOF_SECONDS
        return is_new

    def is_disproved(self, record):
        """Return whether a record is disproved."""
        return bool(self._disproved) and _get_identity(record) in self._disproved

    def expire(self, *, now):
        """Forget old disproofs; return the names of their instances."""
        expired = []
        while self._disproved:
            identity, until = next(iter(self._disproved.items()))
            if until > now:
                break
            del self._disproved[identity]
            expired.append(identity[0])
        return expired

    def choose(self, address, records):
        """Return the :class:`Choice` among the records of an address.

        Of each service the record of the instance that answered last counts, or else
        the newest. One that is draining comes after those that are not: a leave binds
        its own instance alone.
        """
        confirmed = self.names.get(address, "")
        sound = [record for record in records if not self.is_disproved(record)]
        by_service = {}
        for record in sorted(
            sound or records, key=lambda record: _rank(record, confirmed)
        ):
            by_service[record.backend.service] = record
        chosen = tuple(by_service.values())
        if len(chosen) < 2 and sound:
            return Choice(records=chosen)
        newest = max(sound, key=get_age_key, default=None)
        return Choice(
            records=chosen,
            doubted=frozenset(
                record.backend.instance
                for record in chosen
                if record.backend.instance != confirmed
                and (newest is None or record.backend.service != newest.backend.service)
            ),
        )


def get_age_key(record):
    """Return the key by which the records of an address are sorted, newest last."""
    return record.backend.born, record.revision


def _rank(record, confirmed):
    backend = record.backend
    return (
        not backend.is_draining,
        backend.instance == confirmed,
        *get_age_key(record),
    )


def _get_identity(record):
    """Return what tells a record from one of a later start of the same instance."""
    backend = record.backend
    return backend.instance, backend.born, 0 if backend.born else record.revision

"""Reads of the platform: published values and lists of instances, over HTTP.

The platform is only ever read. The paths are those of ``docs/platform.md``.
"""

import typing
import urllib.parse

import msgspec
import pycurl

from jackdawlanding.decisions import membership

TIMEOUT_MILLIS = 2000


class PlatformError(Exception):
    """A read that failed; what was known stays in force."""


class Entry(typing.NamedTuple):
    """One instance as the platform lists it."""

    instance: str
    address: str
    region: str
    failure_domain: str
    state: str = "live"


class PlatformReader:
    """Reads from the platform on one kept connection; used by one thread.

    :param address: ``host:port`` of the platform.
    """

    def __init__(self, *, address):
        self._base = f"http://{address}"
        self._curl = pycurl.Curl()
        self._curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MILLIS)
        self._curl.setopt(pycurl.NOSIGNAL, 1)
        self.reads = 0

    def read_value(self, service):
        """Return the published bytes of a service, ``None`` if there are none.

        :raises PlatformError: the read failed.
        """
        return self._get(f"/v1/values/{urllib.parse.quote(service)}")

    def read_instances(self, service):
        """Return the listed instances of a service as ``membership.ListedInstance``.

        :raises PlatformError: the read failed or does not decode.
        """
        data = self._get(f"/v1/instances/{urllib.parse.quote(service)}") or b"[]"
        try:
            entries = msgspec.json.decode(data, type=list[dict])
            entries = [msgspec.convert(one, Entry) for one in map(_order, entries)]
        except (msgspec.MsgspecError, KeyError) as error:
            raise PlatformError(f"a list does not decode: {error}") from error
        return [
            membership.ListedInstance(
                instance=one.instance,
                address=one.address,
                region=one.region,
                failure_domain=one.failure_domain,
                leaving=one.state == "leaving",
            )
            for one in entries
        ]

    def close(self):
        """Close the connection."""
        self._curl.close()

    def _get(self, path):
        self.reads += 1
        self._curl.setopt(pycurl.URL, self._base + path)
        try:
            data = self._curl.perform_rb()
        except pycurl.error as error:
            raise PlatformError(f"the platform did not answer: {error}") from error
        status = self._curl.getinfo(pycurl.RESPONSE_CODE)
        if status == 404:
            return None
        if status != 200:
            raise PlatformError(f"the platform answered {status}")
        return data


def _order(entry):
    """Return an entry's values in the order of :class:`Entry`'s fields."""
    defaults = Entry._field_defaults
    return [
        entry[name] if name not in defaults else entry.get(name, defaults[name])
        for name in Entry._fields
    ]

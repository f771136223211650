"""HTTP client of the platform, for published values and lists of instances.

It only reads. The paths are described in ``docs/platform.md``.
"""

import typing
import urllib.parse

import msgspec
import pycurl

from jackdawlanding.decisions import membership

TIMEOUT_MILLIS = 2000


class PlatformError(Exception):
    """A read failed; values that were read before stay active."""


class InstanceEntry(typing.NamedTuple):
    """One entry of a list of instances, with the keys of the platform's documents."""

    instance: str
    address: str
    region: str
    failure_domain: str
    state: str = "live"


class PlatformReader:
    """Reads from the platform over one persistent connection; used by one thread.

    :param address: ``host:port`` of the platform.
    """

    def __init__(self, *, address):
        self._base = f"http://{address}"
        self._curl = pycurl.Curl()
        self._curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MILLIS)
        self._curl.setopt(pycurl.NOSIGNAL, 1)
        self.reads = 0

    def read_value(self, service):
        """Return the published value of a service as bytes, or ``None``.

        :raises PlatformError: the read failed.
        """
        return self._fetch(f"/v1/values/{urllib.parse.quote(service)}")

    def read_instances(self, service):
        """Return the instances of a service as a list of ``membership.ListedInstance``.

        :raises PlatformError: the read failed, or its result can't be decoded.
        """
        data = self._fetch(f"/v1/instances/{urllib.parse.quote(service)}") or b"[]"
        try:
            entries = msgspec.json.decode(data, type=list[dict])
            entries = [
                msgspec.convert(values, InstanceEntry)
                for values in map(_list_values, entries)
            ]
        except (msgspec.MsgspecError, KeyError) as error:
            raise PlatformError(
                f"the list of instances can't be decoded: {error}"
            ) from error
        return [
            membership.ListedInstance(
                instance=entry.instance,
                address=entry.address,
                region=entry.region,
                failure_domain=entry.failure_domain,
                leaving=entry.state == "leaving",
            )
            for entry in entries
        ]

    def close(self):
        """Close the connection."""
        self._curl.close()

    def _fetch(self, path):
        self.reads += 1
        self._curl.setopt(pycurl.URL, self._base + path)
        try:
            data = self._curl.perform_rb()
        except pycurl.error as error:
            raise PlatformError(f"the platform did not respond: {error}") from error
        status = self._curl.getinfo(pycurl.RESPONSE_CODE)
        if status == 404:
            return None
        if status != 200:
            raise PlatformError(f"the platform responded with status {status}")
        return data


def _list_values(document):
    """Return a document's values in the order of :class:`InstanceEntry`'s fields."""
    defaults = InstanceEntry._field_defaults
    return [
        document[name] if name not in defaults else document.get(name, defaults[name])
        for name in InstanceEntry._fields
    ]

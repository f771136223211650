"""HTTP client of the platform, for published values and lists of instances.

It only reads. The paths are described in ``docs/platform.md``.
"""

import logging
import typing
import urllib.parse

import msgspec
import pycurl

from jackdawlanding.decisions import membership
from jackdawlanding.settings import addresses

logger = logging.getLogger("jackdaw.values")

TIMEOUT_MILLIS = 2000
# What an entry that another program wrote raises while it is decoded.
_ENTRY_ERRORS = (msgspec.MsgspecError, KeyError, ValueError, RecursionError)


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

        A malformed entry is logged and passed over.

        :raises PlatformError: the read failed, or its result is no list.
        """
        data = self._fetch(f"/v1/instances/{urllib.parse.quote(service)}") or b"[]"
        try:
            entries = msgspec.json.decode(data, type=list[msgspec.Raw])
        except (msgspec.MsgspecError, RecursionError) as error:
            raise PlatformError(
                f"the list of instances can't be decoded: {error}"
            ) from error
        instances = []
        for entry in entries:
            try:
                instances.append(_decode_instance(entry))
            except _ENTRY_ERRORS as error:
                logger.warning(
                    "values: an entry of %s is passed over: %.80s.", service, error
                )
        return instances

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


def _decode_instance(data):
    """Return the ``membership.ListedInstance`` of one entry's JSON."""
    values = _list_values(msgspec.json.decode(data, type=dict))
    entry = msgspec.convert(values, InstanceEntry)
    addresses.Address.parse(entry.address)
    return membership.ListedInstance(
        instance=entry.instance,
        address=entry.address,
        region=entry.region,
        failure_domain=entry.failure_domain,
        leaving=entry.state == "leaving",
    )


def _list_values(document):
    """Return a document's values in the order of :class:`InstanceEntry`'s fields."""
    defaults = InstanceEntry._field_defaults
    return [
        document[name] if name not in defaults else document.get(name, defaults[name])
        for name in InstanceEntry._fields
    ]

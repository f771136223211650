"""Reads and checks the settings of a mesh daemon from a JSON file."""

import json
import typing

from jackdawlanding import exceptions
from jackdawlanding.settings import addresses

FILE_VARIABLE = "JACKDAWLANDING_CONFIG"


class MeshSettings(typing.NamedTuple):
    """The settings of one mesh daemon; durations are in seconds.

    ``host`` is this instance's IP address. Peers connect to ``peer_port`` of each
    other's hosts; a daemon behind a port forwarder listens on ``peer_listen_port``
    instead. ``failure_domains`` maps each failure domain to its region.
    Of all daemons together, the retries that reach a service in any
    ``retry_window`` are at most ``retry_ratio`` of its requests, plus
    ``retry_slack``. The defaults are the platform's usual limits, without slack.
    """

    instance: str
    service: str
    host: str
    region: str
    failure_domain: str
    failure_domains: dict
    backend_address: addresses.Address
    outbound_address: addresses.Address
    readiness_address: addresses.Address
    peer_port: int
    metrics_port: int
    store_address: addresses.Address
    grace: float = 6.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 0.0
    peer_listen_port: int = 0

    def is_in_other_region(self, failure_domain):
        """Return whether a failure domain is in another region.

        An unknown one counts as in this region.
        """
        return self.failure_domains.get(failure_domain, self.region) != self.region


# Keys that have a unit in their name: the field of MeshSettings and the factor that
# converts the value to the unit of the field.
_FIELDS_BY_KEY = {
    "grace_seconds": ("grace", 1.0),
    "retry_window_seconds": ("retry_window", 1.0),
}


def load(path):
    """Return the checked settings of a JSON file.

    :raises exceptions.SettingError: the file can't be read, or a value in it is
        missing or invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError) as error:
        raise exceptions.SettingError(
            flag=FILE_VARIABLE,
            value=path,
            problem=f"the file can't be read ({error})",
            remedy="name a JSON file that the daemon may read",
        ) from error
    return make(document)


def make(document):
    """Return checked settings from a decoded JSON object.

    Unknown keys are ignored; a key whose value is ``null`` counts as missing.

    :raises exceptions.SettingError: a value is missing or invalid.
    """
    values = {}
    for key, value in document.items():
        field, factor = _FIELDS_BY_KEY.get(key, (key, None))
        if field in MeshSettings._fields and value is not None:
            values[field] = _convert(key, field, value, factor)
    missing = [
        name
        for name in MeshSettings._fields
        if name not in values and name not in MeshSettings._field_defaults
    ]
    if missing:
        raise exceptions.SettingError(
            flag=missing[0],
            value="",
            problem="the setting is missing",
            remedy="add it to the settings file",
        )
    return MeshSettings(**values)


def _convert(key, field, value, factor):
    field_type = MeshSettings.__annotations__[field]
    try:
        if field_type is addresses.Address:
            return addresses.Address.parse(value)
        if field_type is float:
            number = float(value) * (factor or 1.0)
            if number < 0:
                raise ValueError("the value is below 0")
            return number
        if not isinstance(value, field_type) or isinstance(value, bool):
            raise ValueError(f"the value is not of type {field_type.__name__}")
        return value
    except (TypeError, ValueError, AttributeError) as error:
        raise exceptions.SettingError(
            flag=key,
            value=value,
            problem=str(error),
            remedy="correct it in the settings file",
        ) from error

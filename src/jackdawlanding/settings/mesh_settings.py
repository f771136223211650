"""Settings of a mesh daemon: a JSON file that is checked whole."""

import json
import typing

from jackdawlanding import exceptions
from jackdawlanding.settings import addresses

FILE_VARIABLE = "JACKDAWLANDING_CONFIG"


class MeshSettings(typing.NamedTuple):
    """One mesh daemon's settings; durations are seconds.

    ``host`` is this instance's IP number; peers listen on ``peer_port`` of
    theirs. ``failure_domains`` maps each failure domain to its region. Repeats
    that reach a service are bounded, over all daemons and any window, to
    ``retry_ratio`` of its requests and ``retry_slack`` besides. The defaults are
    the platform's usual bounds, without slack.
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

    def is_in_other_region(self, failure_domain):
        """Return whether a failure domain is known to be in another region."""
        return self.failure_domains.get(failure_domain, self.region) != self.region


# The field of MeshSettings and its scale, for keys that carry a unit.
_UNITS = {
    "grace_seconds": ("grace", 1.0),
    "retry_window_seconds": ("retry_window", 1.0),
}


def load(path):
    """Read and check a settings file.

    :raises exceptions.SettingError: it can't be read, or a value can't be used.
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
    """Return checked settings from a JSON object.

    Unknown keys are ignored; a key that is ``null`` counts as missing.
    """
    values = {}
    for key, value in document.items():
        field, scale = _UNITS.get(key, (key, None))
        if field in MeshSettings._fields and value is not None:
            values[field] = _convert(key, field, value, scale)
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


def _convert(key, field, value, scale):
    kind = MeshSettings.__annotations__[field]
    try:
        if kind is addresses.Address:
            return addresses.Address.parse(value)
        if kind is float:
            number = float(value) * (scale or 1.0)
            if number < 0:
                raise ValueError("it is below 0")
            return number
        if not isinstance(value, kind) or isinstance(value, bool):
            raise ValueError(f"it is no {kind.__name__}")
        return value
    except (TypeError, ValueError, AttributeError) as error:
        raise exceptions.SettingError(
            flag=key,
            value=value,
            problem=str(error),
            remedy="correct it in the settings file",
        ) from error

"""Decodes what backend servers say of themselves in the headers of their answers."""

import logging
import math

from jackdawlanding.decisions import notices
from jackdawlanding.platform import headers

logger = logging.getLogger("jackdaw.platform")

_LEAVING = b"1"


def decode_notice(response):
    """Return the :class:`notices.Notice` in a response with ``get_header``."""
    limit = response.get_header(headers.SERVER_LIMIT.lower())
    leaving = response.get_header(headers.SERVER_LEAVING.lower())
    if not limit and not leaving:
        return notices.EMPTY
    return notices.Notice(
        rate=_parse_rate(limit) if limit else None,
        is_leaving=leaving.strip() == _LEAVING,
    )


def _parse_rate(value):
    """Return a rate in requests a second, ``None`` if the value is no rate."""
    try:
        rate = float(value)
    except ValueError:
        rate = math.nan
    if rate >= 0 and math.isfinite(rate):
        return rate
    logger.warning(
        "platform: %s is ignored: %r is no number of requests a second.",
        headers.SERVER_LIMIT.decode(),
        value[:32],
    )
    return None

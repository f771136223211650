"""Decodes what backend servers say of themselves in the headers of their answers."""

import logging
import math

from jackdawlanding.decisions import notices
from jackdawlanding.platform import headers

logger = logging.getLogger("jackdaw.platform")

_LEAVING = b"1"
# Longer than any caller waits.
MAXIMUM_RETRY_SECONDS = 3600.0


def decode_notice(response):
    """Return the :class:`notices.Notice` in a response with ``get_header``."""
    limit = response.get_header(headers.SERVER_LIMIT.lower())
    leaving = response.get_header(headers.SERVER_LEAVING.lower())
    if not limit and not leaving:
        return notices.EMPTY
    return notices.Notice(
        rate=(
            _parse(headers.SERVER_LIMIT, limit, "requests a second") if limit else None
        ),
        is_leaving=leaving.strip() == _LEAVING,
    )


def decode_retry_after(response):
    """Return after how many seconds a refused request may come again, 0 if unsaid."""
    value = response.get_header(headers.RETRY_AFTER.lower())
    seconds = _parse(headers.RETRY_AFTER, value, "seconds") if value else None
    return min(MAXIMUM_RETRY_SECONDS, seconds or 0.0)


def _parse(name, value, unit):
    """Return the number in a header, ``None`` if it is no number of at least 0."""
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if number >= 0 and math.isfinite(number):
        return number
    logger.warning(
        "platform: %s is ignored: %r is no number of %s.",
        name.decode(),
        value[:32],
        unit,
    )
    return None

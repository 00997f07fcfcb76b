"""Decoding of the numbers of cold upstreams in rows.

They are decoded apart from their rows, which stay in use without them.
"""

from typing import Final

import msgspec
import structlog

from banyanswitch.helpers.decoding import DECODING_ERRORS
from banyanswitch.platform.const import MILLISECONDS_PER_S

LOGGER = structlog.get_logger(__name__)

NO_NUMBER: Final = msgspec.Raw(b"0")
"""Value of a field that is absent."""

MAX_COLD_S: Final = 600.0
"""Longest time for which an upstream stays cold; longer ones are taken for mistakes,
since upstreams are cold for some seconds."""

MAX_COLD_PER_S: Final = 1_000_000.0
"""Highest rate of a cold upstream, in requests per second."""


def remaining_s(value: msgspec.Raw, upstream: str) -> float:
    """Return the time in an upstream's entry for which it stays cold, in seconds."""
    maximum_ms = MAX_COLD_S * MILLISECONDS_PER_S
    time_ms = _number(value, upstream, "coldRemainingMs", maximum_ms)
    return time_ms / MILLISECONDS_PER_S


def duration_s(value: msgspec.Raw, service: str) -> float:
    """Return the time for which a service's upstreams are cold, in seconds."""
    return _number(value, service, "coldS", MAX_COLD_S)


def rate_per_s(value: msgspec.Raw, service: str) -> float:
    """Return the requests per second of a service's cold upstreams."""
    return _number(value, service, "coldPerS", MAX_COLD_PER_S)


def _number(value: msgspec.Raw, row: str, field: str, maximum: float) -> float:
    """Return a number from 0 to a maximum; another value counts as 0 and is logged."""
    try:
        number = msgspec.json.decode(value, type=float)
    except DECODING_ERRORS as error:
        LOGGER.warning("cold_value_unusable", row=row, field=field, reason=str(error))
        return 0.0
    if 0.0 <= number <= maximum:
        return number
    reason = f"{number} is not from 0 to {maximum}"
    LOGGER.warning("cold_value_unusable", row=row, field=field, reason=reason)
    return 0.0

"""Check of upstreams' entries, which other writers may have written."""

from typing import Final

import structlog

from banyanswitch.components.forwarding.models import UpstreamRecord
from banyanswitch.helpers.addresses import check_ip_address

LOGGER = structlog.get_logger(__name__)

MAX_SLOTS: Final = 1_000_000
"""Largest number of slots of an upstream."""

MAX_NUMBER: Final = 2**53
"""Largest number that JSON writers represent exactly."""

MAX_REASON_CHARS: Final = 200
"""Length at which the reason in a log line is cut."""


def is_fit(record: UpstreamRecord) -> bool:
    """Return whether the values fit the sockets, headers and arithmetic they reach."""
    try:
        _check(record)
    except ValueError as error:
        reason = str(error)[:MAX_REASON_CHARS]
        LOGGER.warning("entry_unfit", upstream=record.name, reason=reason)
        return False
    return True


def _check(record: UpstreamRecord) -> None:
    """Check the values of an entry.

    Raises
    ------
    ValueError
        If one of them is unfit.
    """
    check_ip_address(record.address)
    numbers = {
        "slots": (record.slots, 1, MAX_SLOTS),
        "sequence": (record.sequence, 0, MAX_NUMBER),
        "start time": (record.started_at_ms, 0, MAX_NUMBER),
    }
    for model, version in record.weight_versions.items():
        numbers[f"weight version of {model}"] = (version, 0, MAX_NUMBER)
    for name, (value, lowest, highest) in numbers.items():
        if not lowest <= value <= highest:
            raise ValueError(f"{name} is {value}, not from {lowest} to {highest}")

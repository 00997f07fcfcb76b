"""Error responses that are generated here, not by an upstream."""

import random
from dataclasses import dataclass
from enum import Enum

from banyanswitch.components.forwarding.const import MAX_RETRY_AFTER_SHARE

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504


class RefusalReason(Enum):
    """Reason of a generated error response."""

    UNCONFIGURED = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_UPSTREAM = "no_upstream"
    NO_UPSTREAM_OF_VERSION = "no_upstream_of_version"
    UNKNOWN_VERSION = "unknown_version"
    NOT_REACHED = "upstream_not_reached"
    REFUSED = "refused_by_upstream"
    BROKEN = "upstream_broke_off"
    WITHDRAWN = "weights_too_old"
    TIMEOUT = "timeout"
    LEAVING = "instance_leaving"
    MEMORY = "instance_memory"
    UPSTREAM_LIMIT = "upstream_limit"
    UPSTREAM_RESTS = "upstream_rests"
    PART_WITHHELD = "part_withheld"
    OVERLOADED = "upstreams_overloaded"
    EVACUATED = "domains_evacuated"
    TOO_LARGE = "larger_than_upstreams"


DECLINE_REASONS = frozenset(
    {
        RefusalReason.UNCONFIGURED,
        RefusalReason.NO_ROUTE,
        RefusalReason.UNKNOWN_KEY,
        RefusalReason.NO_UPSTREAM,
        RefusalReason.NOT_REACHED,
        RefusalReason.LEAVING,
    }
)
"""Reasons for which another instance may serve the request."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Error response that is sent instead of an upstream's.

    Parameters
    ----------
    retry_after_s : float or None
        Base of the Retry-After time, in seconds; set only if the request has not
        run.
    """

    status: int
    reason: RefusalReason
    retry_after_s: float | None = None


def jittered_retry_after_s(
    base_s: float, time_left_s: float, generator: random.Random
) -> float:
    """Return a randomized Retry-After time within the caller's remaining time.

    The random factor spreads the retries of callers over time.
    """
    wait_s = base_s * generator.uniform(0.6, 1.4)
    return max(0.0, min(wait_s, MAX_RETRY_AFTER_SHARE * time_left_s))

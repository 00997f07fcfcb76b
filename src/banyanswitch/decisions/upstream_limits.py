"""Division of an upstream's limit of requests among the instances."""

import math
from dataclasses import dataclass
from typing import Final

MIN_RATE_PER_S: Final = 0.2
"""Rate below which no limit is kept, so that answers can show its end."""


@dataclass(frozen=True, slots=True)
class LimitShares:
    """Shares of a limit.

    Parameters
    ----------
    senders : int
        Number of instances that send to the upstream.
    rate_per_s : float
        Requests per second of each sender.
    burst : float
        Requests that a sender may send at once.
    """

    senders: int
    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """What an upstream said about its limit.

    Parameters
    ----------
    limit_per_s : float or None
        Requests per second; ``None`` if it named no limit.
    observed_at_s : float
        Loop time of its response, in seconds.
    """

    limit_per_s: float | None
    observed_at_s: float


def limit_shares(limit_per_s: float, instances: int) -> LimitShares:
    """Divide a limit among as many instances as can each send something.

    With a share each, many instances would have less than one request each, and their
    first requests alone would exceed the limit. So the number of senders is at most one
    more than the limit, and all together send one second's requests at once at most.

    Parameters
    ----------
    instances : int
        Number of live instances.
    """
    total_burst = math.floor(limit_per_s) + 1
    senders = max(1, min(instances, total_burst))
    rate_per_s = max(MIN_RATE_PER_S, limit_per_s) / senders
    return LimitShares(senders, rate_per_s, total_burst / senders)


def newer_notice(known: LimitNotice | None, other: LimitNotice) -> LimitNotice:
    """Return the later one of two notices of an upstream."""
    if known is None or other.observed_at_s > known.observed_at_s:
        return other
    return known


def ends_limit(known: LimitNotice, sent_at_s: float) -> bool:
    """Return whether a response without a limit ends a known one.

    A response to a request that was sent before the limit was known may be older than
    the limit.

    Parameters
    ----------
    sent_at_s : float
        Loop time at which the request of that response was sent, in seconds.
    """
    return sent_at_s > known.observed_at_s

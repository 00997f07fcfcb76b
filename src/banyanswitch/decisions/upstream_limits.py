"""Division of an upstream's limit of requests among the instances."""

import math
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

MIN_RATE_PER_S: Final = 0.2
"""Rate below which no limit is kept, so that answers can show its end."""

BOUND_SHARE: Final = 0.75
"""Share of a bound on the requests of any second that is used. The rest is for requests
that arrive closer together than they were sent, and for senders that do not know yet of
an instance which has taken their place."""


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


@dataclass(frozen=True, slots=True)
class ColdPolicy:
    """Bound on the requests of a cold upstream in any second, from all instances.

    It is the upstream's cold rate times ``over`` plus ``slack``. Without both, there is
    no such bound, and only the rate counts.
    """

    over: float = 0.0
    slack: float = 0.0

    def bound(self, cold_per_s: float) -> float | None:
        """Return the number of requests in any second; ``None`` without a bound."""
        if self.over <= 0.0 and self.slack <= 0.0:
            return None
        return max(1.0, cold_per_s * self.over + self.slack)


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Limit of an upstream while it is cold.

    Parameters
    ----------
    rate_per_s : float
        Requests per second that it can handle.
    bound : float or None
        Number of requests that it may get in any second; ``None`` without a bound.
    """

    rate_per_s: float
    bound: float | None


@lru_cache(maxsize=256)
def limit_shares(
    limit_per_s: float, instances: int, bound: float | None = None
) -> LimitShares:
    """Divide a limit among as many instances as can each send something.

    With a share each, many instances would have less than one request each, and their
    first requests alone would exceed the limit. So the number of senders is at most one
    more than the limit, and all together send one second's requests at once at most.

    Parameters
    ----------
    instances : int
        Number of live instances.
    bound : float, optional
        Number of requests that the upstream may get in any second. The bursts of all
        senders and one second of their rates stay within `BOUND_SHARE` of it.
    """
    rate_per_s = max(MIN_RATE_PER_S, limit_per_s)
    total_burst = math.floor(limit_per_s) + 1
    if bound is not None:
        allowed = BOUND_SHARE * bound
        rate_per_s = min(rate_per_s, max(MIN_RATE_PER_S, allowed - 1.0))
        total_burst = max(1, min(total_burst, math.floor(allowed - rate_per_s)))
    senders = max(1, min(instances, total_burst))
    return LimitShares(senders, rate_per_s / senders, total_burst / senders)


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

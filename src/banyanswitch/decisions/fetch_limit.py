"""Decision on how long a fetch of stored parts may take."""

from dataclasses import dataclass
from typing import Final

FETCH_TIMEOUT_S: Final = 0.8
"""Time limit of a fetch; after it, the engine computes the prompt part instead. The
longest fetches take 70 ms, and links may be 8 times slower."""

NEWEST_FETCH_TIMEOUT_S: Final = 1.6
"""Time limit of a fetch of parts of the newest weights."""

MIN_FETCH_TIMEOUT_S: Final = 0.4
"""Time limit below which no fetch is planned."""

OBJECTIVE_SHARE: Final = 0.3
"""Share of the time to the latency objective that the fetches of a small prompt may
take. The rest is for its prefill, which then starts without the parts, and for the
queue of the upstream."""

MIN_OBJECTIVE_LIMIT_S: Final = 0.05
"""Lower bound of that limit; a fetch without a queue takes a few ms, and the clocks of
the upstreams are known to some ms."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchEvidence:
    """What shows that an instance knows the newest weights and the fetch floor.

    Parameters
    ----------
    is_newest : bool
        Whether the parts are of the newest weights that the instance knows.
    permit_left_s : float
        Time for which its permit is valid, in seconds; at most 0 without one.
    targets_age_s : float
        Time since the store has confirmed the target weights, in seconds.
    hears_most : bool
        Whether most instances have just reported to it.
    """

    is_newest: bool
    permit_left_s: float
    targets_age_s: float
    hears_most: bool


def fetch_limit_s(evidence: FetchEvidence) -> float:
    """Return how long a fetch planned now may take; 0 if it may not be planned.

    Parts are freed only after all fetches planned before the end of the permits have
    reached `FETCH_TIMEOUT_S`. Parts of the newest weights are freed no sooner than
    newer ones are named and a floor is announced. Without a permit, as in an outage of
    the store, in which no instance holds the duty, an instance hears of newer weights
    from the others unless it is cut off from most of them.

    Returns
    -------
    limit : float
        Seconds.
    """
    if not evidence.is_newest:
        return FETCH_TIMEOUT_S if evidence.permit_left_s > 0.0 else 0.0
    limits_s = [NEWEST_FETCH_TIMEOUT_S - evidence.targets_age_s]
    if evidence.permit_left_s > 0.0:
        limits_s.append(evidence.permit_left_s + FETCH_TIMEOUT_S)
    if evidence.hears_most:
        limits_s.append(FETCH_TIMEOUT_S)
    limit_s = min(NEWEST_FETCH_TIMEOUT_S, max(limits_s))
    return limit_s if limit_s >= MIN_FETCH_TIMEOUT_S else 0.0


def objective_limit_s(
    limit_s: float, left_s: float, *, is_small: bool, reports_speed: bool
) -> float:
    """Return how long the fetches of a prompt may take to reach its objective.

    Transfers queue at the links of the store and of the upstream, where neither is seen
    by the instances. A small prompt can be computed instead; behind the transfers of
    large ones it would wait many times as long. A large prompt, or one that is late
    already, waits: its prefill costs the upstream more than the transfer.

    Parameters
    ----------
    limit_s : float
        Time limit of the fetches without an objective, in seconds.
    left_s : float
        Time until the latency objective of the request, in seconds.
    is_small : bool
        Whether the prefill of the whole prompt is short.
    reports_speed : bool
        Whether upstreams report their speed. Elsewhere the parts that are read again
        outweighed it: 0.65 instead of 0.53 million tokens on a day of 8 instances.

    Returns
    -------
    limit : float
        Seconds; at most ``limit_s``.
    """
    if not (is_small and reports_speed) or left_s <= 0.0:
        return limit_s
    return min(limit_s, max(MIN_OBJECTIVE_LIMIT_S, OBJECTIVE_SHARE * left_s))

"""Order in which upstreams load a new weight version, and when traffic follows."""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

import xxhash

from banyanswitch.config.models import SwapPolicy
from banyanswitch.identifiers import (
    FailureDomainId,
    PrefixHash,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

FULL_CUTOVER_SHARE: Final = 0.5
"""Share of the serving upstreams on the new version from which all new requests
run on it."""

HASH_RANGE: Final = 2**64


@dataclass(frozen=True, slots=True, kw_only=True)
class SwapView:
    """What the order of loads depends on, for one upstream.

    Parameters
    ----------
    is_serving : bool
        Whether it is reachable and takes new work.
    is_loading : bool
        Whether it loads now, or an order to load is on its way.
    running_requests : int
        Requests that it has now.
    cache_value_s : float
        Prefill time that its cached pieces are likely to save, in seconds.
    retry_at_s : float
        Loop time before which it gets no order, after a failed one.
    """

    name: UpstreamId
    failure_domain: FailureDomainId
    weight_version: WeightVersion | None
    is_serving: bool = True
    is_loading: bool = False
    is_leaving: bool = False
    running_requests: int = 0
    cache_value_s: float = 0.0
    retry_at_s: float = 0.0


def next_loads(
    views: Sequence[SwapView], desired: WeightVersion, policy: SwapPolicy, now_s: float
) -> tuple[UpstreamId, ...]:
    """Return the upstreams that should be ordered to load now.

    Upstreams that don't serve come first, since loading costs no capacity there.
    Then come those with the least cache value. One that is the last to serve in its
    failure domain waits for the others. If the policy's share leaves no room at
    all, one upstream loads while all others serve, so that a swap always ends.

    Parameters
    ----------
    views : sequence of SwapView
        All upstreams of the service.
    """
    present = [view for view in views if not view.is_leaving]
    loading = sum(view.is_loading for view in present)
    serving = [view for view in present if view.is_serving and not view.is_loading]
    load_slots = policy.loads_at_once - loading
    spare_serving = len(serving) - _min_serving(len(present), policy)
    waiting = [view for view in present if _needs_load(view, desired, now_s)]
    domain_counts: dict[FailureDomainId, int] = {}
    for view in serving:
        count = domain_counts.get(view.failure_domain, 0)
        domain_counts[view.failure_domain] = count + 1
    chosen: list[UpstreamId] = []
    while waiting and len(chosen) < load_slots:
        best = min(waiting, key=lambda view: _load_rank(view, domain_counts))
        waiting.remove(best)
        if best.is_serving and spare_serving <= 0:
            break
        if best.is_serving:
            spare_serving -= 1
            domain_counts[best.failure_domain] -= 1
        chosen.append(best.name)
    return tuple(chosen)


def choose_version(
    key: str, desired: WeightVersion, serving: Mapping[WeightVersion, int]
) -> WeightVersion | None:
    """Return the version that a new request is pinned to.

    While fewer than `FULL_TURN_SHARE` of the serving upstreams have the new version,
    keys move to it in proportion. A key that has moved stays as the share grows.

    Parameters
    ----------
    key : str
        Names what should stay on one version, for example the conversation.
    serving : mapping of str to int
        Number of upstreams that take new work, for each version.

    Returns
    -------
    version : str or None
        ``None`` if no upstream takes new work.
    """
    others = [(count, name) for name, count in serving.items() if name != desired]
    old_count, old = max(others, default=(0, desired))
    new_count = serving.get(desired, 0)
    total = old_count + new_count
    if total == 0:
        return None
    share = new_count / total
    if share >= FULL_CUTOVER_SHARE:
        return desired
    point = xxhash.xxh3_64_intdigest(key.encode()) / HASH_RANGE
    return desired if point < share else old


@dataclass(frozen=True, slots=True)
class PrewarmCandidate:
    """A prefix that may be computed on the new version before it is asked for.

    Parameters
    ----------
    return_probability : float
        Probability that the prompt returns within the time that matters.
    """

    workspace: WorkspaceId
    last_piece_hash: PrefixHash
    prompt_tokens: int
    return_probability: float


def prewarm_order(
    candidates: Iterable[PrewarmCandidate], budget_tokens: int
) -> tuple[PrewarmCandidate, ...]:
    """Return the prefixes to compute first on the new version, within a budget.

    Prefill time saved and prefill time spent are both proportional to the length,
    so the likeliest to return go first.
    """
    ordered = sorted(
        candidates, key=lambda item: (-item.return_probability, item.last_piece_hash)
    )
    chosen = []
    remaining_tokens = budget_tokens
    for candidate in ordered:
        if candidate.prompt_tokens > remaining_tokens:
            continue
        remaining_tokens -= candidate.prompt_tokens
        chosen.append(candidate)
    return tuple(chosen)


def _min_serving(total: int, policy: SwapPolicy) -> int:
    return min(math.ceil(policy.min_serving_share * total), max(0, total - 1))


def _needs_load(view: SwapView, desired: WeightVersion, now_s: float) -> bool:
    if view.is_loading or view.weight_version == desired:
        return False
    return view.retry_at_s <= now_s


def _load_rank(
    view: SwapView, domain_counts: Mapping[FailureDomainId, int]
) -> tuple[bool, bool, float, int, int, UpstreamId]:
    in_domain = domain_counts.get(view.failure_domain, 0)
    is_last_in_domain = view.is_serving and in_domain <= 1
    return (
        view.is_serving,
        is_last_in_domain,
        view.cache_value_s,
        view.running_requests,
        -in_domain,
        view.name,
    )

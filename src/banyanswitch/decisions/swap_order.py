"""Order in which upstreams load a new weight version, and the cutover of traffic."""

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
"""Share of serving upstreams on the new version at which it gets all new requests."""

HASH_RANGE: Final = 2**64


@dataclass(frozen=True, slots=True, kw_only=True)
class SwapView:
    """State of one upstream that determines the load order.

    Parameters
    ----------
    is_serving : bool
        Whether the upstream is reachable and accepts new requests.
    is_loading : bool
        Whether the upstream is loading, or a load order has been sent to it.
    running_requests : int
        Number of current requests.
    cache_value_s : float
        Expected prefill time saved by its cached pieces, in seconds.
    retry_at_s : float
        Loop time before which no load order is sent, after a failed one, in seconds.
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

    Upstreams that don't serve come first, since loading there costs no capacity.
    The others are ordered by ascending cache value. An upstream that is the last
    serving one in its failure domain comes after all others. If the minimum serving
    share of the policy allows no load, one upstream loads while all others serve, so
    that a swap always completes.

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
    """Return the weight version to which a new request is pinned.

    Of the other versions, only the one with the most upstreams counts. While the share
    of upstreams on the new version is below `FULL_CUTOVER_SHARE`, the same share of
    keys uses it, and the other keys use the old version. A key on the new version
    stays there as the share grows.

    Parameters
    ----------
    key : str
        Identifies requests that should use the same version, such as a conversation.
    serving : mapping of str to int
        Number of upstreams that accept new requests, by version.

    Returns
    -------
    version : str or None
        ``None`` if no upstream accepts new requests.
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
    """A prefix that may be computed on the new version before it is requested.

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

    The prefill time saved and the prefill time spent are both proportional to the
    prompt length, so candidates are taken by descending return probability.
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
    serving_in_domain = domain_counts.get(view.failure_domain, 0)
    is_last_in_domain = view.is_serving and serving_in_domain <= 1
    return (
        view.is_serving,
        is_last_in_domain,
        view.cache_value_s,
        view.running_requests,
        -serving_in_domain,
        view.name,
    )

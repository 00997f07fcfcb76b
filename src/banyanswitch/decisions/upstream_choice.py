"""Choice of the upstream for one request, from what is known of their work."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from banyanswitch.identifiers import FailureDomainId, UpstreamId


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamChoicePolicy:
    """Weights of the choice, in prompt tokens that would take as long to read.

    Parameters
    ----------
    fetch_share : float
        Time to fetch a token from a store, against reading it. Links of 28 to
        45 Gbit/s move a token of 18 kB in a sixth of the time that it is read in.
    running_tokens : float
        Delay that one running request adds by its share of each step.
    home_share : float
        Part of the shared tokens that the home of a prompt is expected to miss.
    old_weights_tokens : float
        Price of an answer on weights that are no longer the newest: a fifth of its
        worth, which weighs as much as a quarter second of waiting.
    full_tokens : float
        Price of a request that does not fit beside those that run, since it would
        preempt another or wait for one to end.
    other_domain_tokens : float
        Price of a path between failure domains.
    large_prefill_tokens : float
        Prompt from which on a request waits for its turn. Reading it takes 40 ms,
        which is what a short request may lose to it.
    max_queued_tokens : float
        Prompt tokens before which a heavy request is not sent: reading them takes
        some 0.2 s. Engines read the prompts that they have admitted before a later
        short one, however urgent it is.
    """

    fetch_share: float = 0.2
    running_tokens: float = 150.0
    home_share: float = 0.5
    old_weights_tokens: float = 9000.0
    full_tokens: float = 40000.0
    other_domain_tokens: float = 60.0
    large_prefill_tokens: float = 1500.0
    max_queued_tokens: float = 8000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamView:
    """What is known of one upstream that may take the request.

    Parameters
    ----------
    prefill_tokens : int
        Prompt tokens that are still to be read there.
    memory_tokens : int
        Tokens that its running requests hold.
    stored_tokens : int
        Shared tokens of the request that a store keeps for its weights.
    health : float
        Share of its normal work that it may get, above 0 to 1.
    """

    name: UpstreamId
    failure_domain: FailureDomainId
    prefill_tokens: int = 0
    memory_tokens: int = 0
    running_requests: int = 0
    slots: int = 1
    capacity_tokens: int = 0
    health: float = 1.0
    stored_tokens: int = 0
    has_newest_weights: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamChoiceRequest:
    """What the choice depends on, for one request.

    Parameters
    ----------
    home_key : str
        What requests share that should meet at one upstream; empty for none.
    own_tokens : int
        Prompt tokens that no other request has.
    shared_tokens : int
        Prompt tokens that other requests have too.
    output_tokens : int
        Most tokens that will be made.
    """

    home_key: str
    failure_domain: FailureDomainId
    own_tokens: int = 0
    shared_tokens: int = 0
    output_tokens: int = 0


def choose_upstream(
    views: Sequence[UpstreamView],
    request: UpstreamChoiceRequest,
    policy: UpstreamChoicePolicy,
) -> UpstreamId | None:
    """Return the upstream that is expected to answer first, or ``None``."""
    if not views:
        return None
    home = home_of(request.home_key, views)
    best = min(
        views,
        key=lambda view: (
            _cost(view, request, policy, is_home=view.name == home),
            _order(request.home_key, view.name),
        ),
    )
    return best.name


def must_wait(
    view: UpstreamView, request: UpstreamChoiceRequest, policy: UpstreamChoicePolicy
) -> bool:
    """Return whether a request should wait rather than queue at this upstream.

    Heavy requests wait where short ones can overtake them.
    """
    cost = prefill_cost_tokens(view, request, policy, is_home=False)
    if cost < policy.large_prefill_tokens:
        return False
    if view.prefill_tokens > policy.max_queued_tokens:
        return True
    needed = _memory_tokens(request)
    is_empty = view.memory_tokens == 0
    is_over = view.memory_tokens + needed > view.capacity_tokens
    return bool(view.capacity_tokens) and is_over and not is_empty


def home_of(home_key: str, views: Sequence[UpstreamView]) -> UpstreamId | None:
    """Return the upstream at which requests with this key meet.

    Rendezvous hashing, so that instances agree without talking, and the loss of an
    upstream moves only its own prompts.
    """
    if not home_key or not views:
        return None
    return max(views, key=lambda view: _order(home_key, view.name)).name


def prefill_cost_tokens(
    view: UpstreamView,
    request: UpstreamChoiceRequest,
    policy: UpstreamChoicePolicy,
    *,
    is_home: bool,
) -> float:
    """Return what must be read or fetched before the first token, in tokens read."""
    unstored_tokens = request.shared_tokens - view.stored_tokens
    shared = view.stored_tokens * policy.fetch_share + unstored_tokens
    return request.own_tokens + shared * (policy.home_share if is_home else 1.0)


def _cost(
    view: UpstreamView,
    request: UpstreamChoiceRequest,
    policy: UpstreamChoicePolicy,
    *,
    is_home: bool,
) -> float:
    cost = float(view.prefill_tokens)
    cost += prefill_cost_tokens(view, request, policy, is_home=is_home)
    # A plain service has no tokens: its requests wait for a slot.
    cost += policy.running_tokens * view.running_requests
    waiting = max(0, view.running_requests + 1 - view.slots)
    cost += policy.full_tokens * waiting / max(1, view.slots)
    needed = view.memory_tokens + _memory_tokens(request)
    if view.capacity_tokens and needed > view.capacity_tokens:
        cost += policy.full_tokens
    if not view.has_newest_weights:
        cost += policy.old_weights_tokens
    if view.failure_domain != request.failure_domain:
        cost += policy.other_domain_tokens
    return cost / view.health


def _memory_tokens(request: UpstreamChoiceRequest) -> int:
    return request.own_tokens + request.shared_tokens + request.output_tokens


def _order(key: str, name: UpstreamId) -> int:
    return xxhash.xxh3_64_intdigest(f"{len(key)}:{key}{name}".encode())

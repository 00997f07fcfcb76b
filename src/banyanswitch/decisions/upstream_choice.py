"""Choice of the upstream for one request, based on estimated load."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from banyanswitch.decisions.cost_model import PREFILL_TOKENS_PER_S
from banyanswitch.decisions.slowness import USUAL
from banyanswitch.identifiers import FailureDomainId, UpstreamId

MAX_HASH = 2.0**64


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamChoicePolicy:
    """Costs of the choice, in prompt tokens with the same prefill time.

    Parameters
    ----------
    fetch_cost_ratio : float
        Time to fetch a token from a store, relative to its prefill time. Links of 28
        to 45 Gbit/s transfer a token of 18 kB in a sixth of its prefill time.
    running_request_cost_tokens : float
        Delay added by one running request through its share of each engine step.
    home_miss_ratio : float
        Share of the shared tokens that the home upstream of a prompt is expected not
        to have cached.
    old_weights_penalty_tokens : float
        Penalty for an answer from weights that are not the newest. The loss is a fifth
        of the value of the answer, equivalent to a quarter second of waiting.
    overload_penalty_tokens : float
        Penalty for a request that does not fit beside the running ones, since it would
        preempt another request or wait for one to end.
    cross_domain_penalty_tokens : float
        Penalty for a path between failure domains.
    large_prefill_tokens : float
        Prefill cost from which a request may have to wait at the instance. A prefill of
        this size takes 40 ms, the accepted delay of a short request behind it.
    max_queued_tokens : float
        Maximum number of queued prompt tokens at an upstream to which a large prefill
        is sent; their prefill takes about 0.2 s. Engines compute the prompts that they
        have admitted before a later short one, whatever its priority.
    overload_queued_tokens, overload_memory_ratio : float
        Queued prompt tokens, and memory for running requests relative to the capacity,
        from which an upstream takes no large prefill any more, also after its wait.
        Callers of prompts beyond that mostly leave before the first event.
    running_work_share : float
        Share of the predicted work in flight at a plain upstream that delays a request
        there, besides the wait for a slot. Counting all of it sends requests past free
        slots.
    """

    fetch_cost_ratio: float = 0.2
    running_request_cost_tokens: float = 150.0
    home_miss_ratio: float = 0.5
    old_weights_penalty_tokens: float = 9000.0
    overload_penalty_tokens: float = 40000.0
    cross_domain_penalty_tokens: float = 60.0
    large_prefill_tokens: float = 1500.0
    max_queued_tokens: float = 8000.0
    overload_queued_tokens: float = 32000.0
    overload_memory_ratio: float = 1.25
    running_work_share: float = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamView:
    """Known state of one upstream that may serve the request.

    Parameters
    ----------
    prefill_tokens : int
        Prompt tokens that still need prefill there.
    memory_tokens : int
        Prompt and output tokens for which its running requests need memory.
    capacity_tokens : int
        Tokens that fit in its memory; 0 for a service without such a limit.
    stored_tokens : int
        Shared tokens of the request that a store holds for its weight version.
    health : float
        Share of its normal load that it may receive, above 0 and at most 1.
    slowness : float
        Duration of work there relative to the usual one; 1.0 is as usual.
    work_s : float
        Predicted work in flight there, in seconds at its usual speed.
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
    slowness: float = 1.0
    work_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamChoiceRequest:
    """Properties of one request that the choice depends on.

    Parameters
    ----------
    home_key : str
        Common key of requests that should go to the same upstream; empty for none.
    own_tokens : int
        Prompt tokens that are unique to the request.
    shared_tokens : int
        Prompt tokens that the request shares with other requests.
    output_tokens : int
        Maximum number of tokens to generate.
    work_s : float
        Predicted work of the request without its prefill, in seconds at the usual
        speed; 0 while nothing is learned.
    tokens_per_s : float
        Prompt tokens whose prefill takes a second; converts work to costs.
    figures_age_s : float
        Age of what is known of the other instances' work, in seconds.
    draw_key : str
        Key that differs between requests; draws among upstreams that may be equal.
    """

    home_key: str
    failure_domain: FailureDomainId
    own_tokens: int = 0
    shared_tokens: int = 0
    output_tokens: int = 0
    work_s: float = 0.0
    tokens_per_s: float = PREFILL_TOKENS_PER_S
    figures_age_s: float = 0.0
    draw_key: str = ""


def choose_upstream(
    views: Sequence[UpstreamView],
    request: UpstreamChoiceRequest,
    policy: UpstreamChoicePolicy,
    home: UpstreamId | None = None,
) -> UpstreamId | None:
    """Return the upstream with the lowest expected cost, or ``None`` without views.

    Parameters
    ----------
    home : UpstreamId, optional
        Home of the request; by default, its home among the views.
    """
    if not views:
        return None
    if home is None:
        home = home_of(request.home_key, views)
    costs = [_cost(view, request, policy, is_home=view.name == home) for view in views]
    lowest = min(costs)
    names = [
        view.name for view, cost in zip(views, costs, strict=True) if cost == lowest
    ]
    if len(names) == 1:
        return names[0]
    return min(names, key=lambda name: _hash_rank(request.home_key, name))


def must_wait(
    view: UpstreamView, request: UpstreamChoiceRequest, policy: UpstreamChoicePolicy
) -> bool:
    """Return whether a request should wait instead of being sent to this upstream.

    A large prefill waits if the prefill queue of the upstream is long, or if the
    request does not fit in its memory beside the running ones. It waits at the
    instance, where short requests can overtake it.
    """
    cost = prefill_cost_tokens(view, request, policy, is_home=False)
    if cost < policy.large_prefill_tokens:
        return False
    if view.prefill_tokens > policy.max_queued_tokens:
        return True
    needed = _memory_tokens(request)
    is_empty = view.memory_tokens == 0
    would_overflow = view.memory_tokens + needed > view.capacity_tokens
    return bool(view.capacity_tokens) and would_overflow and not is_empty


def is_overloaded(
    view: UpstreamView, request: UpstreamChoiceRequest, policy: UpstreamChoicePolicy
) -> bool:
    """Return whether an upstream can't start a large prefill in useful time."""
    if not must_wait(view, request, policy):
        return False
    if view.prefill_tokens > policy.overload_queued_tokens:
        return True
    memory_tokens = view.memory_tokens + _memory_tokens(request)
    limit_tokens = policy.overload_memory_ratio * view.capacity_tokens
    return view.memory_tokens > 0 and 0 < limit_tokens < memory_tokens


def home_of(home_key: str, views: Sequence[UpstreamView]) -> UpstreamId | None:
    """Return the home upstream of requests with this key.

    Rendezvous hashing gives the same result on all instances without communication,
    and the loss of an upstream moves only the prompts that had it as their home.
    """
    return home_among(home_key, [view.name for view in views])


def home_among(home_key: str, names: Sequence[UpstreamId]) -> UpstreamId | None:
    """Return the home among some upstreams of requests with this key."""
    if not home_key or not names:
        return None
    return max(names, key=lambda name: _hash_rank(home_key, name))


def prefill_cost_tokens(
    view: UpstreamView,
    request: UpstreamChoiceRequest,
    policy: UpstreamChoicePolicy,
    *,
    is_home: bool,
) -> float:
    """Return the cost of prefill and fetches before the first token, in tokens."""
    unstored_tokens = request.shared_tokens - view.stored_tokens
    shared = view.stored_tokens * policy.fetch_cost_ratio + unstored_tokens
    return request.own_tokens + shared * (policy.home_miss_ratio if is_home else 1.0)


def _cost(
    view: UpstreamView,
    request: UpstreamChoiceRequest,
    policy: UpstreamChoicePolicy,
    *,
    is_home: bool,
) -> float:
    cost = _work_tokens(view, request, policy, is_home=is_home)
    if view.slowness != USUAL:
        # The request's own work at the usual speed is the same everywhere and left out.
        own_tokens = policy.running_request_cost_tokens
        if request.work_s > 0.0:
            own_tokens = request.work_s * request.tokens_per_s
        cost += (view.slowness - USUAL) * (cost + own_tokens)
    needed = view.memory_tokens + _memory_tokens(request)
    if view.capacity_tokens and needed > view.capacity_tokens:
        cost += policy.overload_penalty_tokens
    if not view.has_newest_weights:
        cost += policy.old_weights_penalty_tokens
    if view.failure_domain != request.failure_domain:
        cost += policy.cross_domain_penalty_tokens
    # An idle upstream that runs faster than usual has a cost below zero.
    return cost / view.health if cost >= 0.0 else cost * view.health


def _work_tokens(
    view: UpstreamView,
    request: UpstreamChoiceRequest,
    policy: UpstreamChoicePolicy,
    *,
    is_home: bool,
) -> float:
    """Return the work before the first token at an upstream's usual speed."""
    cost = float(view.prefill_tokens)
    cost += prefill_cost_tokens(view, request, policy, is_home=is_home)
    # Requests of plain services have no tokens. Their cost comes from the running
    # requests and the slots, or from their predicted work once it is learned.
    waiting = max(0, view.running_requests + 1 - view.slots)
    if request.work_s > 0.0 and not view.capacity_tokens:
        # Earlier versions report requests without their work.
        work_s = view.work_s or view.running_requests * request.work_s
        mean_s = work_s / max(1, view.running_requests)
        ahead_s = policy.running_work_share * work_s + waiting * mean_s
        ahead_s /= max(1, view.slots)
        # An upstream may have worked for the whole age of the figures since. Without a
        # draw, all instances would send to the same upstreams until new figures come.
        if request.figures_age_s > 0.0:
            ahead_s += request.figures_age_s * _draw(request.draw_key, view.name)
        return cost + ahead_s * request.tokens_per_s
    cost += policy.running_request_cost_tokens * view.running_requests
    cost += policy.overload_penalty_tokens * waiting / max(1, view.slots)
    return cost


def _memory_tokens(request: UpstreamChoiceRequest) -> int:
    return request.own_tokens + request.shared_tokens + request.output_tokens


def _draw(key: str, name: UpstreamId) -> float:
    """Return a number from 0 to 1 that is random over the keys."""
    return _hash_rank(key, name) / MAX_HASH


def _hash_rank(key: str, name: UpstreamId) -> int:
    return xxhash.xxh3_64_intdigest(f"{len(key)}:{key}{name}".encode())

"""Choice between warm and cold upstreams for requests with large prefills."""

from collections.abc import Collection, Sequence

from banyanswitch.decisions.upstream_choice import (
    UpstreamChoicePolicy,
    UpstreamChoiceRequest,
    UpstreamView,
    is_overloaded,
    prefill_cost_tokens,
)
from banyanswitch.identifiers import UpstreamId


def without_cold(
    views: Sequence[UpstreamView],
    cold: Collection[UpstreamId],
    request: UpstreamChoiceRequest,
    policy: UpstreamChoicePolicy,
) -> list[UpstreamView]:
    """Return the upstreams without the cold ones where the prefill would be large.

    A cold upstream warms up by short prompts. It takes a large prefill only if no warm
    upstream can take it, even after a wait.

    Parameters
    ----------
    cold : collection of UpstreamId
        Names of the cold upstreams.
    """
    if not cold or not any(
        view.name not in cold and not is_overloaded(view, request, policy)
        for view in views
    ):
        return list(views)
    return [
        view
        for view in views
        if view.name not in cold
        or prefill_cost_tokens(view, request, policy, is_home=False)
        < policy.large_prefill_tokens
    ]


def warm_among(
    names: Sequence[UpstreamId],
    cold: Collection[UpstreamId],
    request: UpstreamChoiceRequest,
    policy: UpstreamChoicePolicy,
) -> list[UpstreamId]:
    """Return the warm ones of some upstreams if the request's prefill may be large.

    Returns all of them if none is warm.
    """
    tokens = request.own_tokens + request.shared_tokens
    if not cold or tokens < policy.large_prefill_tokens:
        return list(names)
    return [name for name in names if name not in cold] or list(names)

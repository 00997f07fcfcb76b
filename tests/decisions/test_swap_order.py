import math

from hypothesis import given, settings
from hypothesis import strategies as st

from banyanswitch.config.models import SwapPolicy
from banyanswitch.decisions.swap_order import (
    PrewarmCandidate,
    SwapView,
    choose_version,
    next_loads,
    prewarm_order,
)
from banyanswitch.identifiers import (
    FailureDomainId,
    PrefixHash,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

OLD = WeightVersion("v1")
NEW = WeightVersion("v2")

VIEWS = st.lists(
    st.builds(
        SwapView,
        name=st.just(UpstreamId("")),
        failure_domain=st.sampled_from([FailureDomainId("a"), FailureDomainId("b")]),
        weight_version=st.sampled_from([OLD, NEW, None]),
        is_serving=st.booleans(),
        is_loading=st.booleans(),
        is_leaving=st.booleans(),
        cache_value_s=st.floats(0, 9),
        retry_at_s=st.sampled_from([0.0, 50.0]),
    ),
    max_size=12,
)
POLICIES = st.builds(
    SwapPolicy, loads_at_once=st.integers(1, 4), min_serving_share=st.floats(0, 1)
)


def with_unique_names(views: list[SwapView]) -> list[SwapView]:
    return [
        SwapView(
            name=UpstreamId(f"u{index}"),
            failure_domain=view.failure_domain,
            weight_version=view.weight_version,
            is_serving=view.is_serving,
            is_loading=view.is_loading,
            is_leaving=view.is_leaving,
            cache_value_s=view.cache_value_s,
            retry_at_s=view.retry_at_s,
        )
        for index, view in enumerate(views)
    ]


@settings(derandomize=True, max_examples=400)
@given(VIEWS, POLICIES)
def test_bounds_on_loads_and_serving_hold(
    views: list[SwapView], policy: SwapPolicy
) -> None:
    views = with_unique_names(views)
    chosen = next_loads(views, NEW, policy, 10.0)
    by_name = {view.name: view for view in views}
    present = [view for view in views if not view.is_leaving]
    loading = sum(view.is_loading for view in present)
    assert len(set(chosen)) == len(chosen)
    assert not chosen or loading + len(chosen) <= policy.loads_at_once
    for name in chosen:
        view = by_name[name]
        assert not view.is_loading and not view.is_leaving
        assert view.weight_version != NEW
        assert view.retry_at_s <= 10.0
    left = sum(
        view.is_serving and not view.is_loading and view.name not in chosen
        for view in present
    )
    least = min(math.ceil(policy.min_serving_share * len(present)), len(present) - 1)
    assert left >= least or not any(by_name[name].is_serving for name in chosen)


@settings(derandomize=True, max_examples=100)
@given(st.integers(1, 12), POLICIES)
def test_every_swap_completes(count: int, policy: SwapPolicy) -> None:
    versions = dict.fromkeys(range(count), OLD)
    for _ in range(count):
        views = [
            SwapView(
                name=UpstreamId(f"u{index}"),
                failure_domain=FailureDomainId(f"d{index % 3}"),
                weight_version=version,
            )
            for index, version in versions.items()
        ]
        for name in next_loads(views, NEW, policy, 0.0):
            versions[int(name[1:])] = NEW
    assert set(versions.values()) == {NEW}


def test_upstreams_with_valuable_cache_or_alone_in_domain_load_last() -> None:
    views = [
        SwapView(
            name=UpstreamId(name),
            failure_domain=FailureDomainId(domain),
            weight_version=OLD,
            is_serving=is_serving,
            cache_value_s=value,
        )
        for name, domain, is_serving, value in (
            ("rich", "a", True, 9.0),
            ("poor", "a", True, 1.0),
            ("alone", "b", True, 0.0),
            ("down", "a", False, 5.0),
        )
    ]
    policy = SwapPolicy(loads_at_once=4, min_serving_share=0.0)
    # Once "poor" is chosen, "rich" is the last serving one of its domain too and has
    # the more valuable cache.
    assert next_loads(views, NEW, policy, 0.0) == ("down", "poor", "alone", "rich")


def test_a_key_moves_to_the_new_version_once() -> None:
    for number in range(50):
        key = f"conversation {number}"
        seen = [
            choose_version(key, NEW, {OLD: 6 - count, NEW: count}) for count in range(7)
        ]
        assert seen == sorted(seen, key=[OLD, NEW].index)
        assert (seen[0], seen[3]) == (OLD, NEW)
    assert choose_version("key", NEW, {}) is None


def test_prewarming_selects_most_probable_prefixes_within_budget() -> None:
    candidates = [
        PrewarmCandidate(
            WorkspaceId("w"), PrefixHash(last_piece_hash), tokens, probability
        )
        for last_piece_hash, tokens, probability in (
            ("a", 60, 0.5),
            ("b", 50, 0.9),
            ("c", 40, 0.4),
        )
    ]
    chosen = prewarm_order(candidates, budget_tokens=100)
    assert [candidate.last_piece_hash for candidate in chosen] == ["b", "c"]

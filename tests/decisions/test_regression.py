"""Regression tests of seeded simulation runs against the performance targets."""

import random

import pytest
from bench.decisions.deployments import KIM_PHAT
from bench.decisions.runs import PolicyName, RunResult, Scenario, run_scenario

from banyanswitch.decisions.cache_view import CacheView
from banyanswitch.decisions.placement import PlacementRequest, Placer
from banyanswitch.decisions.prefix import cache_salt, chained_piece_hashes
from banyanswitch.decisions.upstream_pool import UpstreamPool, UpstreamView
from banyanswitch.identifiers import (
    FailureDomainId,
    RunId,
    ServiceName,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

SEED = 1
SHORT_TARGET_S = 0.54
STEADY = Scenario(name="steady", duration_s=2_400.0, warm_up_s=600.0)
SURGE = Scenario(
    name="surge",
    duration_s=1_260.0,
    warm_up_s=300.0,
    fault_at_s=600.0,
    window_s=600.0,
    is_surge=True,
)


class CountingPool(UpstreamPool):
    """Pool that counts reads of upstream views."""

    reads = 0

    def get(self, upstream: UpstreamId) -> UpstreamView | None:
        self.reads += 1
        return super().get(upstream)


@pytest.fixture(scope="module")
def steady() -> RunResult:
    return run_scenario(KIM_PHAT, STEADY, PolicyName.PRODUCT, SEED)


def test_short_requests_meet_the_first_token_target(steady: RunResult) -> None:
    assert steady.whole.short.p95_s <= SHORT_TARGET_S
    assert steady.whole.refused == steady.whole.failed == 0


def test_returning_prompts_are_rarely_recomputed(steady: RunResult) -> None:
    least_load = run_scenario(KIM_PHAT, STEADY, PolicyName.LEAST_LOAD, SEED)
    clairvoyant = run_scenario(KIM_PHAT, STEADY, PolicyName.CLAIRVOYANT, SEED)
    share = steady.whole.recomputed_share
    assert share <= least_load.whole.recomputed_share / 3
    assert share <= clairvoyant.whole.recomputed_share + 0.10


def test_links_stay_within_the_declared_shares(steady: RunResult) -> None:
    assert steady.links.most_background_share <= KIM_PHAT.background_share
    assert steady.links.most_share <= 1.0


def test_surge_is_served_at_capacity_and_admitted_short_requests_in_time() -> None:
    result = run_scenario(KIM_PHAT, SURGE, PolicyName.PRODUCT, SEED)
    assert result.window is not None
    assert result.window.goodput_share >= 0.9
    assert result.window.short.p95_s <= SHORT_TARGET_S


def test_work_of_one_placement_does_not_grow_with_the_upstreams() -> None:
    reads = {}
    for count in (9, 780):
        pool = CountingPool()
        placer = Placer(CacheView(), random.Random(SEED))
        salt = cache_salt(WorkspaceId("w"), WeightVersion("v"))
        for index in range(count):
            name = UpstreamId(f"u{index}")
            pool.update(
                UpstreamView(
                    name,
                    ServiceName("s"),
                    FailureDomainId("d"),
                    WeightVersion("v"),
                )
            )
        pool.reads = 0
        for number in range(200):
            chain = chained_piece_hashes(number.to_bytes(2, "big") * 10, 2, salt)
            placer.cache_view.add(UpstreamId(f"u{number % count}"), chain)
            placer.place(
                PlacementRequest(
                    run=RunId(str(number)),
                    workspace=WorkspaceId("w"),
                    service=ServiceName("s"),
                    weight_version=WeightVersion("v"),
                    piece_hashes=chain,
                    prompt_tokens=20_000,
                ),
                pool,
                0.0,
            )
        reads[count] = pool.reads
    assert reads[780] <= 1.5 * reads[9]

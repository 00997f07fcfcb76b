"""Measurement of CPU time per placement and memory per tracked prompt."""

import gc
import random
import statistics
import time
import tracemalloc
from dataclasses import dataclass
from itertools import pairwise

from banyanswitch.decisions.cache_view import CacheView, StoredPrefix
from banyanswitch.decisions.link_budget import (
    LinkBudget,
    LinkBudgets,
    LinkSettings,
    equal_share,
)
from banyanswitch.decisions.placement import (
    Place,
    PlacementPolicy,
    PlacementRequest,
    Placer,
)
from banyanswitch.decisions.prefix import cache_salt, chained_piece_hashes
from banyanswitch.decisions.reuse import ReusePlanner
from banyanswitch.decisions.reuse_models import PromptUse, ReuseSettings
from banyanswitch.decisions.upstream_pool import StoreView, UpstreamPool, UpstreamView
from banyanswitch.identifiers import (
    FailureDomainId,
    PrefixHash,
    RunId,
    ServiceName,
    StoreId,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

POOL_SIZES = (9, 50, 200, 780)
PROMPT_COUNTS = (1_000, 2_000, 4_000, 8_000, 16_000)
PIECES = 25
PIECE_TOKENS = 4_000
DECISIONS = 1_000
ROUNDS = 21
IN_FLIGHT_PER_UPSTREAM = 4
SERVICE = ServiceName("service")
VERSION = WeightVersion("v1")
WORKSPACE = WorkspaceId("workspace")


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """CPU time of one placement.

    Parameters
    ----------
    median_us : float
        Median over the rounds of the mean in a round, in microseconds.
    least_us, most_us : float
        Smallest and largest of these means, in microseconds.
    """

    upstreams: int
    median_us: float
    least_us: float
    most_us: float


@dataclass(frozen=True, slots=True)
class PromptCost:
    """Memory per tracked prompt, for a number of prompts."""

    prompts: int
    bytes_per_prompt: float


def measure_decisions(seed: int) -> list[DecisionCost]:
    """Measure placements in pools of different sizes.

    Each round measures all sizes, so that other load on the machine affects them
    equally.
    """
    pools = {size: _make_placer(size, random.Random(seed)) for size in POOL_SIZES}
    times_us: dict[int, list[float]] = {size: [] for size in POOL_SIZES}
    for _ in range(ROUNDS):
        for size, (placer, pool, requests) in pools.items():
            started = time.process_time()
            for request in requests:
                placer.place(request, pool, 10.0)
            elapsed_s = time.process_time() - started
            times_us[size].append(1e6 * elapsed_s / len(requests))
    return [
        DecisionCost(size, statistics.median(values), min(values), max(values))
        for size, values in times_us.items()
    ]


def measure_prompts() -> list[PromptCost]:
    """Measure the memory of the records of prompts with a stored prefix."""
    return [_measure_prompts(count) for count in PROMPT_COUNTS]


def slope_bytes(costs: list[PromptCost]) -> float:
    """Return the mean growth of memory per additional prompt, in bytes."""
    slopes = [
        (
            after.prompts * after.bytes_per_prompt
            - before.prompts * before.bytes_per_prompt
        )
        / (after.prompts - before.prompts)
        for before, after in pairwise(costs)
    ]
    return sum(slopes) / len(slopes)


def _chain(name: str) -> tuple[PrefixHash, ...]:
    salt = cache_salt(WorkspaceId(name), VERSION)
    return chained_piece_hashes(bytes(PIECES), 1, salt)


def _make_placer(
    size: int, generator: random.Random
) -> tuple[Placer, UpstreamPool, list[PlacementRequest]]:
    view = CacheView()
    pool = UpstreamPool()
    store = StoreId("store")
    pool.update_store(StoreView(store, 1e9))
    links = LinkBudgets()
    settings = LinkSettings(store=store, bytes_per_s=1e9, background_share=0.5)
    links.put(store, LinkBudget(settings, equal_share(0.5, 1), 0.0))
    placer = Placer(view, generator, PlacementPolicy(), links)
    names = [UpstreamId(f"u{index}") for index in range(size)]
    for name in names:
        pool.update(
            UpstreamView(
                name,
                SERVICE,
                FailureDomainId("d"),
                VERSION,
                slots=16,
                running_requests=generator.randrange(8),
                queued_prefill_tokens=generator.randrange(8_000),
                reported_at_s=9.5,
            )
        )
    requests = []
    for index in range(DECISIONS):
        chain = _chain(f"prompt {index}")
        for name in generator.sample(names, 3):
            view.add(name, chain[: generator.randrange(1, PIECES + 1)])
        stored = StoredPrefix(store, chain[-1], PIECES, PIECES * 256_000_000)
        view.add_stored(chain[-1], stored)
        requests.append(
            PlacementRequest(
                run=RunId(str(index)),
                workspace=WORKSPACE,
                service=SERVICE,
                weight_version=VERSION,
                piece_hashes=chain,
                prompt_tokens=PIECES * PIECE_TOKENS + 500,
            )
        )
    for index in range(size * IN_FLIGHT_PER_UPSTREAM):
        place = Place(
            run=RunId(f"sent {index}"),
            upstream=names[index % size],
            expected_first_token_s=0.0,
            expected_cached_pieces=0,
            prefill_tokens=500,
        )
        placer.on_sent(place, 9.8)
    return placer, pool, requests


def _measure_prompts(count: int) -> PromptCost:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    view = CacheView()
    settings = ReuseSettings(max_prompts=2 * count)
    planner = ReusePlanner(settings, view, LinkBudgets(), random.Random(1))
    store = StoreId("store")
    for index in range(count):
        _track(planner, view, store, index)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return PromptCost(count, (after - before) / planner.prompt_count)


def _track(planner: ReusePlanner, view: CacheView, store: StoreId, index: int) -> None:
    chain = _chain(f"prompt {index}")
    use = PromptUse(
        workspace=WORKSPACE,
        weight_version=VERSION,
        piece_hashes=chain,
        upstream=UpstreamId("u0"),
        failure_domain=FailureDomainId("d"),
    )
    planner.on_used(use, float(index))
    stored = StoredPrefix(store, chain[-1], PIECES, PIECES * 256_000_000)
    view.add_stored(chain[-1], stored)
    planner.on_announced(stored)

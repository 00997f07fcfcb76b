"""Swap of weights at the sizes of two deployments, with failures of the holder."""

import asyncio
import math

import pytest

from banyanswitch.components.weights import OrderResult
from tests.components.lease.conftest import LEASE_S
from tests.components.weights.swap_scenario import (
    NEW,
    OLD,
    SERVICE,
    ReconcilerProcess,
    SwapScenario,
)

pytestmark = pytest.mark.looptime(noop_cycles=1)

SIZES = {
    "yushan-answering": {"engine_count": 9, "load_s": 2.0, "fast_loads": 3},
    "yushan-ticketing": {"engine_count": 4, "load_s": 2.0, "fast_loads": 3},
    "kim-phat-appraisal": {"engine_count": 6, "load_s": 1.0, "fast_loads": 2},
    "kim-phat-counter": {"engine_count": 3, "load_s": 1.0, "fast_loads": 2},
}
FAILURES = ("kill", "freeze", "freeze_and_thaw")
STEPS = [
    pytest.param(name, step, id=f"{name}-{step}")
    for name in SIZES
    for step in range(1, SIZES[name]["engine_count"] + 1)
]
SWAP_TIMEOUT_S = 600.0


@pytest.fixture(params=[True, False], ids=["fencing", "no-fencing"])
def checks_fencing(request: pytest.FixtureRequest) -> bool:
    return request.param


@pytest.fixture(params=list(SIZES))
async def scenario(
    request: pytest.FixtureRequest, checks_fencing: bool
) -> SwapScenario:
    return SwapScenario(**SIZES[request.param], checks_fencing=checks_fencing)


async def async_start_swap(scenario: SwapScenario) -> ReconcilerProcess:
    scenario.start()
    await asyncio.sleep(2.0 * LEASE_S)
    scenario.declare(NEW)
    holder = scenario.holder()
    assert holder is not None
    return holder


def assert_tokens_and_load_limit(scenario: SwapScenario) -> None:
    """Check that tokens never decrease and the limit of concurrent loads is kept."""
    tokens = [order.fencing_token for _, order in scenario.loads()]
    assert tokens == sorted(tokens)
    assert scenario.store.most_loading <= scenario.store.fast_loads


async def test_swap_ends_on_the_declared_version(scenario: SwapScenario) -> None:
    await async_start_swap(scenario)
    await scenario.async_until_swapped(NEW, limit_s=SWAP_TIMEOUT_S)
    await asyncio.sleep(60.0)
    assert_tokens_and_load_limit(scenario)
    assert len(scenario.loads()) == len(scenario.engines)
    assert {issued.result for issued in scenario.issued} == {OrderResult.ACCEPTED}


async def test_enough_upstreams_keep_serving(scenario: SwapScenario) -> None:
    await async_start_swap(scenario)
    total = len(scenario.engines)
    share = scenario.configuration.active_service.swap.min_serving_share
    while NEW not in scenario.versions() or OLD in scenario.versions():
        serving = sum(not engine.is_loading for engine in scenario.engines.values())
        assert serving >= min(math.ceil(share * total), total - 1)
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize(("size", "step"), STEPS)
async def test_holder_fails_at_each_order(
    *, size: str, step: int, failure: str, checks_fencing: bool
) -> None:
    scenario = SwapScenario(**SIZES[size], checks_fencing=checks_fencing)
    holder = await async_start_swap(scenario)
    await scenario.async_until_sent(step)
    if failure == "kill":
        holder.kill()
    else:
        holder.gate.pause()
    if failure == "freeze_and_thaw":
        await asyncio.sleep(LEASE_S * 1.5)
        holder.gate.resume()
    await scenario.async_until_swapped(NEW, limit_s=SWAP_TIMEOUT_S)
    await asyncio.sleep(60.0)
    assert scenario.versions() == [NEW] * len(scenario.engines)
    assert_tokens_and_load_limit(scenario)


@pytest.mark.parametrize("delay_s", [0.5, 2.0, 5.0, LEASE_S * 1.5])
async def test_orders_of_two_holders_are_delayed(
    scenario: SwapScenario, delay_s: float
) -> None:
    holder = await async_start_swap(scenario)
    for process in scenario.processes.values():
        process.sender.delay_s = delay_s
    await scenario.async_until_sent(1)
    holder.kill()
    await asyncio.sleep(3.0 * LEASE_S)
    for process in scenario.processes.values():
        process.sender.delay_s = 0.01
    await scenario.async_until_swapped(NEW, limit_s=SWAP_TIMEOUT_S)
    await asyncio.sleep(60.0)
    assert scenario.versions() == [NEW] * len(scenario.engines)
    assert_tokens_and_load_limit(scenario)


async def test_planned_handover_with_orders_in_transit(
    scenario: SwapScenario,
) -> None:
    holder = await async_start_swap(scenario)
    await scenario.async_until_sent(1)
    holder.sender.delay_s = 0.9 * scenario.configuration.active_service.swap.load_s
    await asyncio.sleep(4.0)
    holder.kill()
    await holder.leases.async_release_all()
    await scenario.async_until_swapped(NEW, limit_s=SWAP_TIMEOUT_S)
    await asyncio.sleep(60.0)
    assert_tokens_and_load_limit(scenario)


async def test_order_is_not_sent_after_the_lease_was_lost(
    scenario: SwapScenario,
) -> None:
    """The holder loses the lease between planning and sending the order."""
    holder = await async_start_swap(scenario)
    await asyncio.sleep(0.0)
    lease = holder.leases.held(f"weights/{SERVICE}")
    assert lease is not None
    holder.weights.step()
    holder.leases.held = lambda name: None
    await asyncio.sleep(1.0)
    assert holder.sender.sent == 0


async def test_table_outage_stops_orders_and_the_swap_continues_after_it(
    scenario: SwapScenario,
) -> None:
    await async_start_swap(scenario)
    await scenario.async_until_sent(1)
    scenario.table.is_down = True
    await asyncio.sleep(2.0 * LEASE_S)
    sent = sum(process.sender.sent for process in scenario.processes.values())
    await asyncio.sleep(2.0 * LEASE_S)
    assert sum(process.sender.sent for process in scenario.processes.values()) == sent
    scenario.table.is_down = False
    await scenario.async_until_swapped(NEW, limit_s=SWAP_TIMEOUT_S)
    assert_tokens_and_load_limit(scenario)


async def test_upstream_that_restarts_on_the_old_version_is_reloaded(
    scenario: SwapScenario,
) -> None:
    await async_start_swap(scenario)
    await scenario.async_until_swapped(NEW, limit_s=SWAP_TIMEOUT_S)
    await asyncio.sleep(10.0)
    next(iter(scenario.engines.values())).set_state(OLD, False)
    await scenario.async_until_swapped(NEW, limit_s=60.0)


async def test_declared_version_changes_during_the_swap(scenario: SwapScenario) -> None:
    await async_start_swap(scenario)
    await scenario.async_until_sent(2)
    scenario.declare(OLD)
    await asyncio.sleep(60.0)
    assert scenario.versions() == [OLD] * len(scenario.engines)
    assert_tokens_and_load_limit(scenario)


async def test_dead_upstreams_do_not_delay_the_others(scenario: SwapScenario) -> None:
    """All but one of the upstreams that may stop serving at the same time are dead."""
    await async_start_swap(scenario)
    total = len(scenario.engines)
    share = scenario.configuration.active_service.swap.min_serving_share
    dead = list(scenario.engines)[: total - math.ceil(share * total) - 1]
    scenario.directory.silent = set(dead)
    reporting = [
        engine for name, engine in scenario.engines.items() if name not in dead
    ]
    for _ in range(int(SWAP_TIMEOUT_S)):
        await asyncio.sleep(1.0)
        if all(engine.version == NEW for engine in reporting):
            return
    pytest.fail(f"left on the old version: {scenario.versions()}")

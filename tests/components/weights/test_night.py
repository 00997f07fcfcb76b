"""The nightly swap at the sizes of both deployments, with its holder failing."""

import asyncio
import math

import pytest

from banyanswitch.components.weights import OrderResult
from tests.components.lease.conftest import LEASE_S
from tests.components.weights.night import NEW, OLD, SERVICE, Holder, Night

pytestmark = pytest.mark.looptime(noop_cycles=1)

SIZES = {
    "yushan-answering": {"runners": 9, "load_s": 2.0, "fast_loads": 3},
    "yushan-ticketing": {"runners": 4, "load_s": 2.0, "fast_loads": 3},
    "kim-phat-appraisal": {"runners": 6, "load_s": 1.0, "fast_loads": 2},
    "kim-phat-counter": {"runners": 3, "load_s": 1.0, "fast_loads": 2},
}
FAILURES = ("kill", "freeze", "freeze_and_thaw")
STEPS = [
    pytest.param(name, step, id=f"{name}-{step}")
    for name in SIZES
    for step in range(1, SIZES[name]["runners"] + 1)
]
NIGHT_S = 600.0


@pytest.fixture(params=[True, False], ids=["fencing", "no-fencing"])
def checks_fencing(request: pytest.FixtureRequest) -> bool:
    return request.param


@pytest.fixture(params=list(SIZES))
async def night(request: pytest.FixtureRequest, checks_fencing: bool) -> Night:
    return Night(**SIZES[request.param], checks_fencing=checks_fencing)


async def async_start_swap(night: Night) -> Holder:
    night.start()
    await asyncio.sleep(2.0 * LEASE_S)
    night.declare(NEW)
    holder = night.holder()
    assert holder is not None
    return holder


def assert_orderly(night: Night) -> None:
    """No load started under an old token after one under a newer token."""
    tokens = [order.fencing_token for _, order in night.loads()]
    assert tokens == sorted(tokens)
    assert night.store.most_loading <= night.store.fast_loads


async def test_swap_ends_on_the_declared_version(night: Night) -> None:
    await async_start_swap(night)
    await night.async_until_swapped(NEW, limit_s=NIGHT_S)
    await asyncio.sleep(60.0)
    assert_orderly(night)
    assert len(night.loads()) == len(night.engines)
    assert {issued.result for issued in night.issued} == {OrderResult.ACCEPTED}


async def test_enough_upstreams_go_on_serving(night: Night) -> None:
    await async_start_swap(night)
    total = len(night.engines)
    share = night.configuration.service_in_force.swap.min_serving_share
    while NEW not in night.versions() or OLD in night.versions():
        serving = sum(not engine.is_loading for engine in night.engines.values())
        assert serving >= min(math.ceil(share * total), total - 1)
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize(("size", "step"), STEPS)
async def test_holder_fails_at_each_order(
    *, size: str, step: int, failure: str, checks_fencing: bool
) -> None:
    night = Night(**SIZES[size], checks_fencing=checks_fencing)
    holder = await async_start_swap(night)
    await night.async_until_sent(step)
    if failure == "kill":
        holder.kill()
    else:
        holder.gate.freeze()
    if failure == "freeze_and_thaw":
        await asyncio.sleep(LEASE_S * 1.5)
        holder.gate.thaw()
    await night.async_until_swapped(NEW, limit_s=NIGHT_S)
    await asyncio.sleep(60.0)
    assert night.versions() == [NEW] * len(night.engines)
    assert_orderly(night)


@pytest.mark.parametrize("delay_s", [0.5, 2.0, 5.0, LEASE_S * 1.5])
async def test_orders_of_two_holders_are_delayed(night: Night, delay_s: float) -> None:
    holder = await async_start_swap(night)
    for other in night.holders.values():
        other.sender.delay_s = delay_s
    await night.async_until_sent(1)
    holder.kill()
    await asyncio.sleep(3.0 * LEASE_S)
    for other in night.holders.values():
        other.sender.delay_s = 0.01
    await night.async_until_swapped(NEW, limit_s=NIGHT_S)
    await asyncio.sleep(60.0)
    assert night.versions() == [NEW] * len(night.engines)
    assert_orderly(night)


async def test_planned_handover_with_orders_on_their_way(night: Night) -> None:
    holder = await async_start_swap(night)
    await night.async_until_sent(1)
    holder.sender.delay_s = 0.9 * night.configuration.service_in_force.swap.load_s
    await asyncio.sleep(4.0)
    holder.kill()
    await holder.leases.async_release_all()
    await night.async_until_swapped(NEW, limit_s=NIGHT_S)
    await asyncio.sleep(60.0)
    assert_orderly(night)


async def test_order_is_not_sent_after_the_lease_was_lost(night: Night) -> None:
    """The holder freezes between its plan and the order."""
    holder = await async_start_swap(night)
    await asyncio.sleep(0.0)
    lease = holder.leases.held(f"weights/{SERVICE}")
    assert lease is not None
    holder.weights.step()
    holder.leases.held = lambda name: None
    await asyncio.sleep(1.0)
    assert holder.sender.sent == 0


async def test_table_outage_stops_orders_and_the_swap_goes_on_after_it(
    night: Night,
) -> None:
    await async_start_swap(night)
    await night.async_until_sent(1)
    night.table.is_down = True
    await asyncio.sleep(2.0 * LEASE_S)
    sent = sum(holder.sender.sent for holder in night.holders.values())
    await asyncio.sleep(2.0 * LEASE_S)
    assert sum(holder.sender.sent for holder in night.holders.values()) == sent
    night.table.is_down = False
    await night.async_until_swapped(NEW, limit_s=NIGHT_S)
    assert_orderly(night)


async def test_upstream_that_restarts_on_the_old_version_is_put_right(
    night: Night,
) -> None:
    await async_start_swap(night)
    await night.async_until_swapped(NEW, limit_s=NIGHT_S)
    await asyncio.sleep(10.0)
    next(iter(night.engines.values())).set_state(OLD, False)
    await night.async_until_swapped(NEW, limit_s=60.0)


async def test_declared_version_changes_during_the_swap(night: Night) -> None:
    await async_start_swap(night)
    await night.async_until_sent(2)
    night.declare(OLD)
    await asyncio.sleep(60.0)
    assert night.versions() == [OLD] * len(night.engines)
    assert_orderly(night)


async def test_dead_upstreams_do_not_hold_up_the_others(night: Night) -> None:
    """As many are dead as leave one to load above the share that must serve."""
    await async_start_swap(night)
    total = len(night.engines)
    share = night.configuration.service_in_force.swap.min_serving_share
    dead = list(night.engines)[: total - math.ceil(share * total) - 1]
    night.directory.silent = set(dead)
    heard = [engine for name, engine in night.engines.items() if name not in dead]
    for _ in range(int(NIGHT_S)):
        await asyncio.sleep(1.0)
        if all(engine.version == NEW for engine in heard):
            return
    pytest.fail(f"left on the old version: {night.versions()}")

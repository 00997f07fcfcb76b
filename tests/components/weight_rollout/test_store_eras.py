"""Orders and target times while the store returns from an older copy."""

import asyncio
import random
from dataclasses import dataclass

import pytest

from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.lease.const import TOKENS_PER_ERA
from banyanswitch.components.lease.coordinator import LeaseCoordinator
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.weight_rollout.const import (
    DUTY,
    ERA_READ_SPREAD_S,
    HANDOVER_MARGIN_S,
    LEASE_S,
    ORDER_WINDOW_S,
)
from banyanswitch.components.weight_rollout.order_lease import OrderLease
from banyanswitch.components.weight_rollout.target_time_store import TargetTimeStore
from banyanswitch.helpers.suspension import SuspensionWatch
from tests.components.forwarding.fakes import MODEL, NoFeed, PlainDecoder
from tests.components.lease.conftest import FixedPeers, make_peer
from tests.fakes.clocks import LoopStoreClock, SetSuspensionClock
from tests.fakes.era_table import EraStore, EraTable

pytestmark = pytest.mark.looptime
NAMES = ("a", "b", "c", "d")
EXCLUSION_S = 3.0
CHECK_INTERVAL_S = 0.05
LEASE_INTERVAL_S = LEASE_S / 3
SEEDS = range(10)


@dataclass(frozen=True)
class Order:
    at_s: float
    holder: str
    token: int


class Process:
    """Process that sends an order whenever it may."""

    def __init__(
        self, name: str, start: int, store: EraStore, log: list[Order]
    ) -> None:
        self.name = name
        self._log = log
        self.table = EraTable(store)
        others = [make_peer(other) for other in NAMES if other != name]
        self.peers = FixedPeers(make_peer(name), others)
        self.leases = LeaseCoordinator(
            table=self.table,
            peers=self.peers,
            holder=f"{name}/{start}",
            lease_s=LEASE_S,
            generator=random.Random(f"{name}/{start}"),
            clock=LoopStoreClock(),
            eras=self.table,
        )
        self.leases.campaign(DUTY)
        self.order_lease = OrderLease(
            self.leases,
            EXCLUSION_S,
            SuspensionWatch(SetSuspensionClock()),
            lambda: False,
        )
        self._tasks = [
            asyncio.create_task(self.leases.async_run()),
            asyncio.create_task(self._async_order()),
        ]

    def kill(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _async_order(self) -> None:
        while True:
            token = self.order_lease.token(now_s())
            if token is not None:
                self._log.append(Order(now_s(), self.name, token))
            await asyncio.sleep(CHECK_INTERVAL_S)


def now_s() -> float:
    return asyncio.get_running_loop().time()


def assert_in_order(orders: list[Order]) -> None:
    for before, after in zip(orders, orders[1:], strict=False):
        assert after.token >= before.token
        if after.holder != before.holder:
            assert after.token > before.token
            assert after.at_s - before.at_s >= EXCLUSION_S


async def async_drill(store: EraStore, generator: random.Random) -> None:
    store.take_copy()
    await asyncio.sleep(generator.choice([0.1, 1.0, 3.0, 8.0]))
    store.is_away = True
    await asyncio.sleep(generator.choice([0.0, 0.05, 0.5, 2.0, 5.0]))
    store.return_from_copy()


# Guards against tokens that are given out twice, and against two holders in two eras.
@pytest.mark.parametrize("seed", SEEDS)
async def test_orders_of_two_holders_keep_apart_over_eras(seed: int) -> None:
    generator = random.Random(seed)
    store = EraStore()
    orders: list[Order] = []
    processes = [Process(name, 0, store, orders) for name in NAMES]
    for round_number in range(1, 5):
        await asyncio.sleep(generator.uniform(0.0, 12.0))
        drill = asyncio.create_task(async_drill(store, generator))
        for _ in range(generator.randint(0, 4)):
            await asyncio.sleep(generator.uniform(0.0, 3.0))
            place = generator.randrange(len(NAMES))
            if generator.random() < 0.5:
                place = next(
                    (
                        i
                        for i, process in enumerate(processes)
                        if process.leases.held(DUTY) is not None
                    ),
                    place,
                )
            processes[place].kill()
            start = 10 * round_number + place
            processes[place] = Process(NAMES[place], start, store, orders)
        await drill
    await asyncio.sleep(30.0)
    for process in processes:
        process.kill()
    assert_in_order(orders)
    assert orders[-1].token // TOKENS_PER_ERA == store.era
    assert now_s() - orders[-1].at_s < 1.0


# Guards against a duty that nobody takes after the store's return.
@pytest.mark.parametrize("copy_age_s", [0.5, 5.0, 60.0])
async def test_orders_resume_soon_after_the_stores_return(copy_age_s: float) -> None:
    store = EraStore()
    orders: list[Order] = []
    processes = [Process(name, 0, store, orders) for name in NAMES]
    await asyncio.sleep(20.0)
    store.take_copy()
    await asyncio.sleep(copy_age_s)
    store.is_away = True
    await asyncio.sleep(0.5)
    store.return_from_copy()
    returned_at_s = now_s()
    await asyncio.sleep(20.0)
    for process in processes:
        process.kill()
    resumed_at_s = next(o.at_s for o in orders if o.token >= 2 * TOKENS_PER_ERA)
    handover_s = EXCLUSION_S + HANDOVER_MARGIN_S - (LEASE_S - ORDER_WINDOW_S)
    # Two intervals: until the era is known, and until the end of the lease is seen.
    limit_s = LEASE_S + handover_s + 2 * LEASE_INTERVAL_S + 2 * CHECK_INTERVAL_S
    assert resumed_at_s - returned_at_s <= limit_s


# Guards against a time that is believed to be stored although the store has lost it.
async def test_target_times_are_written_again_after_the_stores_return() -> None:
    store = EraStore()
    store.take_copy()
    process = Process("a", 0, store, [])
    mirror = TableMirror("op", NoFeed(), random.Random(1))
    routing = RoutingState(mirror, PlainDecoder(), "config")
    routing.note_target_time(MODEL, 3, now_s() - 5.0)
    routing.targets[MODEL].version = 3
    times = TargetTimeStore(
        table=process.table,
        clock=LoopStoreClock(),
        routing=routing,
        order_lease=process.order_lease,
        peers=process.peers,
        generator=random.Random(1),
        eras=process.table,
    )
    task = asyncio.create_task(times.async_run())
    await asyncio.sleep(10.0)
    written = store.rows[f"weights/{MODEL}"][1]
    store.is_away = True
    await asyncio.sleep(0.5)
    store.return_from_copy()
    assert f"weights/{MODEL}" not in store.rows
    await asyncio.sleep(ERA_READ_SPREAD_S + LEASE_S + 2.0)
    assert store.rows[f"weights/{MODEL}"][1] == written
    task.cancel()
    process.kill()

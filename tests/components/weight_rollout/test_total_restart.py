"""Orders after all instances have ended and started again."""

import asyncio
import random
from collections.abc import Sequence

import pytest

from banyanswitch.components.lease import LeaseCoordinator
from banyanswitch.components.weight_rollout.const import (
    DUTY,
    HANDOVER_MARGIN_S,
    LEASE_S,
    ORDER_WINDOW_S,
)
from banyanswitch.components.weight_rollout.order_lease import OrderLease
from banyanswitch.helpers.suspension import SuspensionWatch
from tests.components.lease.conftest import FixedPeers, make_peer
from tests.fakes.clocks import LoopStoreClock, SetSuspensionClock
from tests.fakes.table import FakeTable

pytestmark = pytest.mark.looptime
NAMES = ("a", "b", "c", "d")
EXCLUSION_S = 3.0
CHECK_INTERVAL_S = 0.01
LEASE_INTERVAL_S = LEASE_S / 3


class Process:
    """Process that holds or watches the duty, with its lease task."""

    def __init__(self, name: str, start: int, table: FakeTable, late_s: float) -> None:
        others = [make_peer(other) for other in NAMES if other != name]
        self.leases = LeaseCoordinator(
            table=table,
            peers=FixedPeers(make_peer(name), others),
            holder=f"{name}/{start}",
            lease_s=LEASE_S,
            generator=random.Random(f"{name}/{start}"),
            clock=LoopStoreClock(late_s=late_s),
        )
        self.leases.campaign(DUTY)
        self.order_lease = OrderLease(
            self.leases,
            EXCLUSION_S,
            SuspensionWatch(SetSuspensionClock()),
            lambda: False,
        )
        self.task = asyncio.create_task(self.leases.async_run())

    def may_order(self) -> bool:
        return self.order_lease.token(now_s()) is not None


def now_s() -> float:
    return asyncio.get_running_loop().time()


def start_all(start: int, table: FakeTable, late_s: float = 0.0) -> list[Process]:
    return [Process(name, start, table, late_s) for name in NAMES]


async def async_first_order(processes: Sequence[Process]) -> Process:
    while True:
        for process in processes:
            if process.may_order():
                return process
        await asyncio.sleep(CHECK_INTERVAL_S)


async def async_end_all(processes: Sequence[Process], held_s: float) -> float:
    """End all processes between two renewals; return the time of the last one."""
    holder = await async_first_order(processes)
    await asyncio.sleep(held_s)
    for process in processes:
        process.task.cancel()
    lease = holder.leases.held(DUTY)
    assert lease is not None
    return lease.renewed_at_s


# A total restart left the duty without orders for 6 s.
@pytest.mark.parametrize("late_s", [0.0, 0.2])
@pytest.mark.parametrize("outage_s", [0.0, 0.5, 1.5, 3.0, 6.0, 60.0])
@pytest.mark.parametrize("held_s", [8.1, 8.5])
async def test_orders_resume_when_the_last_ones_can_not_arrive_any_more(
    held_s: float, outage_s: float, late_s: float
) -> None:
    table = FakeTable(latency_s=0.005)
    renewed_at_s = await async_end_all(start_all(1, table), held_s)
    await asyncio.sleep(outage_s)
    started_at_s = now_s()
    await async_first_order(start_all(2, table, late_s))
    first_order_s = now_s()
    wait_s = ORDER_WINDOW_S + EXCLUSION_S + HANDOVER_MARGIN_S
    assert first_order_s >= renewed_at_s + wait_s
    latest_s = max(renewed_at_s + wait_s, started_at_s) + LEASE_INTERVAL_S
    assert first_order_s <= latest_s, f"{first_order_s - started_at_s:.2f} s to orders"

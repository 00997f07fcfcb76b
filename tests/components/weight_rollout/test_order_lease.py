"""Times at which the holder of the duty may send orders."""

import asyncio

import pytest

from banyanswitch.components.weight_rollout.const import (
    DUTY,
    HANDOVER_MARGIN_S,
    LEASE_S,
    ORDER_WINDOW_S,
)
from banyanswitch.components.weight_rollout.order_lease import OrderLease
from banyanswitch.helpers.suspension import SuspensionWatch
from banyanswitch.interfaces import Lease

pytestmark = pytest.mark.looptime
EXCLUSION_S = 3.0


class FakeClock:
    """Implements ``SuspensionClock``."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def suspended_s(self) -> float:
        return self.seconds


class FakeLeases:
    """Implements ``LeaseManager`` for one duty."""

    def __init__(self) -> None:
        self.lease: Lease | None = None
        self.forfeited = 0

    def campaign(self, name: str) -> None:
        assert name == DUTY

    def held(self, name: str) -> Lease | None:
        return self.lease if name == DUTY else None

    def forfeit(self, name: str) -> None:
        self.lease = None
        self.forfeited += 1

    def renew(self, token: int) -> None:
        now = now_s()
        self.lease = Lease(DUTY, token, now + LEASE_S, now)


class Setup:
    def __init__(self) -> None:
        self.leases = FakeLeases()
        self.clock = FakeClock()
        self.is_leaving = False
        self.order_lease = OrderLease(
            self.leases,
            EXCLUSION_S,
            SuspensionWatch(self.clock),
            lambda: self.is_leaving,
        )

    def token(self) -> int | None:
        return self.order_lease.token(now_s())


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def test_the_first_holder_may_order_at_once() -> None:
    setup = Setup()
    assert setup.token() is None
    setup.leases.renew(1)
    assert setup.token() == 1


async def test_a_successor_waits_until_the_exclusion_of_the_last_order_ends() -> None:
    """The last order may be sent `ORDER_WINDOW_S` after the last renewal."""
    setup = Setup()
    renewed_by_other_s = now_s()
    await asyncio.sleep(LEASE_S)
    setup.leases.renew(2)
    assert setup.token() is None
    while setup.token() is None:
        await asyncio.sleep(0.05)
        setup.leases.renew(2)
    last_order_s = renewed_by_other_s + ORDER_WINDOW_S
    assert now_s() - last_order_s >= EXCLUSION_S + HANDOVER_MARGIN_S - 0.001


async def test_a_holder_that_can_not_renew_stops_well_before_its_lease_ends() -> None:
    setup = Setup()
    setup.leases.renew(1)
    assert setup.token() == 1
    await asyncio.sleep(ORDER_WINDOW_S + 0.05)
    assert setup.token() is None
    assert setup.order_lease.is_holder()


async def test_a_suspended_holder_forfeits_its_lease() -> None:
    """The event loop's clock does not count the time of a suspension."""
    setup = Setup()
    setup.leases.renew(1)
    assert setup.token() == 1
    setup.clock.seconds += 6.6
    assert setup.token() is None
    assert setup.leases.forfeited == 1


async def test_a_fenced_holder_forfeits_its_lease() -> None:
    setup = Setup()
    setup.leases.renew(1)
    assert setup.token() == 1
    setup.order_lease.invalidate()
    assert setup.token() is None
    assert setup.leases.forfeited == 1


async def test_a_stopping_holder_may_not_order() -> None:
    setup = Setup()
    setup.leases.renew(1)
    setup.is_leaving = True
    assert setup.token() is None

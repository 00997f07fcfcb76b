"""Times at which the holder of the duty may send orders."""

import asyncio

import pytest
from structlog.testing import capture_logs

from banyanswitch.components.weight_rollout.const import (
    DUTY,
    HANDOVER_MARGIN_S,
    LEASE_S,
    ORDER_WINDOW_S,
)
from banyanswitch.components.weight_rollout.order_lease import OrderLease
from banyanswitch.helpers.suspension import SuspensionWatch
from banyanswitch.interfaces import Lease
from tests.fakes.clocks import SetSuspensionClock

pytestmark = pytest.mark.looptime
EXCLUSION_S = 3.0


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

    def renew(self, token: int, predecessor_renewed_by_s: float | None = None) -> None:
        now = now_s()
        self.lease = Lease(DUTY, token, now + LEASE_S, now, predecessor_renewed_by_s)


class Setup:
    def __init__(self) -> None:
        self.leases = FakeLeases()
        self.clock = SetSuspensionClock()
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


# A successor of a holder that ended long ago waited as if it had just ended.
@pytest.mark.parametrize("age_s", [0.5, LEASE_S, 3.5, 60.0])
async def test_a_successor_waits_no_longer_than_orders_can_be_in_effect(
    age_s: float,
) -> None:
    setup = Setup()
    renewed_by_s = now_s()
    await asyncio.sleep(age_s)
    acquired_at_s = now_s()
    setup.leases.renew(2, renewed_by_s)
    while setup.token() is None:
        await asyncio.sleep(0.05)
        setup.leases.renew(2, renewed_by_s)
    handover_s = EXCLUSION_S + HANDOVER_MARGIN_S
    ends_at_s = min(
        renewed_by_s + ORDER_WINDOW_S + handover_s,
        acquired_at_s + handover_s - (LEASE_S - ORDER_WINDOW_S),
    )
    assert now_s() >= ends_at_s - 0.001
    assert now_s() <= max(acquired_at_s, ends_at_s) + 0.051


async def test_duty_is_logged_with_the_age_of_its_last_renewal() -> None:
    setup = Setup()
    with capture_logs() as logs:
        setup.leases.renew(2, now_s() - 4.0)
        setup.token()
    (line,) = [line for line in logs if line["event"] == "duty_taken"]
    assert line["predecessor_age_s"] == 4.0
    assert line["wait_s"] == pytest.approx(0.4)


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

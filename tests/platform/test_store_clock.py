"""Estimates of the store's clock from slow responses and across suspensions."""

import asyncio
from collections.abc import Iterable

import msgspec
import pytest

from banyanswitch.components.http1.client import HttpResponse
from banyanswitch.components.http1.models import Header
from banyanswitch.interfaces import Write, WriteClass
from banyanswitch.platform.tables import PlatformTables
from tests.fakes.clocks import SetSuspensionClock

pytestmark = pytest.mark.looptime
AHEAD_S = 500.0
ROUNDING_S = 0.003


class SlowStore:
    """HTTP client whose responses contain the time at which they were sent."""

    def __init__(self, suspension: SetSuspensionClock) -> None:
        self.suspension = suspension
        self.request_s = 0.002
        self.response_s = 0.002
        self.suspended_in_response_s = 0.0
        self.has_clock = True

    def now_s(self) -> float:
        loop_s = asyncio.get_running_loop().time()
        return AHEAD_S + loop_s + self.suspension.seconds

    async def async_call(
        self,
        method: str,
        address: str,
        target: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Iterable[Header] = (),
    ) -> HttpResponse:
        await asyncio.sleep(self.request_s)
        document: dict[str, object] = {"rows": [], "ver": 7}
        if self.has_clock:
            document["nowMs"] = self.now_s() * 1000.0
        await asyncio.sleep(self.response_s)
        self.suspension.seconds += self.suspended_in_response_s
        return HttpResponse(200, (), msgspec.json.encode(document))


class Setup:
    def __init__(self) -> None:
        self.suspension = SetSuspensionClock()
        self.store = SlowStore(self.suspension)
        self.tables = PlatformTables(self.store, "store:1", 1.0, self.suspension)

    async def async_read(self) -> None:
        await self.tables.async_get(["lease/orders"])

    def lateness_s(self, max_error_s: float) -> float | None:
        clock_s = self.tables.clock_s(max_error_s)
        return None if clock_s is None else self.store.now_s() - clock_s


async def test_clock_is_unknown_before_the_first_response() -> None:
    assert Setup().tables.clock_s() is None


async def test_reading_of_a_fast_response_is_kept_over_those_of_slow_ones() -> None:
    setup = Setup()
    await setup.async_read()
    setup.store.response_s = 0.4
    for _ in range(5):
        await setup.async_read()
        lateness_s = setup.lateness_s(max_error_s=0.01)
        assert lateness_s is not None
        assert 0.0 <= lateness_s <= 0.01


async def test_slow_responses_give_no_time_with_a_small_error() -> None:
    setup = Setup()
    setup.store.response_s = 0.4
    await setup.async_read()
    assert setup.lateness_s(max_error_s=0.25) is None
    lateness_s = setup.lateness_s(max_error_s=0.5)
    assert lateness_s is not None
    assert lateness_s == pytest.approx(0.4, abs=ROUNDING_S)


async def test_old_readings_give_no_time_with_a_small_error() -> None:
    setup = Setup()
    await setup.async_read()
    await asyncio.sleep(30.0)
    assert setup.lateness_s(max_error_s=0.25) is None
    assert setup.tables.clock_s() is not None


async def test_responses_to_writes_contain_the_time_too() -> None:
    """The holder of a lease writes its renewals and reads nothing."""
    setup = Setup()
    await setup.tables.async_transact([Write("t/k", b"1")], WriteClass.LEASE)
    assert setup.lateness_s(max_error_s=0.01) is not None


async def test_clock_counts_the_time_of_a_suspension() -> None:
    setup = Setup()
    await setup.async_read()
    setup.suspension.seconds += 6.6
    lateness_s = setup.lateness_s(max_error_s=0.01)
    assert lateness_s is not None
    assert 0.0 <= lateness_s <= 0.01


async def test_response_delayed_by_a_suspension_has_a_large_error() -> None:
    setup = Setup()
    setup.store.suspended_in_response_s = 6.6
    await setup.async_read()
    assert setup.lateness_s(max_error_s=0.25) is None


async def test_response_without_the_time_is_no_reading() -> None:
    setup = Setup()
    setup.store.has_clock = False
    await setup.async_read()
    assert setup.tables.clock_s() is None

"""Leases whose records contain the time of the store's clock."""

import asyncio
import random

import msgspec
import pytest

from banyanswitch.components.lease import LeaseCoordinator
from banyanswitch.components.lease.const import CLOCK_MARGIN_S
from banyanswitch.components.lease.duty import Duty
from banyanswitch.components.lease.models import LeaseRecord, decode_lease, lease_key
from banyanswitch.interfaces import Item, StoreClock
from tests.components.lease.conftest import DUTY, LEASE_S, FixedPeers, make_peer
from tests.fakes.clocks import LoopStoreClock
from tests.fakes.table import FakeTable

pytestmark = pytest.mark.looptime
RENEWED_AT_S = 1000.0


class RecordOfEarlierRelease(msgspec.Struct, frozen=True, kw_only=True):
    """Lease record without the time of its renewal."""

    holder: str
    fencing_token: int
    duration_s: float
    renewal: int


def make_item(holder: str, renewed_at_s: float | None, renewal: int = 0) -> Item:
    record = LeaseRecord(
        holder=holder,
        fencing_token=5,
        duration_s=LEASE_S,
        renewal=renewal,
        renewed_at_s=renewed_at_s,
    )
    return Item(lease_key(DUTY), 9 + renewal, msgspec.msgpack.encode(record))


def make_coordinator(
    table: FakeTable, clock: StoreClock | None, holder: str
) -> LeaseCoordinator:
    coordinator = LeaseCoordinator(
        table=table,
        peers=FixedPeers(make_peer(holder), []),
        holder=holder,
        lease_s=LEASE_S,
        generator=random.Random(1),
        clock=clock,
    )
    coordinator.campaign(DUTY)
    return coordinator


def stored(table: FakeTable) -> LeaseRecord:
    return decode_lease(table.items[lease_key(DUTY)].value)


def test_record_is_read_by_and_from_an_earlier_release() -> None:
    item = make_item("a", RENEWED_AT_S)
    earlier = msgspec.msgpack.decode(item.value, type=RecordOfEarlierRelease)
    assert (earlier.holder, earlier.fencing_token) == ("a", 5)
    record = decode_lease(msgspec.msgpack.encode(earlier))
    assert record.renewed_at_s is None


@pytest.mark.parametrize(
    ("age_s", "is_free"),
    [
        (0.0, False),
        (LEASE_S, False),
        (LEASE_S + CLOCK_MARGIN_S - 0.01, False),
        (LEASE_S + CLOCK_MARGIN_S + 0.01, True),
        (-60.0, False),
    ],
)
def test_lease_is_free_after_its_duration_by_the_stores_clock(
    age_s: float, is_free: bool
) -> None:
    duty = Duty(DUTY, "b", LEASE_S)
    duty.observe(make_item("a", RENEWED_AT_S), 0.0, RENEWED_AT_S + age_s)
    assert (duty.next_write(0.0) is not None) == is_free
    assert duty.next_write(LEASE_S) is not None


@pytest.mark.parametrize(
    ("renewed_at_s", "clock_s"), [(None, 2000.0), (RENEWED_AT_S, None)]
)
def test_lease_with_an_unknown_age_is_watched_for_its_duration(
    renewed_at_s: float | None, clock_s: float | None
) -> None:
    duty = Duty(DUTY, "b", LEASE_S)
    duty.observe(make_item("a", renewed_at_s), 0.0, clock_s)
    assert duty.next_write(LEASE_S - 0.01) is None
    assert duty.next_write(LEASE_S) is not None


def test_time_of_the_predecessor_is_kept_over_renewals() -> None:
    duty = Duty(DUTY, "b", LEASE_S)
    duty.observe(make_item("a", RENEWED_AT_S), 100.0, RENEWED_AT_S + 60.0)
    for now_s, revision in ((100.0, 10), (103.0, 11)):
        write = duty.next_write(now_s)
        assert write is not None
        duty.on_written(write, revision, now_s)
        lease = duty.held(now_s)
        assert lease is not None
        assert lease.predecessor_renewed_by_s == 100.0 - 60.0 + CLOCK_MARGIN_S


# An instance that started after the holder had ended watched the record for 10 s.
async def test_started_instance_acquires_an_old_lease_in_its_first_step() -> None:
    table = FakeTable(latency_s=0.005)
    await make_coordinator(table, LoopStoreClock(), "a").async_step()
    await asyncio.sleep(LEASE_S + CLOCK_MARGIN_S)
    successor = make_coordinator(table, LoopStoreClock(), "b")
    await successor.async_step()
    assert successor.held(DUTY) is not None


@pytest.mark.parametrize("late_s", [0.0, CLOCK_MARGIN_S])
async def test_records_contain_the_time_with_a_small_error(late_s: float) -> None:
    table = FakeTable()
    clock = LoopStoreClock(late_s=late_s)
    coordinator = make_coordinator(table, clock, "a")
    for renewal in range(3):
        await coordinator.async_step()
        assert stored(table).renewal == renewal
        assert stored(table).renewed_at_s == clock.clock_s()
        await asyncio.sleep(LEASE_S / 3)


async def test_records_do_not_contain_the_time_with_a_large_error() -> None:
    """A record with such a time could look too old while its holder is active."""
    table = FakeTable()
    clock = LoopStoreClock()
    coordinator = make_coordinator(table, clock, "a")
    await coordinator.async_step()
    clock.late_s = CLOCK_MARGIN_S + 0.01
    await coordinator.async_step()
    assert stored(table).renewal == 1
    assert stored(table).renewed_at_s is None


async def test_records_do_not_contain_the_time_without_a_clock() -> None:
    table = FakeTable()
    await make_coordinator(table, None, "a").async_step()
    assert stored(table).renewed_at_s is None

"""Lease holders after killed holders, table outages and lost answers."""

import asyncio

import pytest

from banyanswitch.components.lease.const import CANDIDATE_COUNT
from banyanswitch.components.table_service.write_batcher import WriteBatcher
from banyanswitch.interfaces import WriteClass
from tests.components.lease.conftest import DUTY, LEASE_S, LeaseCluster
from tests.fakes.table import FakeTable, TableFault

pytestmark = pytest.mark.looptime

FAILOVER_S = 2.0 * LEASE_S


async def test_one_instance_holds_and_keeps_the_duty(cluster: LeaseCluster) -> None:
    cluster.start()
    await asyncio.sleep(1.0)
    holders = cluster.holders()
    token = cluster.token()
    for _ in range(100):
        await asyncio.sleep(1.0)
        assert cluster.holders() == holders
    assert len(holders) == 1
    assert cluster.token() == token


async def test_token_grows_when_the_holder_dies(cluster: LeaseCluster) -> None:
    cluster.start()
    await asyncio.sleep(1.0)
    (first,) = cluster.holders()
    token = cluster.token()
    cluster.nodes[first].kill()
    for _ in range(int(10 * FAILOVER_S)):
        await asyncio.sleep(0.1)
        assert len(cluster.holders()) <= 1
    (second,) = cluster.holders()
    assert second != first
    assert cluster.token() == token + 1


async def test_planned_stop_hands_over_before_the_lease_ends(
    cluster: LeaseCluster,
) -> None:
    cluster.start()
    await asyncio.sleep(1.0)
    (first,) = cluster.holders()
    await cluster.nodes[first].async_stop()
    assert cluster.holders() == []
    await asyncio.sleep(LEASE_S / 2)
    (second,) = cluster.holders()
    assert second != first


async def test_lease_expires_when_the_table_is_down_and_is_acquired_again(
    cluster: LeaseCluster, table: FakeTable
) -> None:
    cluster.start()
    await asyncio.sleep(1.0)
    token = cluster.token()
    table.is_down = True
    await asyncio.sleep(LEASE_S)
    assert cluster.holders() == []
    table.is_down = False
    await asyncio.sleep(FAILOVER_S)
    assert len(cluster.holders()) == 1
    assert cluster.token() > token


@pytest.mark.parametrize("fault", list(TableFault))
async def test_holder_keeps_the_duty_over_one_faulty_renewal(
    cluster: LeaseCluster, table: FakeTable, fault: TableFault
) -> None:
    cluster.start()
    await asyncio.sleep(1.0)
    holders, token = cluster.holders(), cluster.token()
    table.write_faults = [fault]
    for _ in range(300):
        await asyncio.sleep(0.1)
        assert cluster.holders() == holders
    assert cluster.token() == token
    assert table.write_faults == []


@pytest.mark.parametrize("fault", list(TableFault))
async def test_faulty_first_write_ends_with_one_holder(
    cluster: LeaseCluster, table: FakeTable, fault: TableFault
) -> None:
    table.write_faults = [fault, fault, fault]
    cluster.start()
    for _ in range(int(10 * 2 * FAILOVER_S)):
        await asyncio.sleep(0.1)
        assert len(cluster.holders()) <= 1
    assert len(cluster.holders()) == 1


async def test_reads_and_writes_do_not_grow_with_the_instances(
    table: FakeTable,
) -> None:
    rates: dict[int, tuple[int, int]] = {}
    for count in (6, 48):
        table = FakeTable(latency_s=0.005)
        cluster = LeaseCluster(table, [f"i{n:02d}" for n in range(count)])
        cluster.start([f"duty/{n}" for n in range(8)])
        await asyncio.sleep(20.0)
        table.counts.read_items = table.counts.written_items = 0
        await asyncio.sleep(60.0)
        rates[count] = (table.counts.read_items, table.counts.written_items)
        for node in cluster.nodes.values():
            node.kill()
    small, large = rates[6], rates[48]
    assert large[0] <= 1.25 * small[0]
    assert large[1] <= 1.25 * small[1]


async def test_paused_holder_has_no_lease_when_it_resumes(
    cluster: LeaseCluster,
) -> None:
    cluster.start()
    await asyncio.sleep(1.0)
    (first,) = cluster.holders()
    paused = cluster.nodes[first]
    paused.kill()
    await asyncio.sleep(FAILOVER_S)
    assert paused.coordinator.held(DUTY) is None
    paused.start()
    await asyncio.sleep(FAILOVER_S)
    (second,) = cluster.holders()
    assert second != first


async def test_lease_is_acquired_when_no_candidate_can_reach_the_table() -> None:
    table = FakeTable(latency_s=0.005)
    names = [f"i{number}" for number in range(16)]
    cluster = LeaseCluster(table, names)
    for node in cluster.nodes.values():
        node.coordinator._selector.refresh()
    candidates = [
        node.coordinator
        for node in cluster.nodes.values()
        if node.coordinator._selector.is_candidate(DUTY)
    ]
    for coordinator in candidates:
        coordinator._table = FakeTable(is_down=True)
        coordinator._batcher = WriteBatcher(coordinator._table, WriteClass.LEASE)
    cluster.start()
    for _ in range(int(30 * LEASE_S)):
        await asyncio.sleep(1.0)
        assert len(cluster.holders()) <= 1
    assert len(candidates) == CANDIDATE_COUNT
    assert len(cluster.holders()) == 1

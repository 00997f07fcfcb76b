import asyncio

import pytest

from banyanswitch.components.membership.models import ListedInstance
from tests.components.membership.cluster import Cluster

pytestmark = pytest.mark.looptime(noop_cycles=1)


def listed(number: int, *, is_leaving: bool = False) -> ListedInstance:
    return ListedInstance(
        instance=f"i{number:03d}",
        failure_domain=f"d{number % 3}",
        is_leaving=is_leaving,
        peer_address=f"tcp://10.0.0.{number}:7000",
        http_url=f"http://10.0.0.{number}:8080",
    )


@pytest.mark.parametrize("count", [8, 64])
async def test_all_discover_each_other_with_the_list_down(
    cluster: Cluster, count: int
) -> None:
    cluster.list.is_down = True
    for number in range(count):
        cluster.start(number)
    await asyncio.sleep(15)
    assert cluster.count_nodes_knowing(count) == count


@pytest.mark.parametrize("count", [8, 64])
async def test_messages_per_node_are_bounded(cluster: Cluster, count: int) -> None:
    for number in range(count):
        cluster.start(number)
    await asyncio.sleep(30)
    before = cluster.network.sent_messages
    await asyncio.sleep(60)
    assert (cluster.network.sent_messages - before) / 60 / count <= 3.0


async def test_list_is_read_at_a_bounded_rate(cluster: Cluster) -> None:
    for number in range(64):
        cluster.start(number)
    await asyncio.sleep(30)
    before = cluster.list.reads
    await asyncio.sleep(60)
    assert (cluster.list.reads - before) / 60 <= 6.0


@pytest.mark.parametrize("count", [8, 64])
async def test_dead_instance_is_declared_dead_by_all(
    cluster: Cluster, count: int
) -> None:
    for number in range(count):
        cluster.start(number)
    await asyncio.sleep(15)
    await cluster.async_kill(5)
    await asyncio.sleep(12)
    assert cluster.count_nodes_knowing(count - 1) == count - 1


@pytest.mark.parametrize("count", [8, 64])
async def test_leaving_reaches_all_and_persists(cluster: Cluster, count: int) -> None:
    for number in range(count):
        cluster.start(number)
    await asyncio.sleep(15)
    cluster.nodes[3].begin_leaving()
    await asyncio.sleep(2.0)
    assert cluster.count_nodes_seeing_leaving("i003") == count
    await asyncio.sleep(60)
    assert cluster.count_nodes_seeing_leaving("i003") == count


async def test_leaving_on_the_list_reaches_all(cluster: Cluster) -> None:
    for number in range(8):
        cluster.list.entries[f"i{number:03d}"] = listed(number)
        cluster.start(number)
    await asyncio.sleep(15)
    cluster.list.entries["i003"] = listed(3, is_leaving=True)
    await asyncio.sleep(3)
    assert cluster.count_nodes_seeing_leaving("i003") == 8


async def test_restart_under_the_same_address_ends_leaving_despite_stale_list(
    cluster: Cluster,
) -> None:
    for number in range(8):
        cluster.list.entries[f"i{number:03d}"] = listed(number)
        cluster.start(number)
    await asyncio.sleep(15)
    cluster.list.entries["i003"] = listed(3, is_leaving=True)
    cluster.nodes[3].begin_leaving()
    await asyncio.sleep(5)
    await cluster.async_kill(3)
    cluster.start(3, incarnation=2)
    await asyncio.sleep(10)
    cluster.list.entries["i003"] = listed(3)
    await asyncio.sleep(15)
    assert cluster.count_nodes_knowing(8) == 8
    assert cluster.count_nodes_seeing_leaving("i003") == 0


async def test_restart_with_a_clock_set_back_rejoins(cluster: Cluster) -> None:
    for number in range(8):
        cluster.start(number, incarnation=100)
    await asyncio.sleep(15)
    await cluster.async_kill(3)
    node = cluster.start(3, incarnation=7)
    await asyncio.sleep(20)
    assert node.this_instance().incarnation > 100
    assert cluster.count_nodes_knowing(8) == 8


async def test_partition_heals(cluster: Cluster) -> None:
    for number in range(16):
        cluster.start(number)
    await asyncio.sleep(15)
    for number in range(8):
        cluster.network.group_of[cluster.address(number)] = 1
    await asyncio.sleep(120)
    assert cluster.count_nodes_knowing(8) == 16
    cluster.network.group_of.clear()
    await asyncio.sleep(30)
    assert cluster.count_nodes_knowing(16) == 16


async def test_lost_messages_declare_no_instance_dead(cluster: Cluster) -> None:
    cluster.network.loss = 0.1
    for number in range(16):
        cluster.start(number)
    await asyncio.sleep(30)
    smallest = 16
    for _ in range(120):
        await asyncio.sleep(1)
        smallest = min(smallest, *(len(n.peers()) for n in cluster.nodes.values()))
    assert smallest == 16


async def test_frozen_node_rejoins_and_declares_no_instance_dead(
    cluster: Cluster,
) -> None:
    for number in range(16):
        cluster.start(number)
    await asyncio.sleep(15)
    frozen = cluster.address(4)
    cluster.network.frozen.add(frozen)
    await asyncio.sleep(20)
    assert cluster.count_nodes_knowing(15) == 15
    cluster.network.frozen.clear()
    for arrive in cluster.network.delayed:
        arrive()
    await asyncio.sleep(20)
    assert cluster.count_nodes_knowing(16) == 16

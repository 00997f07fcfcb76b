"""An accepted configuration reaches each instance, and no revision decreases."""

import asyncio
import copy
from collections.abc import Callable
from dataclasses import replace

import pytest

from banyanswitch.components.configuration.models import (
    Bucket,
    BucketsDelivered,
    BucketsRequested,
    Delta,
    DeltasDelivered,
    ManifestDelivered,
    RevisionAnnounced,
)
from banyanswitch.components.configuration.repository import ConfigurationRepository
from banyanswitch.config import Configuration
from banyanswitch.config.records import RecordChange, encode_record
from banyanswitch.interfaces import ConfigurationChanged
from tests.components.configuration.builders import (
    Cluster,
    ClusterNode,
    apply,
    make_configuration,
    with_limit,
)
from tests.fakes.table import FakeTable

ACTIVATION_TARGET_S = 9.0
FEW = make_configuration(10)
MANY = make_configuration(2000)


async def seconds_until(
    condition: Callable[[], bool], limit_s: float = ACTIVATION_TARGET_S
) -> float:
    started_at_s = asyncio.get_running_loop().time()
    while not condition():
        waited_s = asyncio.get_running_loop().time() - started_at_s
        assert waited_s <= limit_s
        await asyncio.sleep(0.05)
    return asyncio.get_running_loop().time() - started_at_s


async def start_with(
    cluster: Cluster, count: int, configuration: Configuration = FEW
) -> None:
    await apply(cluster.table, configuration)
    cluster.start(count)
    await seconds_until(lambda: cluster.revisions() == {1})


@pytest.mark.looptime
@pytest.mark.parametrize("count", [1, 8, 64])
async def test_change_is_active_on_all_instances_in_time(
    cluster: Cluster, count: int
) -> None:
    await start_with(cluster, count)
    await apply(cluster.table, with_limit(FEW, 0, 7))
    await seconds_until(lambda: cluster.revisions() == {2})
    for node in cluster.nodes:
        workspace = node.active.workspace(FEW.workspaces[0].name)
        assert workspace is not None
        assert workspace.limits.concurrent_requests == 7


@pytest.mark.looptime
async def test_burst_of_changes_is_active_in_time(cluster: Cluster) -> None:
    await start_with(cluster, 32)
    for number in range(150):
        await apply(cluster.table, with_limit(FEW, number % 10, number + 100))
    await seconds_until(lambda: cluster.revisions() == {151})


@pytest.mark.looptime
async def test_replication_continues_with_lost_messages(cluster: Cluster) -> None:
    await start_with(cluster, 32)
    cluster.network.loss = 0.3
    await apply(cluster.table, with_limit(FEW, 0, 7))
    await seconds_until(lambda: cluster.revisions() == {2})


@pytest.mark.looptime
async def test_store_outage_right_after_the_first_instance_read(
    cluster: Cluster,
) -> None:
    await start_with(cluster, 32)
    await apply(cluster.table, with_limit(FEW, 0, 7))
    await seconds_until(lambda: 2 in cluster.revisions())
    cluster.table.is_down = True
    await seconds_until(lambda: cluster.revisions() == {2})


@pytest.mark.looptime
@pytest.mark.parametrize("configuration", [FEW, MANY], ids=["few", "many"])
async def test_joiner_during_an_outage_gets_the_content_from_peers(
    cluster: Cluster, configuration: Configuration
) -> None:
    await start_with(cluster, 5, configuration)
    cluster.table.is_down = True
    joiner = cluster.start_one()
    await seconds_until(lambda: joiner.active.revision == 1)
    assert joiner.active.workspace(configuration.workspaces[-1].name) is not None


@pytest.mark.looptime
async def test_cold_starts_do_not_all_read_the_store(cluster: Cluster) -> None:
    await apply(cluster.table, MANY)
    cluster.start(64)
    await seconds_until(lambda: cluster.revisions() == {1})
    assert cluster.table.object_reads <= 4 * len(cluster.table.objects)


@pytest.mark.looptime
async def test_cold_starts_with_late_peer_discovery_do_not_all_read_the_store(
    cluster: Cluster,
) -> None:
    await apply(cluster.table, MANY)
    cluster.network.is_discovered = False
    cluster.start(32)
    await asyncio.sleep(1.0)
    cluster.network.is_discovered = True
    await seconds_until(lambda: cluster.revisions() == {1})
    assert cluster.table.object_reads <= 4 * len(cluster.table.objects)


@pytest.mark.looptime
async def test_watchers_without_access_to_the_store_only_delay_a_change(
    cluster: Cluster,
) -> None:
    down = FakeTable(is_down=True)
    await apply(cluster.table, FEW)
    for _ in range(8):
        cluster.start_one(table=down)
    cluster.start(8)
    await seconds_until(lambda: cluster.revisions() == {1}, limit_s=20.0)


@pytest.mark.looptime
async def test_partition_heals(cluster: Cluster) -> None:
    await start_with(cluster, 16)
    part = {node.node.peer.peer_address for node in cluster.nodes[:8]}
    cluster.network.partitions.append(part)
    delta = await make_delta(cluster, with_limit(FEW, 0, 7))
    cluster.table.is_down = True
    await cluster.nodes[0].coordinator.async_apply_deltas((delta,))
    await asyncio.sleep(5.0)
    assert {node.active.revision for node in cluster.nodes[:8]} == {2}
    assert {node.active.revision for node in cluster.nodes[8:]} == {1}
    cluster.network.partitions.clear()
    await seconds_until(lambda: cluster.revisions() == {2})


async def make_delta(cluster: Cluster, configuration: Configuration) -> Delta:
    scratch = copy.deepcopy(cluster.table)
    acceptance = await apply(scratch, configuration)
    repository = ConfigurationRepository(scratch, scratch)
    delta = await repository.async_delta(acceptance.revision)
    assert delta is not None
    return delta


def record_revisions(node: ClusterNode) -> list[int]:
    seen: list[int] = []
    node.kernel.bus.subscribe(
        ConfigurationChanged, lambda message: seen.append(message.revision)
    )
    return seen


@pytest.mark.looptime
async def test_late_message_with_an_old_revision_has_no_effect(
    cluster: Cluster,
) -> None:
    await start_with(cluster, 2)
    node = cluster.nodes[0]
    old_manifest = node.active.records.manifest
    old_delta = await make_delta(cluster, with_limit(FEW, 0, 7))
    await apply(cluster.table, with_limit(FEW, 0, 7))
    await apply(cluster.table, with_limit(FEW, 0, 8))
    await seconds_until(lambda: cluster.revisions() == {3})
    seen = record_revisions(node)
    digest = node.active.records.digest
    node.node.receive(DeltasDelivered((old_delta,)))
    node.node.receive(ManifestDelivered("tcp://i001", 1, old_manifest))
    node.node.receive(RevisionAnnounced("i001", "tcp://i001", 1, b"other"))
    await asyncio.sleep(5.0)
    assert (node.active.revision, node.active.records.digest) == (3, digest)
    assert seen == []


@pytest.mark.looptime
async def test_content_that_does_not_match_its_digest_is_rejected(
    cluster: Cluster,
) -> None:
    await start_with(cluster, 2)
    node = cluster.nodes[0]
    delta = await make_delta(cluster, with_limit(FEW, 0, 7))
    assert delta.changes is not None
    other_value = encode_record(replace(FEW.workspaces[0], key_digests=("f" * 64,)))
    forged_change = replace(delta.changes[0], value=other_value)
    node.node.receive(DeltasDelivered((replace(delta, changes=(forged_change,)),)))
    wrong_base = replace(delta, base_digest=b"0" * 32)
    node.node.receive(DeltasDelivered((wrong_base,)))
    node.node.receive(ManifestDelivered("tcp://i001", 2, b"short"))
    await asyncio.sleep(1.0)
    assert node.active.revision == 1


@pytest.mark.looptime
async def test_malformed_messages_do_not_affect_other_messages(
    cluster: Cluster,
) -> None:
    await start_with(cluster, 2)
    node = cluster.nodes[0]
    unknown = BucketsRequested("tcp://i001", (-1, 256, 10**9))
    node.node.receive(unknown)
    node.node.receive(BucketsDelivered("tcp://i001", (Bucket(999, b"junk"),)))
    joiner = cluster.start_one()
    cluster.nodes[1].node.network.remove(cluster.nodes[1].node)
    cluster.table.is_down = True
    await seconds_until(lambda: joiner.active.revision == 1)


@pytest.mark.looptime
async def test_undecodable_record_does_not_affect_other_messages(
    cluster: Cluster,
) -> None:
    await start_with(cluster, 2)
    node = cluster.nodes[0]
    content = node.coordinator.content
    change = RecordChange("workspace/newer", b"\x80")
    records = content.records.with_changes([change])
    newer = Delta(
        revision=2,
        base_digest=content.records.digest,
        digest=records.digest,
        operator="lan",
        attempt="a",
        accepted_at_unix_s=0.0,
        change_count=1,
        changes=(change,),
    )
    node.node.receive(DeltasDelivered((newer,)))
    await asyncio.sleep(1.0)
    assert node.active.revision == 1
    joiner = cluster.start_one()
    cluster.nodes[1].node.network.remove(cluster.nodes[1].node)
    cluster.table.is_down = True
    await seconds_until(lambda: joiner.active.revision == 1)

"""Software versions are stored with few writes, and read by new instances."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable

import msgspec
import pytest

from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.stream_origins.const import (
    ADDITION_DELAY_S,
    CHECKPOINT_INTERVAL_S,
    ERA_READ_SPREAD_S,
    REMOVAL_DELAY_S,
    SETTLED_AFTER_S,
    STREAM_LIFETIME_S,
    VERSIONS_INTERVAL_S,
    VERSIONS_TABLE,
)
from banyanswitch.components.stream_origins.version_checkpoint import (
    VersionsByService,
)
from banyanswitch.components.stream_origins.version_store import SoftwareVersionStore
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.exceptions import (
    HistoryGoneError,
    PlatformError,
    PlatformUnavailableError,
)
from banyanswitch.interfaces import Write, WriteClass
from tests.components.forwarding.fakes import (
    SERVICE,
    NoFeed,
    PlainDecoder,
    Upstreams,
    record,
)
from tests.components.forwarding.instance import FakeConfirmation, make_configuration
from tests.components.weight_rollout.test_target_time_store import Access
from tests.fakes.peers import FakeNetwork, FakeNode
from tests.fakes.table import FakeTable

pytestmark = pytest.mark.looptime(noop_cycles=1)
KEY = f"{VERSIONS_TABLE}/{SERVICE}"
STORED_WITHIN_S = ADDITION_DELAY_S + 3 * VERSIONS_INTERVAL_S


class Eras:
    number = 1

    def era(self) -> int:
        return self.number


class FakeCheckpoint:
    """Implements ``Checkpoint``; by default no instance has run before.

    Attributes
    ----------
    since : dict of ServiceName to frozenset of str, or PlatformError, or None
        Versions in entries since the checkpoint, or why they can't be read.
    """

    def __init__(self) -> None:
        self.since: VersionsByService | PlatformError | None = None
        self.written_at_s: list[float] = []

    async def async_write(self) -> None:
        self.written_at_s.append(asyncio.get_running_loop().time())

    async def async_versions_since(self) -> VersionsByService | None:
        if isinstance(self.since, PlatformError):
            raise self.since
        return self.since


class Node:
    """One instance; its upstreams are set by the test."""

    def __init__(self, peer: FakeNode, table: FakeTable, seed: int) -> None:
        self.upstreams = Upstreams()
        self.access = Access(table)
        self.eras = Eras()
        self.confirmation = FakeConfirmation(self.upstreams)
        self.checkpoint = FakeCheckpoint()
        operator = TableMirror("op", NoFeed(), random.Random(1))
        routing = RoutingState(operator, PlainDecoder(), "config")
        routing.apply(make_configuration())
        self.store = SoftwareVersionStore(
            table=self.access,
            registry=self.upstreams.registry,
            routing=routing,
            peers=peer,
            generator=random.Random(seed),
            eras=self.eras,
            confirmation=self.confirmation,
            checkpoint=self.checkpoint,
        )
        self.task = asyncio.create_task(self.store.async_run())


StartNodes = Callable[[int], list[Node]]


@pytest.fixture
async def table() -> FakeTable:
    return FakeTable(latency_s=0.01)


@pytest.fixture
async def start_nodes(table: FakeTable) -> AsyncIterator[StartNodes]:
    nodes: list[Node] = []
    network = FakeNetwork()

    def start(count: int) -> list[Node]:
        numbers = range(len(nodes), len(nodes) + count)
        peers = [network.add(number) for number in numbers]
        started = [
            Node(peer, table, seed) for peer, seed in zip(peers, numbers, strict=True)
        ]
        nodes.extend(started)
        return started

    yield start
    for node in nodes:
        node.task.cancel()


async def async_stored(table: FakeTable) -> list[str]:
    items = await table.async_get([KEY])
    return msgspec.json.decode(items[0].value) if items else []


async def test_versions_are_stored_once_and_read_by_an_instance_that_starts(
    table: FakeTable, start_nodes: StartNodes
) -> None:
    nodes = start_nodes(8)
    for node in nodes:
        node.upstreams.put(record("a", software_version="v1"))
        node.upstreams.put(record("b", software_version="v2"))
    await asyncio.sleep(STORED_WITHIN_S)
    assert await async_stored(table) == ["v1", "v2"]
    assert sum(node.access.writes for node in nodes) <= 3
    (late,) = start_nodes(1)
    late.checkpoint.since = {}
    assert late.store.versions(SERVICE) is None
    await asyncio.sleep(VERSIONS_INTERVAL_S)
    assert late.store.versions(SERVICE) == {"v1", "v2"}


async def test_version_is_removed_once_no_stream_of_it_can_be_left(
    table: FakeTable, start_nodes: StartNodes
) -> None:
    nodes = start_nodes(4)
    for node in nodes:
        node.upstreams.put(record("a", software_version="v1"))
        node.upstreams.put(record("b", software_version="v2"))
    await asyncio.sleep(STORED_WITHIN_S)
    for node in nodes:
        node.upstreams.remove("a")
    await asyncio.sleep(STREAM_LIFETIME_S - 1.0)
    assert await async_stored(table) == ["v1", "v2"]
    await asyncio.sleep(1.0 + REMOVAL_DELAY_S + 3 * VERSIONS_INTERVAL_S)
    assert await async_stored(table) == ["v2"]


# Guards against the removal of a version by an instance that can't know of it.
async def test_instance_that_has_just_started_removes_nothing(
    table: FakeTable, start_nodes: StartNodes
) -> None:
    await table.async_transact([Write(KEY, b'["v0"]', 0)], WriteClass.LEASE)
    (node,) = start_nodes(1)
    node.upstreams.put(record("a", software_version="v1"))
    await asyncio.sleep(STREAM_LIFETIME_S - 1.0)
    assert await async_stored(table) == ["v0", "v1"]


# Guards against the removal of a version by an instance that lags behind the store.
@pytest.mark.parametrize("is_reached", [True, False])
async def test_instance_that_lags_removes_no_version_that_it_does_not_know(
    table: FakeTable, start_nodes: StartNodes, is_reached: bool
) -> None:
    (node,) = start_nodes(1)
    node.upstreams.put(record("a", software_version="v1"))
    await asyncio.sleep(STREAM_LIFETIME_S + 1.0)
    (item,) = await table.async_get([KEY])
    write = Write(KEY, b'["v1", "v2"]', item.revision)
    await table.async_transact([write], WriteClass.LEASE)
    node.confirmation.missing.append(record("b", software_version="v2"))
    node.confirmation.is_reached = is_reached
    # The stored versions are read again before any version is added or removed.
    node.eras.number = 2
    await asyncio.sleep(ERA_READ_SPREAD_S + REMOVAL_DELAY_S + 3 * VERSIONS_INTERVAL_S)
    assert await async_stored(table) == ["v1", "v2"]


# Guards against versions that came and went while this instance was cut off, also if
# the others store them again only after they have read what a returning store has kept.
@pytest.mark.parametrize("has_new_era", [False, True])
async def test_versions_are_read_again_after_a_gap_in_the_entries(
    table: FakeTable, start_nodes: StartNodes, has_new_era: bool
) -> None:
    (node,) = start_nodes(1)
    node.upstreams.put(record("a", software_version="v1"))
    await asyncio.sleep(STORED_WITHIN_S)
    assert node.store.versions(SERVICE) == {"v1"}
    node.eras.number = 2 if has_new_era else 1
    node.upstreams.remove("unseen")
    spread_s = ERA_READ_SPREAD_S + VERSIONS_INTERVAL_S if has_new_era else 0.0
    await asyncio.sleep(SETTLED_AFTER_S + spread_s - 0.1)
    assert node.store.versions(SERVICE) is None
    (item,) = await table.async_get([KEY])
    write = Write(KEY, b'["v1", "v2"]', item.revision)
    await table.async_transact([write], WriteClass.LEASE)
    await asyncio.sleep(2 * VERSIONS_INTERVAL_S)
    assert node.store.versions(SERVICE) == {"v1", "v2"}


# Guards against versions that the store lost when it returned from an older copy.
@pytest.mark.parametrize("outage_s", [0.0, 2 * ERA_READ_SPREAD_S])
async def test_versions_are_stored_again_after_the_return_of_an_older_copy(
    table: FakeTable, start_nodes: StartNodes, outage_s: float
) -> None:
    (node,) = start_nodes(1)
    node.upstreams.put(record("a", software_version="v1"))
    await asyncio.sleep(STORED_WITHIN_S)
    (item,) = await table.async_get([KEY])
    await table.async_transact([Write(KEY, b"[]", item.revision)], WriteClass.LEASE)
    node.eras.number = 2
    node.access.is_down = outage_s > 0.0
    await asyncio.sleep(outage_s)
    assert node.store.versions(SERVICE) == {"v1"}
    node.access.is_down = False
    await asyncio.sleep(ERA_READ_SPREAD_S + STORED_WITHIN_S + VERSIONS_INTERVAL_S)
    assert await async_stored(table) == ["v1"]


async def test_versions_are_read_after_an_outage(start_nodes: StartNodes) -> None:
    (node,) = start_nodes(1)
    node.access.is_down = True
    await asyncio.sleep(3.0)
    assert node.store.versions(SERVICE) is None
    node.access.is_down = False
    await asyncio.sleep(2 * VERSIONS_INTERVAL_S)
    assert node.store.versions(SERVICE) == frozenset()


async def test_unreadable_row_is_replaced(
    table: FakeTable, start_nodes: StartNodes
) -> None:
    await table.async_transact([Write(KEY, b"{", 0)], WriteClass.LEASE)
    (node,) = start_nodes(1)
    node.upstreams.put(record("a", software_version="v1"))
    await asyncio.sleep(STORED_WITHIN_S)
    assert await async_stored(table) == ["v1"]


# Guards against a guess from rows that the store has lost, by an instance that has not
# seen the loss.
@pytest.mark.parametrize("since", [HistoryGoneError("era"), None])
async def test_versions_before_the_start_are_unknown_without_a_checkpoint(
    table: FakeTable, start_nodes: StartNodes, since: HistoryGoneError | None
) -> None:
    await table.async_transact([Write(KEY, b'["v1"]', 0)], WriteClass.LEASE)
    (node,) = start_nodes(1)
    node.checkpoint.since = since
    node.upstreams.put(record("a", software_version="v1"))
    await asyncio.sleep(STREAM_LIFETIME_S - 0.1)
    assert node.store.versions(SERVICE) is None
    assert not node.checkpoint.written_at_s
    await asyncio.sleep(0.1 + CHECKPOINT_INTERVAL_S + VERSIONS_INTERVAL_S)
    assert node.store.versions(SERVICE) == {"v1"}
    assert node.checkpoint.written_at_s


# Guards against refusals once another instance has stored what it knows.
async def test_checkpoint_that_another_instance_writes_later_is_read(
    table: FakeTable, start_nodes: StartNodes
) -> None:
    await table.async_transact([Write(KEY, b'["v1"]', 0)], WriteClass.LEASE)
    (node,) = start_nodes(1)
    node.checkpoint.since = HistoryGoneError("era")
    await asyncio.sleep(5.0)
    node.checkpoint.since = {}
    await asyncio.sleep(CHECKPOINT_INTERVAL_S + VERSIONS_INTERVAL_S)
    assert node.store.versions(SERVICE) == {"v1"}


# Guards against the loss of a version that no instance has stored before its end.
async def test_versions_since_the_checkpoint_count_and_are_stored(
    table: FakeTable, start_nodes: StartNodes
) -> None:
    await table.async_transact([Write(KEY, b'["v1"]', 0)], WriteClass.LEASE)
    (node,) = start_nodes(1)
    node.checkpoint.since = PlatformUnavailableError("not reached")
    node.upstreams.put(record("a", software_version="v1"))
    await asyncio.sleep(2 * VERSIONS_INTERVAL_S)
    assert node.store.versions(SERVICE) is None
    node.checkpoint.since = {SERVICE: frozenset({"v2"})}
    await asyncio.sleep(2 * VERSIONS_INTERVAL_S)
    assert node.store.versions(SERVICE) == {"v1", "v2"}
    await asyncio.sleep(STORED_WITHIN_S)
    assert await async_stored(table) == ["v1", "v2"]


# Guards against a checkpoint after which a version is missing, and against more writes
# with more instances.
async def test_checkpoints_are_few_and_follow_the_stored_versions(
    table: FakeTable, start_nodes: StartNodes
) -> None:
    nodes = start_nodes(8)
    for node in nodes:
        node.upstreams.put(record("a", software_version="v1"))
        node.access.is_down = True
    await asyncio.sleep(5.0)
    assert not any(node.checkpoint.written_at_s for node in nodes)
    for node in nodes:
        node.access.is_down = False
    await asyncio.sleep(STORED_WITHIN_S)
    intervals = 10
    await asyncio.sleep(intervals * CHECKPOINT_INTERVAL_S)
    writes = sum(len(node.checkpoint.written_at_s) for node in nodes)
    assert intervals <= writes <= 5 * intervals


# Guards against a version that had left before the start, whose row the store has lost.
async def test_versions_in_rows_of_an_earlier_era_count_and_are_stored_again(
    table: FakeTable, start_nodes: StartNodes
) -> None:
    await table.async_transact([Write(KEY, b'["v1", "v2"]', 0)], WriteClass.LEASE)
    (node,) = start_nodes(1)
    node.checkpoint.since = {}
    node.upstreams.put(record("a", software_version="v1"))
    await asyncio.sleep(VERSIONS_INTERVAL_S)
    (item,) = await table.async_get([KEY])
    await table.async_transact([Write(KEY, b"[]", item.revision)], WriteClass.LEASE)
    node.eras.number = 2
    await asyncio.sleep(ERA_READ_SPREAD_S + VERSIONS_INTERVAL_S)
    assert node.store.versions(SERVICE) == {"v1", "v2"}
    await asyncio.sleep(STORED_WITHIN_S)
    assert await async_stored(table) == ["v1", "v2"]

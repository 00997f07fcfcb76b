"""Origins of streams after the end of all instances; no network."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable

import pytest

from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.stream_origins.const import (
    ORIGIN_SWEEP_DELAY_S,
    ORIGIN_TICK_S,
    ORIGIN_WRITES_PER_S,
    ORIGINS_TABLE,
    STREAM_LIFETIME_S,
)
from banyanswitch.components.stream_origins.origin_store import OriginStore
from banyanswitch.components.stream_origins.software_versions import SoftwareVersions
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.decisions.stream_resumption import OriginSearch, StreamOrigin
from banyanswitch.interfaces import Write, WriteClass
from tests.components.forwarding.fakes import (
    SERVICE,
    NoFeed,
    PlainDecoder,
    Upstreams,
    record,
)
from tests.components.forwarding.instance import (
    FakeConfirmation,
    FakeStoredVersions,
    make_configuration,
)
from tests.components.lease.conftest import FixedPeers, make_peer
from tests.components.stream_origins.test_version_store import Eras
from tests.fakes.table import FakeTable, TableFault

pytestmark = pytest.mark.looptime
OLD = StreamOrigin(SERVICE, "v1")
NEW = StreamOrigin(SERVICE, "v2")
WRITE_S = 0.1


class Node:
    """One start of an instance."""

    def __init__(self, table: FakeTable, name: str, start: int, versions: str) -> None:
        self.upstreams = Upstreams()
        self.eras = Eras()
        for version in versions.split():
            self.add(version)
        operator = TableMirror("op", NoFeed(), random.Random(1))
        routing = RoutingState(operator, PlainDecoder(), "config")
        routing.apply(make_configuration())
        stored = FakeStoredVersions()
        stored.stored = frozenset()
        registry = self.upstreams.registry
        others = [make_peer(other) for other in ("a", "b", "c") if other != name]
        self.store = OriginStore(
            table=table,
            row=f"{name}/{start}",
            versions=SoftwareVersions(
                registry, stored, routing, FakeConfirmation(self.upstreams)
            ),
            peers=FixedPeers(make_peer(name), others),
            generator=random.Random(start),
            eras=self.eras,
        )
        self.task = asyncio.create_task(self.store.async_run())

    def add(self, version: str) -> None:
        self.upstreams.put(record(f"u-{version}", software_version=version))

    def remove(self, version: str) -> None:
        self.upstreams.remove(f"u-{version}")


StartNode = Callable[..., Node]


@pytest.fixture
async def table() -> FakeTable:
    return FakeTable(latency_s=0.01)


@pytest.fixture
async def start(table: FakeTable) -> AsyncIterator[StartNode]:
    nodes: list[Node] = []

    def start_node(name: str = "a", number: int = 1, versions: str = "v1 v2") -> Node:
        nodes.append(Node(table, name, number, versions))
        return nodes[-1]

    yield start_node
    for node in nodes:
        node.task.cancel()


async def test_origins_outlast_all_instances(start: StartNode) -> None:
    old = [start(name) for name in ("a", "b", "c")]
    for number, node in enumerate(old):
        node.store.note(b"s%d" % number, (OLD, NEW, OLD)[number])
    await asyncio.sleep(WRITE_S)
    for node in old:
        node.task.cancel()
    again = start("a", 2)
    for number, origin in enumerate((OLD, NEW, OLD)):
        assert await again.store.async_find(b"s%d" % number) == OriginSearch(origin)


async def test_origins_outlast_a_second_end_of_all_instances(start: StartNode) -> None:
    """The instances end again while the streams are being taken up."""
    first = start("a", 1)
    first.store.note(b"s", OLD)
    await asyncio.sleep(WRITE_S)
    first.task.cancel()
    second = start("a", 2)
    second.store.note(b"s", OLD)
    second.store.note(b"t", NEW)
    await asyncio.sleep(WRITE_S)
    second.task.cancel()
    third = start("a", 3)
    assert await third.store.async_find(b"s") == OriginSearch(OLD)
    assert await third.store.async_find(b"t") == OriginSearch(NEW)


# Guards against origins that the store lost when it returned from an older copy.
async def test_origins_are_stored_again_in_a_new_era(
    table: FakeTable, start: StartNode
) -> None:
    first = start("a", 1)
    first.store.note(b"s", OLD)
    await asyncio.sleep(WRITE_S)
    table.items.clear()
    first.eras.number = 2
    await asyncio.sleep(ORIGIN_TICK_S + WRITE_S)
    first.task.cancel()
    second = start("a", 2)
    assert await second.store.async_find(b"s") == OriginSearch(OLD)


# Guards against a row that a write which was applied late replaces with an older one.
async def test_late_write_replaces_no_newer_origins(
    table: FakeTable, start: StartNode
) -> None:
    table.write_faults = [TableFault.APPLY_LATE]
    first = start("a", 1)
    first.store.note(b"s", OLD)
    await asyncio.sleep(WRITE_S)
    first.store.note(b"t", NEW)
    await asyncio.sleep(table.late_write_delay_s + WRITE_S)
    first.task.cancel()
    second = start("a", 2)
    assert await second.store.async_find(b"s") == OriginSearch(OLD)
    assert await second.store.async_find(b"t") == OriginSearch(NEW)


async def test_stream_from_before_the_second_version_is_stored(
    start: StartNode,
) -> None:
    node = start(versions="v1")
    node.store.note(b"s", OLD)
    await asyncio.sleep(5.0)
    node.add("v2")
    await asyncio.sleep(ORIGIN_TICK_S + WRITE_S)
    node.task.cancel()
    assert await start("b").store.async_find(b"s") == OriginSearch(OLD)


async def test_stream_is_stored_while_its_version_has_just_left(
    start: StartNode,
) -> None:
    node = start()
    node.remove("v1")
    await asyncio.sleep(1.0)
    node.store.note(b"s", NEW)
    await asyncio.sleep(WRITE_S)
    assert await start("b").store.async_find(b"s") == OriginSearch(NEW)


async def test_ordinary_days_cost_no_call(table: FakeTable, start: StartNode) -> None:
    nodes = [start(name, versions="v1") for name in ("a", "b", "c")]
    for number in range(200):
        nodes[number % 3].store.note(b"s%d" % number, OLD)
        await asyncio.sleep(0.5)
    assert await nodes[0].store.async_find(b"unknown") == OriginSearch()
    assert table.counts.transactions == 0
    assert table.counts.read_calls == 0


@pytest.mark.parametrize("streams_per_s", [1, 20, 200])
async def test_rate_of_writes_is_bounded(
    table: FakeTable, start: StartNode, streams_per_s: int
) -> None:
    node = start()
    for number in range(5 * streams_per_s):
        node.store.note(b"s%d" % number, OLD)
        await asyncio.sleep(1.0 / streams_per_s)
    share_per_s = ORIGIN_WRITES_PER_S / 3
    assert table.counts.transactions <= 5 * min(streams_per_s, share_per_s) + 1


async def test_rows_are_removed_once_a_single_version_is_left(
    table: FakeTable, start: StartNode
) -> None:
    nodes = [start(name) for name in ("a", "b", "c")]
    for number, node in enumerate(nodes):
        node.store.note(b"s%d" % number, OLD)
    await asyncio.sleep(5.0)
    for node in nodes:
        node.remove("v1")
    await asyncio.sleep(STREAM_LIFETIME_S - 1.0)
    assert len(await table.async_query(f"{ORIGINS_TABLE}/")) == 3
    await asyncio.sleep(ORIGIN_SWEEP_DELAY_S + 2.0)
    assert not await table.async_query(f"{ORIGINS_TABLE}/")


async def test_search_is_not_complete_while_the_store_is_down(
    table: FakeTable, start: StartNode
) -> None:
    node = start()
    table.is_down = True
    assert not (await node.store.async_find(b"s")).is_complete
    table.is_down = False
    assert await node.store.async_find(b"s") == OriginSearch()


async def test_stored_after_the_store_returns(
    table: FakeTable, start: StartNode
) -> None:
    node = start()
    table.is_down = True
    node.store.note(b"s", OLD)
    await asyncio.sleep(2.0)
    table.is_down = False
    await asyncio.sleep(2 * ORIGIN_TICK_S)
    assert await start("b").store.async_find(b"s") == OriginSearch(OLD)


@pytest.mark.parametrize("content", [b"", b"[1]", b'{"streams":{"llm":3}}', b"\xff"])
async def test_unreadable_rows_are_skipped(
    table: FakeTable, start: StartNode, content: bytes
) -> None:
    node = start()
    node.store.note(b"s", OLD)
    await asyncio.sleep(WRITE_S)
    row = Write(f"{ORIGINS_TABLE}/x/1", content)
    await table.async_transact([row], WriteClass.LEASE)
    assert await start("b").store.async_find(b"s") == OriginSearch(OLD)

"""Table copies of many instances, of which a few read the store's feed.

Up to 40 instances follow changes every second while readers die or lose the store.
"""

import asyncio
import math
import random
from typing import Any

import pytest

from banyanswitch.components.http1.client import HttpClient, HttpResponse
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.models import Request
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.table_mirror.const import (
    FEED_WAIT_S,
    READER_TIMEOUT_MARGIN_S,
    RETRY_MAX_S,
    STORE_PAUSE_S,
    TABLE_READERS,
)
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.table_mirror.relay import TableRelay
from banyanswitch.components.table_mirror.relayed_feed import RelayedFeed
from banyanswitch.exceptions import (
    HistoryGoneError,
    PlatformUnavailableError,
    UpstreamBrokenError,
    UpstreamNotSentError,
)
from banyanswitch.interfaces import Item, Peer, TableChanges
from tests.components.lease.conftest import make_peer

pytestmark = pytest.mark.looptime
TABLE = "t"
TOPIC = "table/t"


class SharedStore:
    """Implements ``TableFeed``; counts the calls."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.removed: dict[str, int] = {}
        self.version = 0
        self.calls = 0
        self.is_down = False

    def put(self, key: str) -> None:
        self.version += 1
        self.items[key] = Item(f"{TABLE}/{key}", self.version, b"")

    def remove(self, key: str) -> None:
        self.version += 1
        del self.items[key]
        self.removed[f"{TABLE}/{key}"] = self.version

    def clock_s(self, max_error_s: float = math.inf) -> float | None:
        return None

    async def async_read_table(self, table: str) -> TableChanges:
        self._check()
        return TableChanges(self.version, tuple(self.items.values()), ())

    async def async_changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        self._check()
        ends_at_s = now_s() + wait_s
        while self.version <= after and now_s() < ends_at_s:
            await asyncio.sleep(0.01)
        items = tuple(i for i in self.items.values() if i.revision > after)
        removed = tuple(key for key, at in self.removed.items() if at > after)
        return TableChanges(self.version, items, removed)

    def _check(self) -> None:
        self.calls += 1
        if self.is_down:
            raise PlatformUnavailableError("down")


class RefusingStore(SharedStore):
    """Store that refuses all calls of one instance."""

    async def async_read_table(self, table: str) -> TableChanges:
        raise PlatformUnavailableError("refused")

    async def async_changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        raise PlatformUnavailableError("refused")


class RecordingReply:
    """Records the response of a handler."""

    def __init__(self) -> None:
        self.answer = HttpResponse(500, (), b"")

    def send(self, status: int, headers: Any, body: bytes) -> None:
        self.answer = HttpResponse(status, (), body)


class InternalClient(HttpClient):
    """Client that calls the relays of the other instances directly."""

    def __init__(self, fleet: "Fleet") -> None:
        super().__init__(ConnectionPool())
        self._fleet = fleet

    async def async_call(
        self, method: str, address: str, target: str, **options: Any
    ) -> HttpResponse:
        node = self._fleet.nodes.get(address.removeprefix("tcp://"))
        if node is None:
            raise UpstreamNotSentError("no such instance")
        if node.is_frozen:
            await asyncio.sleep(options["timeout_s"])
            raise UpstreamBrokenError("no answer in time")
        reply = RecordingReply()
        request = Request(b"GET", target.encode(), (), b"", now_s())
        await node.relay.async_answer(request, reply)  # type: ignore[arg-type]
        return reply.answer


class Node:
    """One instance with a copy of the table."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self.name = name
        self.fleet = fleet
        self.is_frozen = False
        generator = random.Random(name)
        client = InternalClient(fleet)
        self.readers = ReaderAssignment(self)
        feed = RelayedFeed(fleet.store, self.readers, client, generator)
        self.mirror = TableMirror(TABLE, feed, generator)
        self.relay = TableRelay({TABLE: self.mirror}, self, client, generator)
        self.tasks = [
            asyncio.create_task(self.mirror.async_run()),
            asyncio.create_task(self.relay.async_run()),
        ]

    def this_instance(self) -> Peer:
        return make_peer(self.name)

    def peers(self) -> tuple[Peer, ...]:
        return tuple(make_peer(name) for name in self.fleet.names)

    def table_versions(self, table: str) -> dict[str, int]:
        """Return no versions, as if no report had arrived."""
        return {}

    def keys(self) -> set[str]:
        return {item.key.partition("/")[2] for item in self.mirror.items}


class Fleet:
    """Instances that use one store."""

    def __init__(self, count: int) -> None:
        self.store = SharedStore()
        self.names = [f"n{number}" for number in range(count)]
        self.nodes: dict[str, Node] = {}
        for name in self.names:
            self.nodes[name] = Node(name, self)

    def readers(self) -> list[Node]:
        return [
            node
            for node in self.nodes.values()
            if node.readers.is_reader(TOPIC, TABLE_READERS)
        ]

    def known_keys(self) -> list[set[str]]:
        return [node.keys() for node in self.nodes.values()]

    def kill(self, node: Node) -> None:
        del self.nodes[node.name]
        for task in node.tasks:
            task.cancel()


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def test_changes_reach_all_instances_with_calls_of_few_readers() -> None:
    fleet = Fleet(40)
    fleet.store.put("a")
    await asyncio.sleep(2.0)
    fleet.store.calls = 0
    for number in range(20):
        fleet.store.put(f"k{number}")
        if number:
            fleet.store.remove(f"k{number - 1}")
        await asyncio.sleep(1.0)
    assert fleet.known_keys() == [{"a", "k19"}] * 40
    # A reader makes one additional call for each change.
    assert fleet.store.calls <= TABLE_READERS * 2 * 20


async def test_few_instances_all_read_the_store() -> None:
    fleet = Fleet(8)
    fleet.store.put("a")
    await asyncio.sleep(1.0)
    assert len(fleet.readers()) == 8
    assert fleet.known_keys() == [{"a"}] * 8


async def test_changes_arrive_despite_undetected_dead_readers() -> None:
    fleet = Fleet(40)
    await asyncio.sleep(1.0)
    for node in fleet.readers():
        fleet.kill(node)
    fleet.store.put("a")
    await asyncio.sleep(FEED_WAIT_S + READER_TIMEOUT_MARGIN_S + 1.0)
    assert fleet.known_keys() == [{"a"}] * len(fleet.nodes)


async def test_changes_arrive_despite_readers_refused_by_the_store() -> None:
    fleet = Fleet(40)
    await asyncio.sleep(1.0)
    for node in fleet.readers():
        node.mirror._feed._store = RefusingStore()  # type: ignore[attr-defined]
    await asyncio.sleep(4.0)
    fleet.store.put("a")
    await asyncio.sleep(4.0)
    refused_readers = {node.name for node in fleet.readers()}
    for name, node in fleet.nodes.items():
        assert name in refused_readers or node.keys() == {"a"}


@pytest.mark.parametrize("instances", [40, 195])
async def test_readers_refused_by_the_store_cost_no_call_of_all_others(
    instances: int,
) -> None:
    """Pattern: the store refuses a third of the machines, some readers among them."""
    fleet = Fleet(instances)
    await asyncio.sleep(4.0)
    for node in fleet.readers()[: TABLE_READERS // 2]:
        node.mirror._feed._store = RefusingStore()  # type: ignore[attr-defined]
    fleet.store.calls = 0
    for number in range(10):
        fleet.store.put(f"k{number}")
        await asyncio.sleep(1.0)
    followers = set(fleet.nodes.values()) - set(fleet.readers())
    assert all(len(node.keys()) >= 9 for node in followers)
    assert fleet.store.calls <= TABLE_READERS * 2 * 10


async def test_outage_of_the_store_costs_few_calls_of_many_instances() -> None:
    fleet = Fleet(195)
    await asyncio.sleep(4.0)
    fleet.store.is_down = True
    await asyncio.sleep(4.0)
    fleet.store.calls = 0
    await asyncio.sleep(10.0)
    readers_calls = TABLE_READERS * 10.0 / (0.7 * RETRY_MAX_S)
    assert fleet.store.calls <= readers_calls + 195 * 10.0 / STORE_PAUSE_S
    fleet.store.is_down = False
    fleet.store.put("a")
    await asyncio.sleep(2.0)
    assert fleet.known_keys() == [{"a"}] * 195


async def test_store_outage_is_detected_by_all_instances() -> None:
    fleet = Fleet(40)
    await asyncio.sleep(1.0)
    fleet.store.is_down = True
    await asyncio.sleep(8.0)
    for node in fleet.nodes.values():
        assert now_s() - node.mirror.last_failure_s < 2.0
    fleet.store.is_down = False
    fleet.store.put("a")
    await asyncio.sleep(2.0)
    assert fleet.known_keys() == [{"a"}] * 40


async def test_reader_that_started_later_refuses_changes_it_missed() -> None:
    """A row was added and removed before the reader read the table.

    Other copies may still have the row. A response without its removal would leave it
    there.
    """
    fleet = Fleet(1)
    store, node = fleet.store, fleet.nodes["n0"]
    await asyncio.sleep(1.0)
    behind = store.version
    store.put("a")
    store.remove("a")
    late = TableMirror(TABLE, store, random.Random(1))
    task = asyncio.create_task(late.async_run())
    await asyncio.sleep(1.0)
    task.cancel()
    assert late.changes_since(late.feed_snapshot().version).items == ()
    with pytest.raises(HistoryGoneError):
        late.changes_since(behind)
    assert node.mirror.changes_since(behind).removed == (f"{TABLE}/a",)

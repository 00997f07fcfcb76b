"""Feeds of a fleet whose open connections all go silent, without a reset."""

import asyncio
import math
import random
from collections.abc import Awaitable, Coroutine
from typing import Any, TypeVar

import pytest

from banyanswitch.components.http1.client import HttpClient, HttpResponse
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.models import Request
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.table_mirror.feed_calls import FeedCalls
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.table_mirror.relay import TableRelay
from banyanswitch.components.table_mirror.relayed_feed import RelayedFeed
from banyanswitch.exceptions import PlatformUnavailableError, UpstreamBrokenError
from banyanswitch.interfaces import Item, Peer, TableChanges
from banyanswitch.platform.tables import FEED_TIMEOUT_MARGIN_S
from tests.components.lease.conftest import make_peer
from tests.components.table_mirror.test_relayed_feed import RecordingReply, now_s

pytestmark = pytest.mark.looptime
TABLES = ("op", "servers")
IN_FORCE_S = 2.5
"""Time after the silence within which each instance has each change."""

STEP_S = 0.02
ResultT = TypeVar("ResultT")


class Network:
    """Connections between instances and to the store, with one silence."""

    def __init__(self) -> None:
        self.silent_at_s = math.inf

    async def async_call(
        self,
        call: Coroutine[Any, Any, ResultT],
        timeout_s: float,
        error: Exception,
    ) -> ResultT:
        """Make a call; one that is under way at the silence gets no answer."""
        began_at_s = now_s()
        task = asyncio.create_task(call)
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=STEP_S)
                if began_at_s < self.silent_at_s <= now_s():
                    await asyncio.sleep(began_at_s + timeout_s - now_s())
                    raise error
            return task.result()
        finally:
            task.cancel()


class Store:
    """Implements ``TableFeed``; its version counts the changes of all tables."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self._items: list[Item] = []
        self._changed = asyncio.Event()
        self.calls = 0

    def put(self, key: str) -> None:
        self._items.append(Item(key, len(self._items) + 1, b""))
        self._changed.set()
        self._changed = asyncio.Event()

    def clock_s(self, max_error_s: float = math.inf) -> float | None:
        return None

    async def async_read_table(self, table: str) -> TableChanges:
        return self._changes(table, 0)

    async def async_changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        self.calls += 1
        return await self._network.async_call(
            self._async_wait(table, after, wait_s),
            wait_s + FEED_TIMEOUT_MARGIN_S,
            PlatformUnavailableError("no answer"),
        )

    async def _async_wait(self, table: str, after: int, wait_s: float) -> TableChanges:
        try:
            async with asyncio.timeout(wait_s):
                while not self._changes(table, after).items:
                    await self._changed.wait()
        except TimeoutError:
            pass
        return self._changes(table, after)

    def _changes(self, table: str, after: int) -> TableChanges:
        items = [i for i in self._items if i.key.startswith(table)]
        newer = tuple(item for item in items if item.revision > after)
        return TableChanges(len(self._items), newer, ())


class Client(HttpClient):
    """Client that calls the relays of the other instances directly."""

    def __init__(self, fleet: "Fleet") -> None:
        super().__init__(ConnectionPool())
        self._fleet = fleet

    async def async_call(
        self, method: str, address: str, target: str, **options: Any
    ) -> HttpResponse:
        reply = RecordingReply()
        request = Request(b"GET", target.encode(), (), b"", now_s())
        relay = self._fleet.nodes[address.removeprefix("tcp://")].relay

        async def async_answer() -> HttpResponse:
            answering: Awaitable[None] = relay.async_answer(request, reply)  # type: ignore[arg-type]
            await answering
            return reply.answer

        return await self._fleet.network.async_call(
            async_answer(), options["timeout_s"], UpstreamBrokenError("no answer")
        )


class Node:
    """One instance with copies of both tables."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self.name = name
        self.fleet = fleet
        generator = random.Random(name)
        client = Client(fleet)
        feed = RelayedFeed(fleet.store, ReaderAssignment(self), client, generator)
        calls = FeedCalls()
        feed.on_failure = calls.note_failure
        self.mirrors = {
            table: TableMirror(table, feed, generator, calls) for table in TABLES
        }
        self.relay = TableRelay(self.mirrors, self, client, generator)
        self.tasks = [
            asyncio.create_task(mirror.async_run()) for mirror in self.mirrors.values()
        ]

    def this_instance(self) -> Peer:
        return make_peer(self.name)

    def peers(self) -> tuple[Peer, ...]:
        return tuple(make_peer(name) for name in self.fleet.names)

    def table_versions(self, table: str) -> dict[str, int]:
        """Return no versions, as if no report had arrived."""
        return {}

    def known(self) -> set[str]:
        return {item.key for mirror in self.mirrors.values() for item in mirror.items}


class Fleet:
    """Instances that use one store."""

    def __init__(self, count: int) -> None:
        self.network = Network()
        self.store = Store(self.network)
        for table in TABLES:
            self.store.put(f"{table}/first")
        self.names = [f"n{number}" for number in range(count)]
        self.nodes: dict[str, Node] = {}
        for name in self.names:
            self.nodes[name] = Node(name, self)

    def know(self, key: str) -> bool:
        return all(key in node.known() for node in self.nodes.values())

    def stop(self) -> None:
        for node in self.nodes.values():
            for task in node.tasks:
                task.cancel()


# Guards against changes that reach no instance until the longest waits have ended, as
# an earlier change has woken all calls of a table together.
@pytest.mark.parametrize("woken", ["op", "servers", None])
@pytest.mark.parametrize(
    ("instances", "offsets_s"),
    [(1, (0.1, 0.7, 1.3)), (3, (0.1, 1.0)), (8, (0.1, 1.4)), (91, (0.6,))],
)
async def test_changes_are_in_force_soon_after_connections_went_silent(
    instances: int, offsets_s: tuple[float, ...], woken: str | None
) -> None:
    for offset_s in offsets_s:
        fleet = Fleet(instances)
        await asyncio.sleep(7.0 + offset_s)
        if woken is not None:
            fleet.store.put(f"{woken}/second")
            await asyncio.sleep(0.2)
        fleet.network.silent_at_s = now_s()
        await asyncio.sleep(0.1)
        for table in TABLES:
            fleet.store.put(f"{table}/third")
        await asyncio.sleep(fleet.network.silent_at_s + IN_FORCE_S - now_s())
        assert all(fleet.know(f"{table}/third") for table in TABLES)
        fleet.stop()


# Guards against a quicker detection that costs more calls in calm.
@pytest.mark.parametrize("instances", [3, 8, 91])
async def test_calm_costs_as_many_calls_as_two_full_waits(instances: int) -> None:
    fleet = Fleet(instances)
    await asyncio.sleep(9.0)
    fleet.store.calls = 0
    await asyncio.sleep(30.0)
    # With many instances, six read each table for all.
    readers = instances if instances <= 8 else 6
    assert fleet.store.calls <= 1.1 * readers * len(TABLES) * 30.0 / 3.0
    fleet.stop()

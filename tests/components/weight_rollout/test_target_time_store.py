"""Stored times of target weight versions, with and without a holder of the duty."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence

import msgspec
import pytest
import structlog

from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.lease.candidates import WatcherSelector
from banyanswitch.components.lease.const import CANDIDATE_COUNT
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.weight_rollout.const import (
    LEASE_S,
    TARGET_TIMES_INTERVAL_S,
    TARGET_TIMES_TABLE,
    TARGET_TIMES_TAKEOVER_S,
)
from banyanswitch.components.weight_rollout.target_time_store import TargetTimeStore
from banyanswitch.exceptions import PlatformUnavailableError
from banyanswitch.interfaces import Item, TableChanges, Write, WriteClass
from tests.components.forwarding.fakes import MODEL, NoFeed, PlainDecoder
from tests.components.weight_rollout.test_order_lease import Setup, now_s
from tests.fakes.peers import FakeNetwork, FakeNode
from tests.fakes.table import FakeTable, TableFault

pytestmark = pytest.mark.looptime(noop_cycles=1)
KEY = f"{TARGET_TIMES_TABLE}/{MODEL}"
CLOCK_OFFSET_S = 1000.0
LATENCY_S = 0.01
MAX_EXTRA_WRITES = 5
"""Writes of instances that are selected at random in the same step; one on average."""


class StoreClock(NoFeed):
    """Clock of the store, ahead of the loop's clock."""

    def clock_s(self) -> float | None:
        return now_s() + CLOCK_OFFSET_S


class Access:
    """Access of one instance to the table, which can fail for it alone."""

    def __init__(self, table: FakeTable) -> None:
        self._table = table
        self.is_down = False
        self.reads = 0
        self.writes = 0

    async def async_get(self, keys: Sequence[str]) -> tuple[Item, ...]:
        raise NotImplementedError

    async def async_query(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> tuple[Item, ...]:
        self._raise_if_down()
        self.reads += 1
        return await self._table.async_query(prefix, after=after, limit=limit)

    async def async_transact(
        self, writes: Sequence[Write], write_class: WriteClass
    ) -> tuple[int, ...]:
        self._raise_if_down()
        self.writes += 1
        return await self._table.async_transact(writes, write_class)

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise PlatformUnavailableError("no path to the store")


class Instance:
    """One instance that stores target times; its feed is set by the test."""

    def __init__(self, node: FakeNode, table: FakeTable, seed: int) -> None:
        self.node = node
        self.lease = Setup()
        self.access = Access(table)
        self.mirror = TableMirror("op", NoFeed(), random.Random(seed))
        self.routing = RoutingState(self.mirror, PlainDecoder(), "config")
        store = TargetTimeStore(
            table=self.access,
            clock=StoreClock(),
            routing=self.routing,
            order_lease=self.lease.order_lease,
            peers=node,
            generator=random.Random(seed),
        )
        self.task = asyncio.create_task(store.async_run())

    def name_version(self, version: int) -> None:
        item = Item("op/weights", version, b"%d" % version)
        self.mirror.apply_changes(TableChanges(version, (item,), ()))

    def age_s(self, version: int) -> float:
        return now_s() - self.routing.targets[MODEL].target_since_s[version]


class Fleet:
    """Instances that share a table."""

    def __init__(self) -> None:
        self.table = FakeTable(latency_s=LATENCY_S)
        self.network = FakeNetwork()
        self.instances: list[Instance] = []

    async def async_start(self, count: int, *, within_s: float = 0.5) -> None:
        """Start instances within a time, and wait until all have read the table."""
        nodes = [self.network.add(number) for number in range(count)]
        for number, node in enumerate(nodes):
            self.instances.append(Instance(node, self.table, number))
            if within_s:
                await asyncio.sleep(within_s / count)
        await asyncio.sleep(1.0)

    def name_version(self, version: int) -> None:
        for instance in self.instances:
            instance.name_version(version)

    def kill_all(self) -> None:
        for instance in self.instances:
            instance.task.cancel()
            self.network.remove(instance.node)
        self.instances = []

    def candidates(self) -> list[Instance]:
        """Return the instances that are selected in every step."""
        selected = []
        for instance in self.instances:
            selector = WatcherSelector(instance.node, random.Random(1))
            selector.refresh()
            if selector.is_candidate(KEY):
                selected.append(instance)
        return selected

    def put(self, times: dict[int, float]) -> None:
        self.table.apply([Write(KEY, msgspec.json.encode(times))])

    def stored(self) -> dict[int, float]:
        """Return the loop time of each stored version."""
        item = self.table.items.get(KEY)
        if item is None:
            return {}
        times = msgspec.json.decode(item.value, type=dict[int, float])
        return {version: at_s - CLOCK_OFFSET_S for version, at_s in times.items()}

    def writes(self) -> int:
        return sum(instance.access.writes for instance in self.instances)

    def reads(self) -> int:
        return sum(instance.access.reads for instance in self.instances)


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet()
    yield fleet
    fleet.kill_all()


async def test_time_survives_a_restart_of_all_instances_without_a_holder(
    fleet: Fleet,
) -> None:
    """Without a holder, nobody stored the time at which a version became the target.

    The instances that started then used their own start instead.
    """
    await fleet.async_start(8)
    named_at_s = now_s()
    fleet.name_version(2)
    await asyncio.sleep(LEASE_S)
    fleet.kill_all()
    await asyncio.sleep(20.0)
    await fleet.async_start(1)
    (started,) = fleet.instances
    started.name_version(2)
    assert started.age_s(2) == pytest.approx(now_s() - named_at_s, abs=1.0)


async def test_only_the_holder_writes_if_it_does_so_in_time(fleet: Fleet) -> None:
    await fleet.async_start(8)
    fleet.instances[3].lease.leases.renew(1)
    named_at_s = now_s()
    fleet.name_version(2)
    await asyncio.sleep(60.0)
    assert fleet.stored()[2] == pytest.approx(named_at_s, abs=0.01)
    assert fleet.writes() == fleet.instances[3].access.writes == 1


@pytest.mark.parametrize("lag_s", [0.8, 1.5, 1.6, 1.7, 1.8, 1.9, 2.0, 3.0])
async def test_the_earliest_time_is_kept_if_holder_and_others_write(
    fleet: Fleet, lag_s: float
) -> None:
    """A holder whose feed lags stored a time that others knew to be too late.

    With a lag of 0.8 s the holder writes first, with 3 s last, and in between both
    write at about the same time.
    """
    await fleet.async_start(8)
    fleet.put({1: 7.0 + CLOCK_OFFSET_S})
    holder, *others = fleet.instances
    holder.lease.leases.renew(1)
    named_at_s = now_s()
    for instance in others:
        instance.name_version(2)
    await asyncio.sleep(lag_s)
    holder.name_version(2)
    await asyncio.sleep(10.0)
    assert fleet.stored() == {1: 7.0, 2: pytest.approx(named_at_s, abs=0.01)}


@pytest.mark.parametrize("first", range(8))
async def test_the_earliest_time_is_kept_whichever_instance_knows_it(
    fleet: Fleet, first: int
) -> None:
    """The feeds of all other instances lag."""
    await fleet.async_start(8)
    named_at_s = now_s()
    fleet.instances[first].name_version(2)
    await asyncio.sleep(3.0)
    fleet.name_version(2)
    await asyncio.sleep(60.0)
    assert fleet.stored()[2] == pytest.approx(named_at_s, abs=0.01)


@pytest.mark.parametrize("within_s", [0.0, TARGET_TIMES_INTERVAL_S])
@pytest.mark.parametrize("count", [40, 330])
async def test_number_of_writes_does_not_grow_with_the_instances(
    fleet: Fleet, count: int, within_s: float
) -> None:
    """Instances that started at the same time check at the same time."""
    await fleet.async_start(count, within_s=within_s)
    named_at_s = now_s()
    fleet.name_version(2)
    await asyncio.sleep(TARGET_TIMES_TAKEOVER_S + 2 * TARGET_TIMES_INTERVAL_S)
    assert fleet.stored()[2] == pytest.approx(named_at_s, abs=0.01)
    await asyncio.sleep(15.0)
    assert 1 <= fleet.writes() <= CANDIDATE_COUNT + MAX_EXTRA_WRITES
    assert max(instance.access.reads for instance in fleet.instances) <= 3


async def test_time_is_stored_if_no_candidate_reaches_the_table(fleet: Fleet) -> None:
    await fleet.async_start(40)
    candidates = fleet.candidates()
    assert len(candidates) == CANDIDATE_COUNT
    for instance in candidates:
        instance.access.is_down = True
    named_at_s = now_s()
    fleet.name_version(2)
    await asyncio.sleep(10.0)
    assert fleet.stored()[2] == pytest.approx(named_at_s, abs=0.01)
    assert fleet.writes() <= MAX_EXTRA_WRITES


async def test_a_failed_read_is_logged_and_repeated(fleet: Fleet) -> None:
    await fleet.async_start(4)
    named_at_s = now_s()
    fleet.table.is_down = True
    with structlog.testing.capture_logs() as lines:
        fleet.name_version(2)
        await asyncio.sleep(5.0)
    assert {line["event"] for line in lines} >= {"named_times_not_read"}
    assert fleet.writes() == 0
    fleet.table.is_down = False
    await asyncio.sleep(5.0)
    assert fleet.stored()[2] == pytest.approx(named_at_s, abs=0.01)


@pytest.mark.parametrize("fault", list(TableFault))
async def test_a_failed_write_is_logged_and_repeated(
    fleet: Fleet, fault: TableFault
) -> None:
    await fleet.async_start(1)
    named_at_s = now_s()
    fleet.table.write_faults = [fault, fault]
    with structlog.testing.capture_logs() as lines:
        fleet.name_version(2)
        await asyncio.sleep(20.0)
    assert {line["event"] for line in lines} >= {"named_times_not_written"}
    assert fleet.stored()[2] == pytest.approx(named_at_s, abs=0.01)

"""Relayed events of a store that answers a limited number of event calls.

Up to 40 instances use a store that refuses the 13th concurrent event call. All of them
must know the same parts, also after lost messages, restarts and dead readers.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import pytest

from banyanswitch.components.forwarding.loads import LoadTracker
from banyanswitch.components.forwarding.models import KvStoreNode
from banyanswitch.components.forwarding.protocols import PartEvent, PartEvents
from banyanswitch.components.kv_tier.const import RELAY_READERS, RELAY_STALE_AFTER_S
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.kv_tier.models import Missed
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.decisions.rendezvous import select_instances
from banyanswitch.exceptions import UpstreamBrokenError
from banyanswitch.helpers.suspension import SuspensionWatch
from banyanswitch.identifiers import FailureDomainId, StoreId
from banyanswitch.interfaces import Peer
from tests.components.kv_tier.test_coordinator import FakeClock
from tests.components.lease.conftest import make_peer

pytestmark = pytest.mark.looptime
STORE = StoreId("s")
MAX_CALLS = 12
REPORT_INTERVAL_S = 0.5


@dataclass
class LimitedStore:
    """Implements ``PartStoreClient``; accepts a limited number of event calls."""

    epoch: int = 1
    history: list[PartEvent] = field(default_factory=list)
    open_calls: int = 0
    most_calls: int = 0
    refused: int = 0

    async def async_events(
        self, address: str, epoch: int, since: int, wait_s: float
    ) -> PartEvents:
        self.most_calls = max(self.most_calls, self.open_calls + 1)
        if self.open_calls >= MAX_CALLS:
            self.refused += 1
            raise UpstreamBrokenError("status 429")
        self.open_calls += 1
        try:
            ends_at_s = now_s() + wait_s
            while len(self.history) <= since and now_s() < ends_at_s:
                await asyncio.sleep(0.05)
        finally:
            self.open_calls -= 1
        return self._answer(since)

    async def async_list(self, address: str) -> PartEvents:
        return self._answer(0)

    async def async_free(
        self,
        address: str,
        epoch: int,
        parts: Sequence[tuple[str, str]],
        send_by_s: Callable[[], float],
    ) -> bool:
        return True

    def restart(self) -> None:
        self.epoch += 1
        self.history = []

    def _answer(self, since: int) -> PartEvents:
        return PartEvents(
            epoch=self.epoch,
            next_event=len(self.history),
            has_gap=False,
            events=tuple(self.history[since:]),
            clock_ms=5,
        )


class Node:
    """One instance whose relayed events reach the others."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self.name = name
        self.fleet = fleet
        self.reports_to_drop = 0
        self.lists_read = 0
        self.hidden_peers: set[str] = set()
        self.clock = FakeClock()
        watch = SuspensionWatch(self.clock)
        self.tier = PartTier(
            fleet.store, lambda _model: 1, watch, LoadTracker(), ReaderAssignment(self)
        )
        self.tier.set_stores([fleet.node])

    def this_instance(self) -> Peer:
        return make_peer(self.name)

    def peers(self) -> tuple[Peer, ...]:
        names = [name for name in self.fleet.nodes if name not in self.hidden_peers]
        return tuple(make_peer(name) for name in names)

    def parts(self) -> set[str] | None:
        (state,) = self.tier.stores
        if not state.is_usable:
            return None
        return {part for _, part in state.parts}

    async def async_report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        events_by_store = self.tier.drain_unsent()
        for other in tuple(self.fleet.nodes.values()):
            if other is not self:
                other.receive(self, events_by_store)

    def receive(self, sender: "Node", events_by_store: dict) -> None:
        if self.reports_to_drop:
            self.reports_to_drop -= bool(events_by_store)
            return
        for store, relayed in events_by_store.items():
            missed = self.tier.apply_relayed(store, relayed)
            if missed is Missed.NOTHING:
                continue
            self.lists_read += 1
            part_list = sender.tier.part_list(store)
            if part_list is not None:
                self.tier.apply_list(store, part_list)


class Fleet:
    """Instances that use one store."""

    def __init__(self, count: int) -> None:
        self.store = LimitedStore()
        self.node = KvStoreNode(
            name=STORE,
            address="10.0.0.2:1",
            failure_domain=FailureDomainId("z"),
            capacity_tokens=100_000,
            bandwidth_mbps=45_000.0,
            first_byte_s=0.0005,
            max_event_readers=MAX_CALLS,
            is_managed=True,
        )
        self.nodes: dict[str, Node] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        for number in range(count):
            self.nodes[f"n{number}"] = Node(f"n{number}", self)
        for name, node in self.nodes.items():
            self.tasks[name] = asyncio.create_task(node.async_report())

    def append_event(
        self, part: str, is_stored: bool = True, salt: str = "salt"
    ) -> None:
        self.store.history.append(PartEvent(is_stored, salt, part, 64))

    def known_parts(self) -> list[set[str] | None]:
        return [node.parts() for node in self.nodes.values()]

    def readers(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.tier.drain_unsent()]

    def kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        node.tier.stop()
        self.tasks.pop(name).cancel()


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def test_all_instances_know_the_same_parts_with_few_calls() -> None:
    fleet = Fleet(40)
    fleet.append_event("a")
    await asyncio.sleep(3.0)
    assert fleet.known_parts() == [{"a"}] * 40
    fleet.append_event("b")
    fleet.append_event("a", is_stored=False)
    await asyncio.sleep(1.5)
    assert fleet.known_parts() == [{"b"}] * 40
    assert fleet.store.most_calls <= RELAY_READERS
    assert fleet.store.refused == 0


async def test_few_instances_all_read_the_store() -> None:
    fleet = Fleet(8)
    fleet.append_event("a")
    await asyncio.sleep(0.5)
    assert fleet.known_parts() == [{"a"}] * 8
    assert fleet.store.most_calls == 8
    assert fleet.readers() == []


async def test_instance_that_missed_events_requests_the_list() -> None:
    fleet = Fleet(40)
    await asyncio.sleep(2.0)
    for node in fleet.nodes.values():
        node.reports_to_drop = 3
    fleet.append_event("a")
    await asyncio.sleep(1.0)
    fleet.append_event("b")
    await asyncio.sleep(3.0)
    assert fleet.known_parts() == [{"a", "b"}] * 40


async def test_all_instances_know_that_a_restarted_store_is_empty() -> None:
    fleet = Fleet(40)
    fleet.append_event("a")
    await asyncio.sleep(3.0)
    fleet.store.restart()
    await asyncio.sleep(4.0)
    assert fleet.known_parts() == [set()] * 40


async def test_events_of_a_previous_epoch_are_ignored() -> None:
    fleet = Fleet(40)
    await asyncio.sleep(3.0)
    reader = fleet.nodes[fleet.readers()[0]]
    old = reader.tier.drain_unsent()[STORE]
    fleet.store.restart()
    fleet.append_event("new")
    await asyncio.sleep(4.0)
    for node in fleet.nodes.values():
        assert node.tier.apply_relayed(STORE, old) is Missed.NOTHING
    assert fleet.known_parts() == [{"new"}] * 40


async def test_dead_readers_are_replaced() -> None:
    fleet = Fleet(40)
    await asyncio.sleep(3.0)
    for name in fleet.readers():
        fleet.kill(name)
    fleet.append_event("a")
    await asyncio.sleep(2.0)
    assert fleet.known_parts() == [{"a"}] * len(fleet.nodes)


async def test_store_is_unusable_when_its_readers_stop_relaying() -> None:
    fleet = Fleet(40)
    await asyncio.sleep(3.0)
    readers = fleet.readers()
    for name in readers:
        fleet.tasks[name].cancel()
    await asyncio.sleep(RELAY_STALE_AFTER_S + 1.0)
    usable = [name for name, node in fleet.nodes.items() if node.parts() is not None]
    assert sorted(usable) == sorted(readers)


async def test_temporary_reader_causes_no_missed_events() -> None:
    """An instance acts as a reader twice because its peer list lacks the readers.

    The store has a new event between these two times. The message of this instance
    reaches the others before those of the readers. They must not conclude that they
    missed events and request the list.
    """
    fleet = Fleet(40)
    await asyncio.sleep(3.0)
    readers = set(fleet.readers())
    for node in fleet.nodes.values():
        node.lists_read = 0
    (third,) = select_instances(f"store/{STORE}", fleet.nodes, 3) - readers
    temporary_reader = fleet.nodes[third]
    temporary_reader.hidden_peers = readers
    await asyncio.sleep(0.75)
    temporary_reader.hidden_peers = set()
    fleet.append_event("a")
    await asyncio.sleep(0.1)
    temporary_reader.hidden_peers = readers
    temporary_reader.report()
    temporary_reader.hidden_peers = set()
    await asyncio.sleep(1.0)
    assert fleet.known_parts() == [{"a"}] * 40
    assert sum(node.lists_read for node in fleet.nodes.values()) == 0

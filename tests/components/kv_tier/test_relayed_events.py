"""Many instances believe the same of a store that answers few event calls.

Pattern: 40 instances over a store that refuses the 13th event call.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import pytest

from banyanswitch.components.forwarding.loads import LoadTracker
from banyanswitch.components.forwarding.models import KvStoreNode
from banyanswitch.components.forwarding.protocols import PartEvent, PartEvents
from banyanswitch.components.kv_tier.const import RELAY_READERS, RELAY_SILENCE_S
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.kv_tier.models import Missed
from banyanswitch.components.peers.reader_choice import ReaderChoice
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
REPORT_S = 0.5


@dataclass
class SmallStore:
    """Implements ``PartStoreClient``; holds a bounded number of event calls."""

    epoch: int = 1
    history: list[PartEvent] = field(default_factory=list)
    open_calls: int = 0
    most_calls: int = 0
    refused: int = 0

    async def async_events(self, address: str, since: int, wait_s: float) -> PartEvents:
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
        self, address: str, epoch: int, parts: Sequence[tuple[str, str]]
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
    """One instance; its reports reach the others."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self.name = name
        self.fleet = fleet
        self.lost_reports = 0
        self.lists_read = 0
        self.unseen: set[str] = set()
        watch = SuspensionWatch(FakeClock())
        self.tier = PartTier(
            fleet.store, lambda _model: 1, watch, LoadTracker(), ReaderChoice(self)
        )
        self.tier.set_stores([fleet.node])

    def this_instance(self) -> Peer:
        return make_peer(self.name)

    def peers(self) -> tuple[Peer, ...]:
        names = [name for name in self.fleet.nodes if name not in self.unseen]
        return tuple(make_peer(name) for name in names)

    def parts(self) -> set[str] | None:
        (state,) = self.tier.stores
        if not state.is_usable:
            return None
        return {part for _, part in state.parts}

    async def async_report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            self.report()

    def report(self) -> None:
        words = self.tier.take_unsent()
        for other in tuple(self.fleet.nodes.values()):
            if other is not self:
                other.take(self, words)

    def take(self, sender: "Node", words: dict) -> None:
        if self.lost_reports:
            self.lost_reports -= bool(words)
            return
        for store, word in words.items():
            missed = self.tier.take_relayed(store, word)
            if missed is Missed.NOTHING:
                continue
            self.lists_read += 1
            listed = sender.tier.list_of(store)
            if listed is not None:
                self.tier.take_list(store, listed)


class Fleet:
    """Instances over one store."""

    def __init__(self, count: int) -> None:
        self.store = SmallStore()
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

    def keep(self, part: str, is_kept: bool = True) -> None:
        self.store.history.append(PartEvent(is_kept, "salt", part, 64))

    def beliefs(self) -> list[set[str] | None]:
        return [node.parts() for node in self.nodes.values()]

    def readers(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.tier.take_unsent()]

    def kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        node.tier.stop()
        self.tasks.pop(name).cancel()


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def test_few_calls_and_one_belief() -> None:
    fleet = Fleet(40)
    fleet.keep("a")
    await asyncio.sleep(3.0)
    assert fleet.beliefs() == [{"a"}] * 40
    fleet.keep("b")
    fleet.keep("a", is_kept=False)
    await asyncio.sleep(1.5)
    assert fleet.beliefs() == [{"b"}] * 40
    assert fleet.store.most_calls <= RELAY_READERS
    assert fleet.store.refused == 0


async def test_few_instances_all_read() -> None:
    fleet = Fleet(8)
    fleet.keep("a")
    await asyncio.sleep(0.5)
    assert fleet.beliefs() == [{"a"}] * 8
    assert fleet.store.most_calls == 8
    assert fleet.readers() == []


async def test_who_missed_a_report_asks_for_the_list() -> None:
    fleet = Fleet(40)
    await asyncio.sleep(2.0)
    for node in fleet.nodes.values():
        node.lost_reports = 3
    fleet.keep("a")
    await asyncio.sleep(1.0)
    fleet.keep("b")
    await asyncio.sleep(3.0)
    assert fleet.beliefs() == [{"a", "b"}] * 40


async def test_a_store_that_restarted_empty_is_believed_empty_by_all() -> None:
    fleet = Fleet(40)
    fleet.keep("a")
    await asyncio.sleep(3.0)
    fleet.store.restart()
    await asyncio.sleep(4.0)
    assert fleet.beliefs() == [set()] * 40


async def test_word_of_a_former_epoch_is_not_taken() -> None:
    fleet = Fleet(40)
    await asyncio.sleep(3.0)
    reader = fleet.nodes[fleet.readers()[0]]
    old = reader.tier.take_unsent()[STORE]
    fleet.store.restart()
    fleet.keep("new")
    await asyncio.sleep(4.0)
    for node in fleet.nodes.values():
        assert node.tier.take_relayed(STORE, old) is Missed.NOTHING
    assert fleet.beliefs() == [{"new"}] * 40


async def test_dead_readers_are_followed_by_others() -> None:
    fleet = Fleet(40)
    await asyncio.sleep(3.0)
    for name in fleet.readers():
        fleet.kill(name)
    fleet.keep("a")
    await asyncio.sleep(2.0)
    assert fleet.beliefs() == [{"a"}] * len(fleet.nodes)


async def test_silent_readers_leave_the_store_unusable() -> None:
    fleet = Fleet(40)
    await asyncio.sleep(3.0)
    readers = fleet.readers()
    for name in readers:
        fleet.tasks[name].cancel()
    await asyncio.sleep(RELAY_SILENCE_S + 1.0)
    believers = [name for name, node in fleet.nodes.items() if node.parts() is not None]
    assert sorted(believers) == sorted(readers)


async def test_who_reads_for_a_moment_makes_nobody_miss_events() -> None:
    """An instance loses sight of the readers twice, with an event between.

    Its report reaches the others before those of the readers.
    """
    fleet = Fleet(40)
    await asyncio.sleep(3.0)
    readers = set(fleet.readers())
    for node in fleet.nodes.values():
        node.lists_read = 0
    (third,) = select_instances(f"store/{STORE}", fleet.nodes, 3) - readers
    wrong = fleet.nodes[third]
    wrong.unseen = readers
    await asyncio.sleep(0.75)
    wrong.unseen = set()
    fleet.keep("a")
    await asyncio.sleep(0.1)
    wrong.unseen = readers
    wrong.report()
    wrong.unseen = set()
    await asyncio.sleep(1.0)
    assert fleet.beliefs() == [{"a"}] * 40
    assert sum(node.lists_read for node in fleet.nodes.values()) == 0

"""Words of readers to 90 other instances over a narrow link.

Pattern: 300 parts of a store are freed at once while weights change.
"""

import asyncio
import random
from collections.abc import Mapping
from typing import Any

import pytest

from banyanswitch.components.kv_tier.const import (
    MAX_RELAYED_EVENTS,
    RELAY_SILENCE_S,
    WORD_BYTES_PER_S,
)
from banyanswitch.components.kv_tier.event_relay import EventRelay
from banyanswitch.components.kv_tier.models import RelayedEvents
from banyanswitch.components.peers.const import BURST_BYTES
from banyanswitch.identifiers import FailureDomainId, InstanceId
from banyanswitch.interfaces import Peer
from tests.components.state_exchange.test_coordinator import WiredTransport

pytestmark = pytest.mark.looptime
STORE = "s"


class Stores:
    """What one instance has read, and what it was told; stands in for the tier."""

    def __init__(self) -> None:
        self.unsent: dict[str, int] = {}
        self.since = 0
        self.next_event = 0
        self.clock: int | None = None
        self.words: list[RelayedEvents] = []

    def read(self, parts: int) -> None:
        for _ in range(parts):
            self.next_event += 1
            self.unsent[f"{self.next_event:016x}"] = 0

    def take_unsent(self) -> dict[str, RelayedEvents]:
        if not self.next_event:
            return {}
        parts = {"2-475a3cbc43b5": list(self.unsent.items())}
        word = RelayedEvents(1, self.since, self.next_event, parts)
        self.unsent, self.since = {}, self.next_event
        return {STORE: word}

    def clock_ms(self) -> int | None:
        return 5_000

    def note_clock(self, clock_ms: int) -> None:
        self.clock = clock_ms

    def take(self, peer_address: str, words: Mapping[str, RelayedEvents]) -> None:
        self.words += words.values()


class Node:
    """One instance that passes on and is told."""

    def __init__(self, name: str, count: int, wires: dict[str, WiredTransport]) -> None:
        self.name = name
        self.count = count
        self.stores = Stores()
        self.transport = WiredTransport(name, wires)
        wires[self.transport.address] = self.transport
        stand_in: Any = self.stores
        self.exchange = EventRelay(
            transport=self.transport,
            peers=self,
            tier=stand_in,
            lists=stand_in,
            generator=random.Random(1),
        )

    def this_instance(self) -> Peer:
        return peer_of(self.name)

    def peers(self) -> tuple[Peer, ...]:
        return tuple(peer_of(f"n{number}") for number in range(self.count))


def peer_of(name: str) -> Peer:
    return Peer(InstanceId(name), FailureDomainId("z"), f"{name}:1", "", 1)


def make_nodes(count: int) -> list[Node]:
    wires: dict[str, WiredTransport] = {}
    return [Node(f"n{number}", count, wires) for number in range(count)]


async def test_words_follow_on_at_every_instance() -> None:
    nodes = make_nodes(91)
    first = nodes[0]
    task = asyncio.create_task(first.exchange.async_run())
    for _ in range(40):
        first.stores.read(parts=30)
        await asyncio.sleep(0.25)
    await asyncio.sleep(10.0)
    task.cancel()
    for node in nodes[1:]:
        words = node.stores.words
        assert words[0].since == 0
        assert words[-1].next_event == first.stores.next_event
        pairs = zip(words, words[1:], strict=False)
        assert all(late.since == early.next_event for early, late in pairs)
        assert node.stores.clock == 5_000


async def test_many_events_reach_all_before_their_store_counts_as_silent() -> None:
    nodes = make_nodes(91)
    first = nodes[0]
    task = asyncio.create_task(first.exchange.async_run())
    first.stores.read(MAX_RELAYED_EVENTS)
    await asyncio.sleep(1.5)
    assert first.stores.since == MAX_RELAYED_EVENTS
    await asyncio.sleep(RELAY_SILENCE_S - 0.5)
    task.cancel()
    assert all(node.stores.words for node in nodes[1:])


async def test_words_do_not_fill_the_link() -> None:
    nodes = make_nodes(91)
    first = nodes[0]
    task = asyncio.create_task(first.exchange.async_run())
    sent = []
    for _ in range(200):
        first.stores.read(parts=20)
        sent.append(first.transport.sent_bytes)
        await asyncio.sleep(0.02)
    task.cancel()
    in_half_a_second = [
        late - early for early, late in zip(sent, sent[25:], strict=False)
    ]
    assert 0 < max(in_half_a_second) <= BURST_BYTES + 0.5 * WORD_BYTES_PER_S * 1.1

"""Relayed events of a reader to 90 other instances over a slow link.

The load is that of a weight change, when 300 parts of a store are freed at once.
"""

import asyncio
import random
from collections.abc import Mapping
from typing import Any

import pytest

from banyanswitch.components.kv_tier.const import (
    MAX_RELAYED_EVENTS,
    RELAY_BYTES_PER_S,
    RELAY_STALE_AFTER_S,
)
from banyanswitch.components.kv_tier.event_relay import EventRelay
from banyanswitch.components.kv_tier.models import RelayedEvents
from banyanswitch.components.peers.const import BURST_BYTES
from banyanswitch.identifiers import FailureDomainId, InstanceId
from banyanswitch.interfaces import Peer
from tests.components.state_exchange.test_coordinator import InMemoryTransport

pytestmark = pytest.mark.looptime
STORE = "s"


class FakeTier:
    """Fake of the tier and the list relay: events read and events received."""

    stores = (STORE,) * 27

    def __init__(self) -> None:
        self.unsent: dict[str, int] = {}
        self.since = 0
        self.next_event = 0
        self.clock: int | None = None
        self.messages: list[RelayedEvents] = []

    def read(self, parts: int) -> None:
        for _ in range(parts):
            self.next_event += 1
            self.unsent[f"{self.next_event:016x}"] = 0

    def drain_unsent(self) -> dict[str, RelayedEvents]:
        if not self.next_event:
            return {}
        parts = {"2-475a3cbc43b5": list(self.unsent.items())}
        relayed = RelayedEvents(1, self.since, self.next_event, parts)
        self.unsent, self.since = {}, self.next_event
        return {STORE: relayed}

    def clock_ms(self) -> int | None:
        return 5_000

    def note_clock(self, clock_ms: int) -> None:
        self.clock = clock_ms

    def apply(self, peer_address: str, messages: Mapping[str, RelayedEvents]) -> None:
        self.messages += messages.values()


class Node:
    """One instance that relays and receives events."""

    def __init__(
        self, name: str, count: int, transports: dict[str, InMemoryTransport]
    ) -> None:
        self.name = name
        self.count = count
        self.tier = FakeTier()
        self.transport = InMemoryTransport(name, transports)
        transports[self.transport.address] = self.transport
        fake_tier: Any = self.tier
        self.relay = EventRelay(
            transport=self.transport,
            peers=self,
            tier=fake_tier,
            lists=fake_tier,
            generator=random.Random(1),
        )

    def this_instance(self) -> Peer:
        return peer_of(self.name)

    def peers(self) -> tuple[Peer, ...]:
        return tuple(peer_of(f"n{number}") for number in range(self.count))


def peer_of(name: str) -> Peer:
    return Peer(InstanceId(name), FailureDomainId("z"), f"{name}:1", "", 1)


def make_nodes(count: int) -> list[Node]:
    transports: dict[str, InMemoryTransport] = {}
    return [Node(f"n{number}", count, transports) for number in range(count)]


async def test_messages_are_consecutive_at_every_instance() -> None:
    nodes = make_nodes(91)
    first = nodes[0]
    task = asyncio.create_task(first.relay.async_run())
    for _ in range(40):
        first.tier.read(parts=30)
        await asyncio.sleep(0.25)
    await asyncio.sleep(10.0)
    task.cancel()
    for node in nodes[1:]:
        messages = node.tier.messages
        assert messages[0].since == 0
        assert messages[-1].next_event == first.tier.next_event
        pairs = zip(messages, messages[1:], strict=False)
        assert all(late.since == early.next_event for early, late in pairs)
        assert node.tier.clock == 5_000


async def test_many_events_reach_all_before_the_store_counts_as_stale() -> None:
    nodes = make_nodes(91)
    first = nodes[0]
    task = asyncio.create_task(first.relay.async_run())
    first.tier.read(MAX_RELAYED_EVENTS)
    await asyncio.sleep(1.5)
    assert first.tier.since == MAX_RELAYED_EVENTS
    await asyncio.sleep(RELAY_STALE_AFTER_S - 0.5)
    task.cancel()
    assert all(node.tier.messages for node in nodes[1:])


@pytest.mark.parametrize("instances", [195, 330])
async def test_events_of_a_large_fleet_arrive_long_before_the_store_is_stale(
    instances: int,
) -> None:
    nodes = make_nodes(instances)
    first = nodes[0]
    task = asyncio.create_task(first.relay.async_run())
    for _ in range(10):
        first.tier.read(parts=3)
        await asyncio.sleep(RELAY_STALE_AFTER_S / 2)
        assert first.tier.since == first.tier.next_event
    task.cancel()
    assert all(len(node.tier.messages) >= 9 for node in nodes[1:])


async def test_relayed_events_do_not_fill_the_link() -> None:
    nodes = make_nodes(91)
    first = nodes[0]
    task = asyncio.create_task(first.relay.async_run())
    sent = []
    for _ in range(200):
        first.tier.read(parts=20)
        sent.append(first.transport.sent_bytes)
        await asyncio.sleep(0.02)
    task.cancel()
    in_half_a_second = [
        late - early for early, late in zip(sent, sent[25:], strict=False)
    ]
    assert 0 < max(in_half_a_second) <= BURST_BYTES + 0.5 * RELAY_BYTES_PER_S * 1.1

"""Instances that exchange messages in one event loop."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from banyanswitch.components.membership.coordinator import MembershipCoordinator
from banyanswitch.components.membership.list_watcher import ListWatcher
from banyanswitch.components.membership.models import (
    ListedInstance,
    Member,
    MemberState,
)
from banyanswitch.exceptions import PeerError, PlatformUnavailableError

LATENCY_S = 0.002


class FakeNetwork:
    """Deliver messages after a latency; drop some at random, and all between groups."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.transports: dict[str, FakeTransport] = {}
        self.loss = 0.0
        self.group_of: dict[str, int] = {}
        self.frozen: set[str] = set()
        self.sent_messages = 0
        self.delayed: list[Callable[[], None]] = []

    def deliver(self, sender: str, address: str, message: object) -> None:
        self.sent_messages += 1
        is_partitioned = self.group_of.get(sender, 0) != self.group_of.get(address, 0)
        if is_partitioned or self.random.random() < self.loss:
            return
        receiver = self.transports.get(address)
        if receiver is None:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_S, self._arrive, receiver, message)

    def _arrive(self, receiver: "FakeTransport", message: object) -> None:
        if receiver.address in self.frozen:
            self.delayed.append(lambda: receiver.arrive(message))
            return
        receiver.arrive(message)


class FakeTransport:
    def __init__(self, network: FakeNetwork, address: str) -> None:
        self.network = network
        self.address = address
        self.handlers: dict[type, list[Callable[[Any], None]]] = defaultdict(list)
        network.transports[address] = self

    def subscribe(self, message_type: type, handler: Callable[[Any], None]) -> None:
        self.handlers[message_type].append(handler)

    async def async_send(self, peer_address: str, message: object) -> None:
        if self.network.transports.get(self.address) is not self:
            raise PeerError("closed")
        if self.address not in self.network.frozen:
            self.network.deliver(self.address, peer_address, message)

    def arrive(self, message: object) -> None:
        for handler in self.handlers[type(message)]:
            handler(message)


class FakeList:
    def __init__(self) -> None:
        self.entries: dict[str, ListedInstance] = {}
        self.is_down = False
        self.reads = 0

    async def async_read(self) -> tuple[ListedInstance, ...]:
        self.reads += 1
        if self.is_down:
            raise PlatformUnavailableError("down")
        return tuple(self.entries.values())


class Cluster:
    """Instances with their tasks."""

    def __init__(self, seed: int = 1, domains: int = 3) -> None:
        self.network = FakeNetwork(seed)
        self.list = FakeList()
        self.domains = domains
        self.nodes: dict[int, MembershipCoordinator] = {}
        self.tasks: dict[int, list[asyncio.Task[None]]] = {}
        self.changes = 0

    def start(self, number: int, incarnation: int = 1) -> MembershipCoordinator:
        address = self.address(number)
        transport = FakeTransport(self.network, address)
        node = MembershipCoordinator(
            transport=transport,
            this_member=Member(
                instance=f"i{number:03d}",
                failure_domain=f"d{number % self.domains}",
                peer_address=address,
                http_url=f"http://10.0.0.{number}:8080",
                incarnation=incarnation,
                revision=0,
                state=MemberState.ALIVE,
                is_leaving=False,
                service_mask=0,
            ),
            seeds=(self.address(0),),
            heartbeat_s=1.0,
            generator=random.Random(number * 1000 + incarnation),
            on_change=self._count_change,
            on_new_incarnation=lambda _: None,
        )
        watcher = ListWatcher(node, self.list, random.Random(number))
        create_task = asyncio.get_running_loop().create_task
        self.nodes[number] = node
        self.tasks[number] = [
            create_task(node.async_run()),
            create_task(watcher.async_run()),
        ]
        return node

    async def async_kill(self, number: int) -> None:
        self.network.transports.pop(self.address(number), None)
        del self.nodes[number]
        tasks = self.tasks.pop(number)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def async_close(self) -> None:
        for number in tuple(self.nodes):
            await self.async_kill(number)

    @staticmethod
    def address(number: int) -> str:
        return f"tcp://10.0.0.{number}:7000"

    def count_nodes_knowing(self, count: int) -> int:
        """Return how many nodes know exactly ``count`` live instances."""
        return sum(len(node.peers()) == count for node in self.nodes.values())

    def count_nodes_seeing_leaving(self, instance: str) -> int:
        """Return how many nodes have the instance marked as leaving."""
        return sum(
            peer.is_leaving
            for node in self.nodes.values()
            for peer in node.peers()
            if peer.instance == instance
        )

    def _count_change(self) -> None:
        self.changes += 1

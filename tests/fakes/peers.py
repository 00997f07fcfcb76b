"""In-memory peer network of one event loop, with delay, loss and partitions."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

import msgspec

from banyanswitch.exceptions import PeerError
from banyanswitch.identifiers import FailureDomainId, InstanceId
from banyanswitch.interfaces import Peer


@dataclass
class Traffic:
    """Number and encoded size of the messages sent, including the lost ones."""

    messages: int = 0
    size_bytes: int = 0


@dataclass
class FakeNetwork:
    """Delivers encoded messages between the nodes added to it.

    Parameters
    ----------
    delay_s : float
        Time between sending and delivery, in seconds.
    loss : float
        Probability that a message is lost.
    is_discovered : bool
        Whether the nodes know each other; if not, each one sees only itself.
    partitions : list of collections
        Addresses on one side of each partition; messages across it are lost.
    sent : dict
        Traffic by the address of the sender.
    sent_by_type : dict
        Traffic by the class name of the message.
    """

    delay_s: float = 0.003
    loss: float = 0.0
    seed: int = 1
    is_discovered: bool = True
    nodes: dict[str, "FakeNode"] = field(default_factory=dict)
    partitions: list[Collection[str]] = field(default_factory=list)
    sent: dict[str, Traffic] = field(default_factory=lambda: defaultdict(Traffic))
    sent_by_type: dict[str, Traffic] = field(
        default_factory=lambda: defaultdict(Traffic)
    )

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self._live_peers: tuple[Peer, ...] = ()

    def add(self, number: int, domain: str = "") -> "FakeNode":
        name = f"i{number:03d}"
        peer = Peer(
            InstanceId(name),
            FailureDomainId(domain or f"d{number % 3}"),
            f"tcp://{name}",
            f"http://{name}",
            incarnation=1,
        )
        node = FakeNode(self, peer)
        self.nodes[peer.peer_address] = node
        self._live_peers = ()
        return node

    def remove(self, node: "FakeNode") -> None:
        del self.nodes[node.peer.peer_address]
        self._live_peers = ()

    def live_peers(self) -> tuple[Peer, ...]:
        if not self._live_peers:
            nodes = sorted(self.nodes.items())
            self._live_peers = tuple(node.peer for _, node in nodes)
        return self._live_peers

    def is_reachable(self, sender: str, receiver: str) -> bool:
        return all((sender in side) == (receiver in side) for side in self.partitions)

    def deliver(self, sender: str, receiver: str, message: object) -> None:
        content = msgspec.msgpack.encode(message)
        for traffic in (self.sent[sender], self.sent_by_type[type(message).__name__]):
            traffic.messages += 1
            traffic.size_bytes += len(content)
        if receiver not in self.nodes or not self.is_reachable(sender, receiver):
            return
        if self.random.random() < self.loss:
            return
        copy = msgspec.msgpack.decode(content, type=type(message))
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, self._receive, receiver, copy)

    def _receive(self, receiver: str, message: object) -> None:
        node = self.nodes.get(receiver)
        if node is not None:
            node.receive(message)


@dataclass
class FakeNode:
    """Implements ``PeerTransport`` and ``PeerDirectory`` for one instance."""

    network: FakeNetwork
    peer: Peer
    handlers: dict[type, list[Callable[[Any], None]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def subscribe(self, message_type: type, handler: Callable[[Any], None]) -> None:
        self.handlers[message_type].append(handler)

    async def async_send(self, peer_address: str, message: object) -> None:
        if self.peer.peer_address not in self.network.nodes:
            raise PeerError("instance is stopped")
        self.network.deliver(self.peer.peer_address, peer_address, message)

    def receive(self, message: object) -> None:
        for handler in self.handlers[type(message)]:
            handler(message)

    def this_instance(self) -> Peer:
        return self.peer

    def peers(self) -> tuple[Peer, ...]:
        if not self.network.is_discovered:
            return (self.peer,)
        return self.network.live_peers()

"""Simulated network and virtual time for many instances in one process.

Messages have the signed frames of the real transport.
"""

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import looptime

from banyanswitch.components.peers.transport import NngPeerTransport
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.identifiers import InstanceId

T = TypeVar("T")

LATENCY_S = 0.0015
DELIVERY_SPACING_S = 2e-6
KEYS = SigningKeys(b"capacity-key-0123456789")
TCP_BYTES_PER_MESSAGE = 120
"""Transport, TCP and IP headers of a message and its acknowledgement, in bytes."""


class FramedNetwork:
    """Deliver signed frames between transports and count messages and bytes."""

    def __init__(self) -> None:
        self.transports: dict[str, FramedTransport] = {}
        self.messages: dict[str, int] = defaultdict(int)
        self.sent_bytes: dict[str, int] = defaultdict(int)
        self.received_bytes: dict[str, int] = defaultdict(int)
        self.partition_of: dict[str, int] = {}
        self._last_due_s: dict[str, float] = {}

    def reset_counts(self) -> None:
        """Reset all counters."""
        self.messages.clear()
        self.sent_bytes.clear()
        self.received_bytes.clear()

    def send(self, sender: str, receiver: str, frame: bytes) -> None:
        """Count a frame and deliver it after the latency.

        The frame is dropped after counting if the receiver has stopped or is in another
        partition.
        """
        size_bytes = len(frame) + TCP_BYTES_PER_MESSAGE
        self.messages[sender] += 1
        self.sent_bytes[sender] += size_bytes
        self.received_bytes[receiver] += size_bytes
        target = self.transports.get(receiver)
        if self.partition_of.get(sender, 0) != self.partition_of.get(receiver, 0):
            return
        if target is not None:
            due_s = self._next_due_s(receiver)
            asyncio.get_running_loop().call_at(due_s, target.deliver, frame)

    def _next_due_s(self, receiver: str) -> float:
        # The event loop does not keep the order of timers that are due at the same
        # time, so deliveries to a receiver are spaced apart.
        now_s = asyncio.get_running_loop().time()
        after_last_s = self._last_due_s.get(receiver, 0.0) + DELIVERY_SPACING_S
        self._last_due_s[receiver] = max(now_s + LATENCY_S, after_last_s)
        return self._last_due_s[receiver]

    def total_bytes(self) -> list[int]:
        """Return the sum of sent and received bytes of each transport."""
        return [
            self.sent_bytes[address] + self.received_bytes[address]
            for address in self.transports
        ]


class FramedTransport:
    """Peer transport without sockets, with the frames of the real transport."""

    def __init__(
        self, network: FramedNetwork, name: str, address: str, incarnation: int = 1
    ) -> None:
        self._network = network
        self._address = address
        self._transport = NngPeerTransport(
            instance=InstanceId(name),
            incarnation=incarnation,
            listen_address=address,
            advertised_address=address,
            keys=KEYS,
        )
        network.transports[address] = self

    def subscribe(self, message_type: type[T], handler: Callable[[T], None]) -> None:
        """Call ``handler`` for each message of this type that arrives."""
        self._transport.subscribe(message_type, handler)

    async def async_send(self, peer_address: str, message: object) -> None:
        """Send a message to a peer."""
        frame = self._transport.frame(peer_address, message)
        self._network.send(self._address, peer_address, frame)

    def deliver(self, frame: bytes) -> None:
        """Decode a received frame and call the handlers of its message type."""
        self._transport.deliver(frame)


def run_in_virtual_time(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on an event loop whose clock skips idle time."""
    loop = looptime.new_event_loop(start=0.0, end=1_000_000.0, noop_cycles=0)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


class ProcessorClock:
    """CPU time of this process since the creation of the clock."""

    def __init__(self) -> None:
        self._start_s = time.process_time()

    def elapsed_s(self) -> float:
        """Return the CPU time since the creation of the clock, in seconds."""
        return time.process_time() - self._start_s

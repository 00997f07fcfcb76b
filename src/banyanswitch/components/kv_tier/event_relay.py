"""Relay of store events from the instances that read the stores."""

import asyncio
import random

from banyanswitch.components.kv_tier.const import (
    RELAY_BYTES_PER_S,
    RELAY_INTERVAL_MIN_S,
    RELAY_MESSAGES_PER_S,
    RELAY_READERS,
    RELAYED_PER_S,
)
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.kv_tier.list_relay import ListRelay
from banyanswitch.components.kv_tier.models import StoreWords
from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.components.peers.paced_broadcaster import PacedBroadcaster
from banyanswitch.core import callback
from banyanswitch.interfaces import PeerDirectory


class EventRelay:
    """Send the store events that this instance reads to the instances that do not.

    Parameters
    ----------
    transport : DatagramPeerTransport
        Carries the messages.
    peers : PeerDirectory
        The other instances.
    tier : PartTier
        Collects the events, and holds the upstreams' clock.
    lists : ListRelay
        Applies received events, and requests lists after missed events.
    generator : random.Random
        Chooses the order of the recipients.
    """

    def __init__(
        self,
        *,
        transport: DatagramPeerTransport,
        peers: PeerDirectory,
        tier: PartTier,
        lists: ListRelay,
        generator: random.Random,
    ) -> None:
        self._transport = transport
        self._peers = peers
        self._tier = tier
        self._lists = lists
        self._broadcaster = PacedBroadcaster(
            transport, RELAY_BYTES_PER_S, generator, lambda: None
        )
        transport.subscribe(StoreWords, self._on_events)

    async def async_run(self) -> None:
        """Relay events until cancelled."""
        try:
            while True:
                await asyncio.sleep(self.interval_s())
                # Events that arrive during a send go into the next message.
                if not self._broadcaster.is_busy:
                    self._send()
        finally:
            self._broadcaster.stop()

    @callback
    def interval_s(self) -> float:
        """Return the interval between two messages of a reader, in seconds."""
        instances = len(self._peers.peers())
        readers = min(instances, RELAY_READERS * len(self._tier.stores))
        return max(
            RELAY_INTERVAL_MIN_S,
            readers / RELAY_MESSAGES_PER_S,
            instances / RELAYED_PER_S,
        )

    def _send(self) -> None:
        events_by_store = self._tier.drain_unsent()
        if not events_by_store:
            return
        this = self._peers.this_instance().instance
        addresses = [p.peer_address for p in self._peers.peers() if p.instance != this]
        message = StoreWords(
            self._transport.address, self._tier.clock_ms(), events_by_store
        )
        self._broadcaster.send(message, addresses)

    def _on_events(self, message: StoreWords) -> None:
        if message.clock_ms is not None:
            self._tier.note_clock(message.clock_ms)
        self._lists.apply(message.peer_address, message.events_by_store)

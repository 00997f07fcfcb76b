"""Passing on of what the readers of stores hear."""

import asyncio
import random

from banyanswitch.components.kv_tier.const import (
    WORD_BYTES_PER_S,
    WORD_INTERVAL_MIN_S,
    WORDS_PER_S,
)
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.kv_tier.list_relay import ListRelay
from banyanswitch.components.kv_tier.models import StoreWords
from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.components.peers.spreader import Spreader
from banyanswitch.interfaces import PeerDirectory


class EventRelay:
    """Tell the instances that do not read a store what this one has heard of it.

    Parameters
    ----------
    transport : DatagramPeerTransport
        Carries the words.
    peers : PeerDirectory
        The other instances.
    lists : ListRelay
        Takes in words, and asks for what was missed before them.
    generator : random.Random
        Chooses whom to tell first.
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
        self._spreader = Spreader(transport, WORD_BYTES_PER_S, generator, lambda: None)
        transport.subscribe(StoreWords, self._on_words)

    async def async_run(self) -> None:
        """Pass on until cancelled."""
        try:
            while True:
                count = len(self._peers.peers())
                await asyncio.sleep(max(WORD_INTERVAL_MIN_S, count / WORDS_PER_S))
                # What is heard meanwhile goes with the next word.
                if not self._spreader.is_busy:
                    self._send()
        finally:
            self._spreader.stop()

    def _send(self) -> None:
        words = self._tier.take_unsent()
        if not words:
            return
        this = self._peers.this_instance().instance
        addresses = [p.peer_address for p in self._peers.peers() if p.instance != this]
        message = StoreWords(self._transport.address, self._tier.clock_ms(), words)
        self._spreader.send(message, addresses)

    def _on_words(self, message: StoreWords) -> None:
        if message.clock_ms is not None:
            self._tier.note_clock(message.clock_ms)
        self._lists.take(message.peer_address, message.words)

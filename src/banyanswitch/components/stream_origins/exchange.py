"""Origins of streams, remembered by several instances."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Protocol

import structlog

from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.components.stream_origins.const import (
    ASK_ROUND_S,
    ASK_ROUNDS,
    ASKED,
    KEEPERS,
    MAX_STREAM_BYTES,
)
from banyanswitch.components.stream_origins.memory import OriginMemory
from banyanswitch.components.stream_origins.models import (
    OriginAnswer,
    OriginQuestion,
    StreamBegan,
)
from banyanswitch.core import callback
from banyanswitch.decisions.rendezvous import select_instances
from banyanswitch.decisions.stream_resumption import OriginSearch, StreamOrigin
from banyanswitch.exceptions import PeerError
from banyanswitch.identifiers import ServiceName
from banyanswitch.interfaces import Peer, PeerDirectory

LOGGER = structlog.get_logger(__name__)


class OriginArchive(Protocol):
    """Origins that outlast the instances."""

    def note(self, stream: bytes, origin: StreamOrigin) -> None:
        """Store the origin of a stream if it may be asked for."""

    async def async_find(self, stream: bytes) -> OriginSearch:
        """Search for the origin of a stream among the stored ones."""


@dataclass(slots=True)
class _Search:
    """Search for one origin, and the instances whose answer is missing."""

    found: asyncio.Future[OriginSearch]
    unanswered: set[str]


class OriginExchange:
    """Implementation of ``StreamOrigins`` that survives the end of an instance.

    Each origin is sent to a few other instances, which are selected by the stream, so
    that an instance which is asked to go on with it knows whom to ask. The number of
    messages doesn't grow with the number of instances. Origins are sent before the
    first event of the stream, and they are not acknowledged: `KEEPERS` copies make up
    for lost datagrams. The stored origins make up for the end of all instances.

    Parameters
    ----------
    transport : DatagramPeerTransport
        Carries the messages.
    peers : PeerDirectory
        The other instances.
    follows_upstreams : callable
        Returns whether this instance reaches the table of the upstreams.
    stored : OriginArchive
        Origins in the table service.
    """

    def __init__(
        self,
        transport: DatagramPeerTransport,
        peers: PeerDirectory,
        follows_upstreams: Callable[[], bool],
        stored: OriginArchive,
    ) -> None:
        self._stored = stored
        self._transport = transport
        self._peers = peers
        self._follows_upstreams = follows_upstreams
        self._memory = OriginMemory()
        self._searches: dict[bytes, _Search] = {}
        self._loop = asyncio.get_running_loop()
        transport.subscribe(StreamBegan, self._on_began)
        transport.subscribe(OriginQuestion, self._on_question)
        transport.subscribe(OriginAnswer, self._on_answer)

    @callback
    def note(self, stream: bytes, origin: StreamOrigin) -> None:
        """Remember an origin here and at the instances that keep it."""
        if not _is_usable(stream):
            return
        self._memory.note(stream, origin)
        self._stored.note(stream, origin)
        message = StreamBegan(stream, origin.service, origin.software_version)
        staying = (peer for peer in self._others() if not peer.is_leaving)
        for address in _selected(stream, staying, KEEPERS):
            self._send(address, message)

    async def async_find(self, stream: bytes) -> OriginSearch:
        """Search for the origin of a stream at the instances and in the store.

        Returns
        -------
        search : OriginSearch
            Not complete if an instance has not answered after `ASK_ROUNDS` times
            `ASK_ROUND_S`, if the store can't be read, or if the stream has no usable
            identifier. Without other instances, it is complete only if this one is not
            cut off.
        """
        if not _is_usable(stream):
            return OriginSearch(is_complete=False)
        known = self._memory.find(stream)
        if known is not None:
            return OriginSearch(known)
        noted = await self._async_find_noted(stream)
        if noted.origin is not None:
            return noted
        stored = await self._stored.async_find(stream)
        return OriginSearch(stored.origin, noted.is_complete and stored.is_complete)

    async def _async_find_noted(self, stream: bytes) -> OriginSearch:
        """Search for an origin that other instances have noted."""
        search = self._searches.get(stream)
        if search is not None:
            return await asyncio.shield(search.found)
        addresses = _selected(stream, self._others(), ASKED)
        if not addresses:
            return OriginSearch(is_complete=self._follows_upstreams())
        search = _Search(self._loop.create_future(), set(addresses))
        self._searches[stream] = search
        try:
            await self._async_ask(stream, search)
        finally:
            del self._searches[stream]
            if not search.found.done():
                search.found.set_result(OriginSearch(is_complete=False))
        result = search.found.result()
        if result.origin is None:
            LOGGER.info(
                "stream_origin_not_found",
                stream=stream.decode("latin-1"),
                asked=len(addresses),
                unanswered=len(search.unanswered),
            )
        return result

    async def _async_ask(self, stream: bytes, search: _Search) -> None:
        question = OriginQuestion(stream, self._transport.address)
        for _ in range(ASK_ROUNDS):
            for address in tuple(search.unanswered):
                self._send(address, question)
            await asyncio.wait((search.found,), timeout=ASK_ROUND_S)
            if search.found.done():
                return

    def _others(self) -> Iterator[Peer]:
        this = self._peers.this_instance().instance
        return (peer for peer in self._peers.peers() if peer.instance != this)

    def _send(self, address: str, message: object) -> None:
        try:
            self._transport.send(address, message)
        except PeerError as error:
            LOGGER.info("stream_origin_not_sent", peer=address, reason=str(error))

    def _on_began(self, message: StreamBegan) -> None:
        origin = StreamOrigin(ServiceName(message.service), message.software_version)
        self._memory.note(message.stream, origin)

    def _on_question(self, message: OriginQuestion) -> None:
        known = self._memory.find(message.stream)
        origin = None if known is None else (known.service, known.software_version)
        answer = OriginAnswer(message.stream, self._transport.address, origin)
        self._send(message.peer_address, answer)

    def _on_answer(self, message: OriginAnswer) -> None:
        search = self._searches.get(message.stream)
        if search is None or search.found.done():
            return
        search.unanswered.discard(message.peer_address)
        if message.origin is not None:
            service, software_version = message.origin
            origin = StreamOrigin(ServiceName(service), software_version)
            search.found.set_result(OriginSearch(origin))
        elif not search.unanswered:
            search.found.set_result(OriginSearch())


def _selected(stream: bytes, peers: Iterable[Peer], count: int) -> list[str]:
    """Return the addresses of the instances that rank first for a stream."""
    addresses: dict[str, str] = {peer.instance: peer.peer_address for peer in peers}
    chosen = select_instances(stream.decode("latin-1"), addresses, count)
    return [addresses[name] for name in chosen]


def _is_usable(stream: bytes) -> bool:
    return 0 < len(stream) <= MAX_STREAM_BYTES

"""Lookup of the load of a few upstreams at their homes."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import structlog

from banyanswitch.components.forwarding.loads import LoadTracker
from banyanswitch.components.load_homes.const import HOME_COOLDOWN_S, LOOKUP_TIMEOUT_S
from banyanswitch.components.load_homes.homes import LoadHomes
from banyanswitch.components.load_homes.keeper import LoadKeeper
from banyanswitch.components.load_homes.models import LoadAnswer, LoadQuestion
from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.components.upstream_slowness.coordinator import UpstreamSlowness
from banyanswitch.core import callback
from banyanswitch.exceptions import PeerError
from banyanswitch.identifiers import UpstreamId
from banyanswitch.interfaces import Peer, PeerDirectory

LOGGER = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Lookup:
    """Questions of one lookup, and the homes whose answer is missing."""

    is_done: asyncio.Future[None]
    unanswered: set[str]
    known: set[UpstreamId]


class LoadLookup:
    """Ask the homes of a few upstreams for their load before a request is placed.

    The figures are as old as one round trip, and the messages grow with the requests
    of this instance, not with the number of instances.

    Parameters
    ----------
    transport : DatagramPeerTransport
        Carries the messages.
    peers : PeerDirectory
        The live instances.
    homes : LoadHomes
        Home of each upstream.
    keeper : LoadKeeper
        Loads of the upstreams whose home is this instance.
    loads : LoadTracker
        Takes the loads of the other instances.
    slowness : UpstreamSlowness
        Takes the slowness that the other instances observed.
    """

    def __init__(
        self,
        *,
        transport: DatagramPeerTransport,
        peers: PeerDirectory,
        homes: LoadHomes,
        keeper: LoadKeeper,
        loads: LoadTracker,
        slowness: UpstreamSlowness,
    ) -> None:
        self._transport = transport
        self._peers = peers
        self._homes = homes
        self._keeper = keeper
        self._loads = loads
        self._slowness = slowness
        self._next_number = 0
        self._lookups: dict[int, _Lookup] = {}
        self._avoided_until_s: dict[str, float] = {}
        transport.subscribe(LoadAnswer, self._on_answer)

    def is_needed(self) -> bool:
        """Return whether loads are looked up instead of reported to all instances."""
        return self._homes.are_used()

    async def async_refresh(
        self, upstreams: Iterable[UpstreamId]
    ) -> frozenset[UpstreamId]:
        """Look up the load of some upstreams and record it.

        Returns
        -------
        known : frozenset of UpstreamId
            The upstreams whose home has answered within `LOOKUP_TIMEOUT_S`.
        """
        known: set[UpstreamId] = set()
        by_home = self._by_home(upstreams, known)
        if not by_home:
            return frozenset(known)
        self._next_number += 1
        number = self._next_number
        loop = asyncio.get_running_loop()
        lookup = _Lookup(
            loop.create_future(), {home.peer_address for home in by_home}, known
        )
        self._lookups[number] = lookup
        try:
            self._ask(number, by_home)
            await asyncio.wait((lookup.is_done,), timeout=LOOKUP_TIMEOUT_S)
        finally:
            del self._lookups[number]
        for address in lookup.unanswered:
            self._avoid(address)
        return frozenset(lookup.known)

    def _by_home(
        self, upstreams: Iterable[UpstreamId], known: set[UpstreamId]
    ) -> dict[Peer, list[UpstreamId]]:
        """Return the homes to ask; add what this instance keeps to ``known``."""
        now_s = _now_s()
        own = self._peers.this_instance().instance
        by_home: dict[Peer, list[UpstreamId]] = defaultdict(list)
        for name in upstreams:
            home = self._homes.home(name)
            if home is None:
                continue
            if home.instance == own:
                self._loads.note_others(name, self._keeper.of_others(name, own), now_s)
                known.add(name)
            elif now_s >= self._avoided_until_s.get(home.peer_address, 0.0):
                by_home[home].append(name)
        return by_home

    def _ask(self, number: int, by_home: dict[Peer, list[UpstreamId]]) -> None:
        own = self._peers.this_instance()
        for home, names in by_home.items():
            question = LoadQuestion(
                number, own.instance, self._transport.address, list(names)
            )
            try:
                self._transport.send(home.peer_address, question)
            except PeerError as error:
                LOGGER.info("load_not_asked", home=home.instance, reason=str(error))

    def _avoid(self, address: str) -> None:
        now_s = _now_s()
        self._avoided_until_s = {
            known: until_s
            for known, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[address] = now_s + HOME_COOLDOWN_S
        LOGGER.info("load_home_silent", home=address)

    @callback
    def _on_answer(self, answer: LoadAnswer) -> None:
        lookup = self._lookups.get(answer.number)
        if lookup is None or answer.peer_address not in lookup.unanswered:
            return
        now_s = _now_s()
        for name, load in answer.loads.items():
            self._loads.note_others(UpstreamId(name), load, now_s)
            lookup.known.add(UpstreamId(name))
        self._slowness.note_reports(answer.slowness, now_s)
        lookup.unanswered.discard(answer.peer_address)
        if not lookup.unanswered and not lookup.is_done.done():
            lookup.is_done.set_result(None)


def _now_s() -> float:
    return asyncio.get_running_loop().time()

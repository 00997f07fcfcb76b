"""Reports of this instance's shares to the homes of the upstreams."""

import asyncio
from collections import defaultdict

import structlog

from banyanswitch.components.forwarding.loads import LoadTracker
from banyanswitch.components.load_homes.const import (
    MAX_UPSTREAMS_PER_MESSAGE,
    SHARE_DELAY_S,
    SHARE_INTERVAL_S,
)
from banyanswitch.components.load_homes.homes import LoadHomes
from banyanswitch.components.load_homes.keeper import LoadKeeper
from banyanswitch.components.load_homes.models import ShareReport
from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.components.upstream_slowness.coordinator import UpstreamSlowness
from banyanswitch.core import callback
from banyanswitch.decisions.load_shares import NO_LOAD, Load
from banyanswitch.exceptions import PeerError
from banyanswitch.identifiers import UpstreamId
from banyanswitch.interfaces import Peer, PeerDirectory

LOGGER = structlog.get_logger(__name__)


class ShareReporter:
    """Report this instance's work in flight to the homes of its upstreams.

    A change by a long prompt is reported at once, others after `SHARE_DELAY_S`. Shares
    are reported again every `SHARE_INTERVAL_S`, and at once to new homes.

    Parameters
    ----------
    transport : DatagramPeerTransport
        Carries the reports.
    peers : PeerDirectory
        The live instances.
    homes : LoadHomes
        Home of each upstream.
    keeper : LoadKeeper
        Keeps the shares at upstreams whose home is this instance.
    loads : LoadTracker
        This instance's work in flight.
    slowness : UpstreamSlowness
        Slowness that this instance observed.
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
        self._changed: set[UpstreamId] = set()
        self._reported_to: dict[UpstreamId, str] = {}
        self._timer: asyncio.TimerHandle | None = None
        loads.on_change = self.note_change

    @callback
    def note_change(self, upstream: UpstreamId, *, is_large: bool) -> None:
        """Report a change of this instance's share, soon or at once."""
        self._changed.add(upstream)
        if is_large:
            self._report_changed()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SHARE_DELAY_S, self._report_changed)

    async def async_run(self) -> None:
        """Repeat the reports, and report to new homes, until cancelled."""
        known_peers: tuple[Peer, ...] = ()
        due_at_s = float("-inf")
        while True:
            now_s = _now_s()
            peers = self._peers.peers()
            if now_s >= due_at_s or peers is not known_peers:
                due_at_s = now_s + SHARE_INTERVAL_S
                known_peers = peers
                self._keeper.forget_expired()
                self._repeat()
            await asyncio.sleep(SHARE_INTERVAL_S / 5)

    def _repeat(self) -> None:
        """Report all shares, and once more those that have ended."""
        ended = [name for name in self._reported_to if not self._loads.has_work(name)]
        self._changed.update(self._reported_to, self._loads.upstreams_with_work())
        self._report_changed()
        for name in ended:
            self._reported_to.pop(name, None)

    def _report_changed(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        changed, self._changed = self._changed, set()
        if not self._homes.are_used():
            return
        by_home: dict[Peer, dict[str, Load]] = defaultdict(dict)
        for name in changed:
            home = self._homes.home(name)
            if home is None:
                continue
            load = self._loads.local(name)
            by_home[home][name] = load
            if load != NO_LOAD or name in self._reported_to:
                self._reported_to[name] = home.instance
        for home, loads in by_home.items():
            self._send(home, loads)

    def _send(self, home: Peer, loads: dict[str, Load]) -> None:
        own = self._peers.this_instance()
        names = list(loads)
        for start in range(0, len(names), MAX_UPSTREAMS_PER_MESSAGE):
            part = names[start : start + MAX_UPSTREAMS_PER_MESSAGE]
            slowness = self._slowness.take_unreported(_now_s(), part)
            report = ShareReport(
                own.instance, {name: loads[name] for name in part}, slowness
            )
            if home.instance == own.instance:
                self._keeper.apply(report)
                continue
            try:
                self._transport.send(home.peer_address, report)
            except PeerError as error:
                LOGGER.info("share_not_sent", home=home.instance, reason=str(error))


def _now_s() -> float:
    return asyncio.get_running_loop().time()

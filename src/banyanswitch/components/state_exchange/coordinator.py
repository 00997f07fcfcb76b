"""Sending and taking in of reports between instances."""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.components.peers.spreader import Spreader
from banyanswitch.components.state_exchange.const import (
    INTERVAL_IDLE_S,
    INTERVAL_MIN_S,
    NAMED_MEMORY_S,
    REPORTS_PER_S,
    SPREAD_BYTES_PER_S,
    URGENT_REPORTS_PER_S,
    VERSIONS_LIFETIME_S,
    WEIGHTS_MEMORY_S,
)
from banyanswitch.components.state_exchange.models import InstanceReport
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.core import callback
from banyanswitch.identifiers import UpstreamId
from banyanswitch.interfaces import PeerDirectory


@dataclass(frozen=True, slots=True)
class _Seen:
    model: str
    version: int
    seen_at_s: float


class StateExchange:
    """Tell the other instances what this one knows, and believe them.

    Parameters
    ----------
    transport : DatagramPeerTransport
        Carries the reports.
    peers : PeerDirectory
        The other instances.
    generator : random.Random
        Chooses whom to tell first.
    """

    def __init__(
        self,
        *,
        transport: DatagramPeerTransport,
        peers: PeerDirectory,
        registry: UpstreamRegistry,
        tier: PartTier,
        mirrors: Mapping[str, TableMirror],
        routing: RoutingState,
        generator: random.Random,
    ) -> None:
        self._routing = routing
        self._transport = transport
        self._peers = peers
        self._registry = registry
        self._tier = tier
        self._mirrors = mirrors
        self._versions: dict[str, tuple[float, dict[str, int]]] = {}
        self._own_loading: dict[str, int] = {}
        self._weights: dict[str, _Seen] = {}
        self._replaced: dict[str, float] = {}
        self._sent_changes = -1
        self._sent_at_s = float("-inf")
        self._urgent_at_s = float("-inf")
        self._urgent: asyncio.TimerHandle | None = None
        self._is_due = False
        self._spreader = Spreader(
            transport, SPREAD_BYTES_PER_S, generator, self._on_spread
        )
        self.on_report: Callable[[], None] = lambda: None
        transport.subscribe(InstanceReport, self._on_report)

    async def async_run(self) -> None:
        """Report until cancelled."""
        try:
            await self._async_report()
        finally:
            self._spreader.stop()

    async def _async_report(self) -> None:
        while True:
            interval_s = self.interval_s()
            wait_s = interval_s - (_now_s() - self._sent_at_s)
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
                continue
            has_changed = self._registry.loads.change_count != self._sent_changes
            idle_s = max(INTERVAL_IDLE_S, interval_s)
            if has_changed or _now_s() - self._sent_at_s >= idle_s:
                self.report_now()
            await asyncio.sleep(interval_s)

    @callback
    def interval_s(self) -> float:
        """Return the time between two reports while something changes."""
        return max(INTERVAL_MIN_S, len(self._peers.peers()) / REPORTS_PER_S)

    @callback
    def report_soon(self) -> None:
        """Tell all others at once, or as soon as their number allows.

        What all instances together send grows with the square of their number.
        """
        if self._urgent is not None:
            return
        gap_s = len(self._peers.peers()) / URGENT_REPORTS_PER_S
        due_at_s = self._urgent_at_s + gap_s
        if _now_s() >= due_at_s:
            self._report_urgently()
            return
        loop = asyncio.get_running_loop()
        self._urgent = loop.call_at(due_at_s, self._report_urgently)

    def _report_urgently(self) -> None:
        self._urgent_at_s = _now_s()
        self.report_now()

    @callback
    def report_now(self) -> None:
        """Tell all others at once, or after the report that is being sent."""
        if self._urgent is not None:
            self._urgent.cancel()
            self._urgent = None
        if self._spreader.is_busy:
            self._is_due = True
            return
        self._is_due = False
        self._sent_at_s = _now_s()
        self._sent_changes = self._registry.loads.change_count
        now_s = _now_s()
        this = self._peers.this_instance()
        report = InstanceReport(
            instance=this.instance,
            peer_address=self._transport.address,
            table_versions={
                name: mirror.content_version
                for name, mirror in self._mirrors.items()
                if mirror.is_known
            },
            loads=self._registry.loads.local_loads(),
            fetches=self._registry.loads.local_fetches(),
            loading=dict(self._own_loading),
            weights={
                name: (seen.model, seen.version)
                for name, seen in self._weights.items()
                if now_s - seen.seen_at_s <= WEIGHTS_MEMORY_S
            },
            fetch_floors=dict(self._tier.floors),
            replaced=[
                name
                for name, seen_at_s in self._replaced.items()
                if now_s - seen_at_s <= WEIGHTS_MEMORY_S
            ],
            named_ages_s={
                model: {
                    version: round(now_s - at_s, 3)
                    for version, at_s in target.named_at_s.items()
                    if now_s - at_s <= NAMED_MEMORY_S
                }
                for model, target in self._routing.targets.items()
            },
        )
        addresses = [
            peer.peer_address
            for peer in self._peers.peers()
            if peer.instance != this.instance
        ]
        self._spreader.send(report, addresses)

    @callback
    def broadcast_time_s(self) -> float:
        """Return the time until a report begun now has reached all others."""
        waiting_s = self._spreader.spread_s if self._spreader.is_busy else 0.0
        return waiting_s + self._spreader.spread_s

    def _on_spread(self) -> None:
        if self._is_due:
            self.report_now()

    @callback
    def table_versions(self, table: str) -> dict[str, int]:
        """Return the content version of a table at each other instance's address."""
        now_s = _now_s()
        return {
            address: versions[table]
            for address, (seen_at_s, versions) in self._versions.items()
            if now_s - seen_at_s <= VERSIONS_LIFETIME_S and table in versions
        }

    @callback
    def announce_replaced(self, upstream: UpstreamId) -> None:
        """Say that another upstream answered at this one's address."""
        now_s = _now_s()
        is_news = now_s - self._replaced.get(upstream, float("-inf")) > WEIGHTS_MEMORY_S
        self._replaced[upstream] = now_s
        if is_news:
            self.report_soon()

    @callback
    def announce_loading(self, upstreams: Iterable[UpstreamId], version: int) -> None:
        """Say at once that upstreams are about to load weights."""
        for upstream in upstreams:
            self.renew_loading(upstream, version)
        self.report_now()

    @callback
    def renew_loading(self, upstream: UpstreamId, version: int) -> None:
        """Take in that an upstream still loads; the next reports say so."""
        self._own_loading[upstream] = version
        self._registry.note_loading(upstream, version, _now_s())

    @callback
    def announce_weights(
        self, upstream: UpstreamId, model: str, version: int | None
    ) -> None:
        """Say that a load has ended, and with which version if it is known."""
        self._own_loading.pop(upstream, None)
        self._registry.end_loading(upstream)
        if version is not None:
            self._registry.note_weights(upstream, model, version)
            self._weights[upstream] = _Seen(model, version, _now_s())
        self.report_soon()

    @callback
    def withdraw_loading(self) -> None:
        """Say no longer who loads."""
        self._own_loading.clear()

    def _on_report(self, report: InstanceReport) -> None:
        now_s = _now_s()
        self._versions[report.peer_address] = (now_s, report.table_versions)
        self._registry.loads.note_remote(report.instance, report.loads, now_s)
        self._registry.loads.note_remote_fetches(report.instance, report.fetches, now_s)
        self._tier.note_heard()
        self.on_report()
        for name, version in report.loading.items():
            self._registry.note_loading(UpstreamId(name), version, now_s)
        for name, (model, version) in report.weights.items():
            self._registry.note_weights(UpstreamId(name), model, version)
        for name in report.replaced:
            self._registry.note_replaced(UpstreamId(name), now_s)
        for model, ages_s in report.named_ages_s.items():
            for version, age_s in ages_s.items():
                self._routing.note_named(model, version, now_s - age_s)
        for model, floor in report.fetch_floors.items():
            self._tier.note_floor(model, floor)


def _now_s() -> float:
    return asyncio.get_running_loop().time()

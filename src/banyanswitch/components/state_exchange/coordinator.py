"""Sending and receiving of reports between instances."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import msgspec
import structlog

from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.kv_tier.const import REPORT_INTERVAL_S
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.kv_tier.fetch_permit import (
    PermitReport,
    permit_lifetime_s,
)
from banyanswitch.components.load_homes.homes import LoadHomes
from banyanswitch.components.part_quarantine.coordinator import PartQuarantine
from banyanswitch.components.part_quarantine.models import EMPTY_REPORT
from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.components.peers.paced_broadcaster import PacedBroadcaster
from banyanswitch.components.state_exchange.const import (
    BROADCAST_BYTES_PER_S,
    HEARD_LIFETIME_S,
    INTERVAL_IDLE_S,
    INTERVAL_MIN_S,
    MIN_HEARD_INSTANCES,
    OBSERVATION_REPEATS,
    OBSERVATION_RETENTION_S,
    PEER_COUNT_RETENTION_S,
    REPORTS_PER_S,
    SAMPLED_INTERVAL_S,
    SAMPLED_RECIPIENTS,
    URGENT_REPORTS_PER_S,
    VERSION_AGE_RETENTION_S,
    VERSIONS_LIFETIME_S,
)
from banyanswitch.components.state_exchange.models import InstanceReport
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.upstream_links.coordinator import UpstreamLinks
from banyanswitch.core import callback
from banyanswitch.exceptions import PeerError
from banyanswitch.helpers.recent_maximum import RecentMaximum
from banyanswitch.identifiers import UpstreamId
from banyanswitch.interfaces import PeerDirectory

LOGGER = structlog.get_logger(__name__)
MILLISECONDS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class _ObservedWeights:
    """Weight version in an upstream's own report.

    Parameters
    ----------
    begun_at_s : float
        Loop time of the earliest moment at which it may have had the version.
    seen_at_s : float
        Loop time at which it was announced.
    """

    model: str
    version: int
    begun_at_s: float
    seen_at_s: float


class StateExchange:
    """Report this instance's state to the other instances, and apply their reports.

    In a large fleet, reports contain no loads (`LoadHomes`), and only reports with
    observations go to all instances. The others go to a few random ones, which repeat
    what holds for all: fetch floors, table versions and the ages of target weights.

    Parameters
    ----------
    transport : DatagramPeerTransport
        Carries the reports.
    peers : PeerDirectory
        The other instances.
    registry : UpstreamRegistry
        Loads and weight versions of the upstreams.
    tier : PartTier
        Fetch floors of stored prompt parts.
    mirrors : mapping of str to TableMirror
        Table copies by the name of their table.
    routing : RoutingState
        Target weight versions.
    quarantine : PartQuarantine
        Ends of upstreams, and withheld prompt parts.
    links : UpstreamLinks
        Links to the upstreams.
    homes : LoadHomes
        Tells whether loads are kept by the upstreams' homes.
    request_address : str
        Address at which this instance takes requests that others pass on.
    generator : random.Random
        Chooses the order of the recipients.

    Attributes
    ----------
    on_report : callable
        Called for each received report with loads, after they have been applied.
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
        quarantine: PartQuarantine,
        links: UpstreamLinks,
        homes: LoadHomes,
        request_address: str,
        generator: random.Random,
    ) -> None:
        self._homes = homes
        self._random = generator
        self._routing = routing
        self._quarantine = quarantine
        self._links = links
        self._request_address = request_address
        self._transport = transport
        self._peers = peers
        self._registry = registry
        self._tier = tier
        self._mirrors = mirrors
        self._table_versions: dict[str, tuple[float, dict[str, int]]] = {}
        self._local_loading: dict[str, int] = {}
        self._observed_weights: dict[str, _ObservedWeights] = {}
        self._replaced: dict[str, float] = {}
        self._peer_count = RecentMaximum(PEER_COUNT_RETENTION_S)
        self._sent_change_count = -1
        self._sent_at_s = float("-inf")
        self._urgent_at_s = float("-inf")
        self._urgent_timer: asyncio.TimerHandle | None = None
        self._is_report_queued = False
        self._broadcaster = PacedBroadcaster(
            transport, BROADCAST_BYTES_PER_S, generator, self._on_sent
        )
        self.on_report: Callable[[], None] = lambda: None
        transport.subscribe(InstanceReport, self._on_report)

    async def async_run(self) -> None:
        """Send reports until cancelled."""
        try:
            await self._async_report()
        finally:
            self._broadcaster.stop()

    async def _async_report(self) -> None:
        while True:
            if self._homes.are_used():
                await asyncio.sleep(SAMPLED_INTERVAL_S * self._random.uniform(0.8, 1.2))
                self._report_sampled()
                continue
            interval_s = self.interval_s()
            wait_s = interval_s - (_now_s() - self._sent_at_s)
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
                continue
            has_changed = self._registry.loads.change_count != self._sent_change_count
            idle_s = max(INTERVAL_IDLE_S, interval_s)
            if has_changed or _now_s() - self._sent_at_s >= idle_s:
                self.report_now()
            await asyncio.sleep(interval_s)

    def _report_sampled(self) -> None:
        """Report to all instances if there is something new, else to a few."""
        report = self._make_report()
        is_due = _now_s() - self._sent_at_s >= self.interval_s()
        if is_due and _has_observations(report):
            self.report_now()
            return
        addresses = self._other_addresses()
        count = min(SAMPLED_RECIPIENTS, len(addresses))
        for address in self._random.sample(addresses, count):
            try:
                self._transport.send(address, report)
            except PeerError as error:
                LOGGER.info("report_not_sent", peer=address, reason=str(error))

    @callback
    def interval_s(self) -> float:
        """Return the interval between two reports to all instances, in seconds."""
        return max(INTERVAL_MIN_S, len(self._peers.peers()) / REPORTS_PER_S)

    @callback
    def excess_interval_s(self) -> float:
        """Return by how much the interval exceeds `REPORT_INTERVAL_S`, in seconds."""
        return max(0.0, self.interval_s() - REPORT_INTERVAL_S)

    @callback
    def report_soon(self) -> None:
        """Send a report at once, or as soon as the limit of urgent reports allows.

        The number of reports between all instances grows with the square of the number
        of instances, so the minimum gap grows with that number.
        """
        if self._urgent_timer is not None:
            return
        min_gap_s = len(self._peers.peers()) / URGENT_REPORTS_PER_S
        due_at_s = self._urgent_at_s + min_gap_s
        if _now_s() >= due_at_s:
            self._report_urgently()
            return
        loop = asyncio.get_running_loop()
        self._urgent_timer = loop.call_at(due_at_s, self._report_urgently)

    def _report_urgently(self) -> None:
        self._urgent_at_s = _now_s()
        self.report_now()

    @callback
    def report_now(self) -> None:
        """Send a report at once, or after the one that is being sent."""
        if self._urgent_timer is not None:
            self._urgent_timer.cancel()
            self._urgent_timer = None
        if self._broadcaster.is_busy:
            self._is_report_queued = True
            return
        self._is_report_queued = False
        self._sent_at_s = _now_s()
        self._sent_change_count = self._registry.loads.change_count
        # The last recipient gets the report, and the permit in it, after this time.
        report = self._make_report(delay_s=self._broadcaster.broadcast_time_s)
        self._broadcaster.send(report, self._other_addresses())

    def _other_addresses(self) -> list[str]:
        own = self._peers.this_instance().instance
        return [p.peer_address for p in self._peers.peers() if p.instance != own]

    def _make_report(self, delay_s: float = 0.0) -> InstanceReport:
        now_s = _now_s()
        self._peer_count.note(len(self._peers.peers()), now_s)
        this = self._peers.this_instance()
        loads = self._registry.loads
        observed_weights = {
            name: observed
            for name, observed in self._observed_weights.items()
            if now_s - observed.seen_at_s <= OBSERVATION_RETENTION_S
        }
        return InstanceReport(
            instance=this.instance,
            peer_address=self._transport.address,
            table_versions={
                name: mirror.content_version
                for name, mirror in self._mirrors.items()
                if mirror.is_loaded
            },
            loads={} if self._homes.are_used() else loads.local_loads(),
            fetches=loads.local_fetches(),
            loading=dict(self._local_loading),
            weights={
                name: (observed.model, observed.version)
                for name, observed in observed_weights.items()
            },
            fetch_floors=dict(self._tier.floors),
            replaced=[
                name
                for name, seen_at_s in self._replaced.items()
                if now_s - seen_at_s <= OBSERVATION_RETENTION_S
            ],
            target_ages_s={
                model: {
                    version: _reported_age_s(now_s - at_s)
                    for version, at_s in target.target_since_s.items()
                    if now_s - at_s <= VERSION_AGE_RETENTION_S
                }
                for model, target in self._routing.targets.items()
            },
            quarantine=self._quarantine.report(self._retention_s()),
            limits=self._registry.limits.report(self._retention_s()),
            request_address=self._request_address,
            unreached=list(self._links.report()),
            permit=self._reported_permit(now_s, delay_s),
            slowness={}
            if self._homes.are_used()
            else self._registry.slowness.take_unreported(now_s),
            weight_ages_s={
                name: now_s - observed.begun_at_s + delay_s
                for name, observed in observed_weights.items()
            },
        )

    def _reported_permit(self, now_s: float, delay_s: float) -> PermitReport | None:
        lifetime_s = permit_lifetime_s(self.excess_interval_s())
        permit = self._tier.permit.report(now_s, lifetime_s)
        if permit is None or permit.left_s <= delay_s:
            return None
        return msgspec.structs.replace(permit, left_s=permit.left_s - delay_s)

    def _retention_s(self) -> float:
        """Return the time for which reports repeat what was seen once, in seconds."""
        return max(OBSERVATION_RETENTION_S, OBSERVATION_REPEATS * self.interval_s())

    @callback
    def broadcast_time_s(self) -> float:
        """Return the time until a report sent now reaches all others, in seconds."""
        waiting_s = (
            self._broadcaster.broadcast_time_s if self._broadcaster.is_busy else 0.0
        )
        return waiting_s + self._broadcaster.broadcast_time_s

    def _on_sent(self) -> None:
        if self._is_report_queued:
            self.report_now()

    @callback
    def table_versions(self, table: str) -> dict[str, int]:
        """Return a table's content version by the address of each other instance."""
        now_s = _now_s()
        return {
            address: versions[table]
            for address, (seen_at_s, versions) in self._table_versions.items()
            if now_s - seen_at_s <= VERSIONS_LIFETIME_S and table in versions
        }

    @callback
    def hears_most(self) -> bool:
        """Return whether most instances have just reported to this one.

        Instances that have ended count for `PEER_COUNT_RETENTION_S`, since those that
        are cut off can't be told from them. In a large fleet, the senders of
        `MIN_HEARD_INSTANCES` reports are random ones, so they are no small group.
        """
        now_s = _now_s()
        window_s = VERSIONS_LIFETIME_S if self._homes.are_used() else HEARD_LIFETIME_S
        heard = sum(
            now_s - seen_at_s <= window_s
            for seen_at_s, _ in self._table_versions.values()
        )
        count = self._peer_count.note(len(self._peers.peers()), now_s)
        return heard + 1 > count / 2 or heard >= MIN_HEARD_INSTANCES

    @callback
    def announce_replaced(self, upstream: UpstreamId) -> None:
        """Report an upstream at whose address another upstream responded."""
        now_s = _now_s()
        is_new = (
            now_s - self._replaced.get(upstream, float("-inf"))
            > OBSERVATION_RETENTION_S
        )
        self._replaced[upstream] = now_s
        if is_new:
            self.report_soon()

    @callback
    def announce_loading(self, upstreams: Iterable[UpstreamId], version: int) -> None:
        """Report at once that upstreams are about to load weights."""
        for upstream in upstreams:
            self.renew_loading(upstream, version)
        self.report_now()

    @callback
    def renew_loading(self, upstream: UpstreamId, version: int) -> None:
        """Record that an upstream is still loading; the next reports include it."""
        self._local_loading[upstream] = version
        self._registry.note_loading(upstream, version, _now_s())

    @callback
    def announce_weights(
        self, upstream: UpstreamId, model: str, version: int, begun_at_s: float
    ) -> None:
        """Report that a load has ended, with the weight version.

        Parameters
        ----------
        begun_at_s : float
            Loop time of the earliest moment at which the upstream may have had it.
        """
        self._registry.note_weights(upstream, model, version, begun_at_s=begun_at_s)
        self.announce_observed(upstream, model, version, begun_at_s)
        self.end_loading(upstream)

    @callback
    def announce_observed(
        self, upstream: UpstreamId, model: str, version: int, begun_at_s: float
    ) -> None:
        """Report the weight version that this instance has seen at an upstream.

        Parameters
        ----------
        begun_at_s : float
            Loop time of the earliest moment at which the upstream may have had it.
        """
        self._observed_weights[upstream] = _ObservedWeights(
            model, version, begun_at_s, _now_s()
        )
        self.report_soon()

    @callback
    def end_loading(self, upstream: UpstreamId) -> None:
        """Report that a load has ended or failed."""
        self._local_loading.pop(upstream, None)
        self._registry.end_loading(upstream)
        self.report_soon()

    @callback
    def withdraw_loading(self) -> None:
        """Stop reporting upstreams as loading."""
        self._local_loading.clear()

    def _on_report(self, report: InstanceReport) -> None:
        now_s = _now_s()
        self._table_versions[report.peer_address] = (now_s, report.table_versions)
        self._registry.loads.note_remote(report.instance, report.loads, now_s)
        self._registry.loads.note_remote_fetches(report.instance, report.fetches, now_s)
        if report.loads:
            self.on_report()
        for name, version in report.loading.items():
            self._registry.note_loading(UpstreamId(name), version, now_s)
        for name, (model, version) in report.weights.items():
            age_s = report.weight_ages_s.get(name, math.inf)
            self._registry.note_weights(
                UpstreamId(name), model, version, begun_at_s=now_s - age_s
            )
        for name in report.replaced:
            self._registry.note_replaced(UpstreamId(name), now_s)
        for model, ages_s in report.target_ages_s.items():
            for version, age_s in ages_s.items():
                self._routing.note_target_time(model, version, now_s - age_s)
        for model, floor in report.fetch_floors.items():
            self._tier.note_floor(model, floor)
        if report.permit is not None:
            self._tier.permit.note(report.permit, now_s)
        self._quarantine.apply(report.quarantine)
        self._registry.limits.apply(report.limits)
        self._registry.slowness.note_reports(report.slowness, now_s)
        self._links.peers.note_report(
            report.instance, report.request_address, report.unreached
        )


def _has_observations(report: InstanceReport) -> bool:
    """Return whether a report contains what only its sender has seen."""
    return bool(
        report.loading
        or report.weights
        or report.replaced
        or report.limits
        or report.unreached
        or report.quarantine != EMPTY_REPORT
    )


def _reported_age_s(age_s: float) -> float:
    """Round an age down to milliseconds.

    The earliest known time of a version applies, so an age that was rounded up would
    make it earlier with each report.
    """
    return math.floor(age_s * MILLISECONDS_PER_S) / MILLISECONDS_PER_S


def _now_s() -> float:
    return asyncio.get_running_loop().time()

"""Composition root of the forwarding process on the users' platform."""

import asyncio
import random
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any, Final

import structlog

from banyanswitch.components.discovery.const import ADDRESS_TTL_S
from banyanswitch.components.discovery.coordinator import DiscoveryEndpoint
from banyanswitch.components.discovery.graceful_shutdown import GracefulShutdown
from banyanswitch.components.forwarding.forwarder import Forwarder, RetryBudget
from banyanswitch.components.forwarding.loads import LoadTracker
from banyanswitch.components.forwarding.metrics import ForwardingMetrics
from banyanswitch.components.forwarding.placement import Placement
from banyanswitch.components.forwarding.request_costs import RequestCosts
from banyanswitch.components.forwarding.response_notes import ResponseNotes
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.settings import (
    ForwardingSettings,
    host_and_port,
)
from banyanswitch.components.forwarding.start_limits import StartLimits
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.forwarding.wait_queue import WaitQueue
from banyanswitch.components.http1.caller_server import CallerServer
from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.const import (
    MAX_TABLE_BODY_BYTES,
    SWEEP_INTERVAL_S,
)
from banyanswitch.components.http1.memory_guard import MemoryGuard
from banyanswitch.components.http1.models import (
    ConnectionLimits,
    Header,
    Headers,
    Request,
)
from banyanswitch.components.http1.reply import Reply
from banyanswitch.components.kv_tier.cleaner import StoreCleaner
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.kv_tier.event_relay import EventRelay
from banyanswitch.components.kv_tier.list_relay import LIST_PATH, ListRelay
from banyanswitch.components.lease.coordinator import LeaseCoordinator
from banyanswitch.components.load_homes.homes import LoadHomes
from banyanswitch.components.load_homes.keeper import LoadKeeper
from banyanswitch.components.load_homes.lookup import LoadLookup
from banyanswitch.components.load_homes.share_reporter import ShareReporter
from banyanswitch.components.membership.coordinator import MembershipCoordinator
from banyanswitch.components.membership.models import Member, MemberState
from banyanswitch.components.part_quarantine.coordinator import PartQuarantine
from banyanswitch.components.part_quarantine.row_store import QuarantineStore
from banyanswitch.components.peer_forwarding.client import PeerForwarder
from banyanswitch.components.peer_forwarding.const import MAX_EXTRA_HEADER_BYTES
from banyanswitch.components.peer_forwarding.endpoint import PeerRequestEndpoint
from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.state_exchange.coordinator import StateExchange
from banyanswitch.components.stream_origins.exchange import OriginExchange
from banyanswitch.components.stream_origins.origin_store import OriginStore
from banyanswitch.components.stream_origins.software_versions import SoftwareVersions
from banyanswitch.components.stream_origins.upstream_confirmation import (
    UpstreamConfirmation,
)
from banyanswitch.components.stream_origins.version_checkpoint import VersionCheckpoint
from banyanswitch.components.stream_origins.version_store import SoftwareVersionStore
from banyanswitch.components.table_mirror.feed_calls import FeedCalls
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.table_mirror.relay import TableRelay
from banyanswitch.components.table_mirror.relayed_feed import RelayedFeed
from banyanswitch.components.table_mirror.return_watch import ReturnWatch
from banyanswitch.components.upstream_limits.cold_upstreams import ColdUpstreams
from banyanswitch.components.upstream_limits.coordinator import UpstreamLimits
from banyanswitch.components.upstream_links.coordinator import UpstreamLinks
from banyanswitch.components.upstream_links.peer_links import PeerLinkTable
from banyanswitch.components.upstream_notices.coordinator import UpstreamNotices
from banyanswitch.components.upstream_slowness.coordinator import UpstreamSlowness
from banyanswitch.components.weight_rollout.const import (
    DUTY,
    LEASE_S,
    RELEASE_DELAY_S,
)
from banyanswitch.components.weight_rollout.coordinator import WeightRollout
from banyanswitch.components.weight_rollout.order_lease import OrderLease
from banyanswitch.components.weight_rollout.target_time_store import TargetTimeStore
from banyanswitch.core import callback
from banyanswitch.decisions.cost_model import CostModel
from banyanswitch.decisions.ejection import EjectionPolicy, Ejector
from banyanswitch.decisions.memory_account import MemoryPolicy
from banyanswitch.decisions.upstream_limits import ColdPolicy
from banyanswitch.decisions.weight_age import WeightAgePolicy
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.helpers.supervision import TaskFunction, start_supervised
from banyanswitch.helpers.suspension import (
    SuspensionWatch,
    SystemSuspensionClock,
)
from banyanswitch.helpers.wall_clock import SystemWallClock
from banyanswitch.identifiers import FailureDomainId, InstanceId
from banyanswitch.platform.const import (
    KEY_CONFIGURATION,
    TABLE_OPERATOR,
    TABLE_UPSTREAMS,
)
from banyanswitch.platform.discovery import PlatformDiscoveryCodec
from banyanswitch.platform.documents import RowDecoder
from banyanswitch.platform.engines import PlatformEngines
from banyanswitch.platform.headers import HeaderTranslator
from banyanswitch.platform.tables import PlatformTables

LOGGER = structlog.get_logger(__name__)

STORE_TIMEOUT_S: Final = 1.0
"""Timeout of a call to the store, which answers within 30 ms."""

HEARTBEAT_S: Final = 0.25
"""Interval of membership probes; 8 instances detect a failed one in about 2 s."""

INTERNAL_KEY: Final = b"banyanswitch-internal"
"""Key that signs messages between instances, so that stray datagrams are dropped. It
is no secret: the platform provides none to instances and keeps their internal ports
private."""

EJECTION: Final = EjectionPolicy(failures=3, base_s=1.0, max_s=8.0, ramp_s=2.0)
"""Ejections are short, since the platform replaces an upstream within seconds."""

PRESSURE_RETRY_AFTER_S: Final = 1.0
"""Retry time of requests refused under memory pressure: two checks of the guard."""

RESERVED_DESCRIPTORS: Final = 200
"""Descriptors that the platform reserves for files."""

CALLER_SHARE: Final = 1 / 2
PEER_REQUEST_SHARE: Final = 1 / 8
OTHER_LISTENER_SHARE: Final = 1 / 16
"""Shares of the other descriptors that callers, instances that pass on requests, and
each of the three other listeners may use. The rest, 3/16, is for connections to
upstreams, the store and other instances: 250 on the smallest machine."""

MIN_CONNECTIONS: Final = 8

METRICS_PATH: Final = b"/metrics"
MILLISECONDS_PER_S: Final = 1000.0


@dataclass(frozen=True, slots=True)
class ForwardingProcess:
    """Running components that the command line controls."""

    shutdown: GracefulShutdown
    metrics: ForwardingMetrics
    tasks: tuple[asyncio.Task[Any], ...]
    transport: DatagramPeerTransport
    leases: LeaseCoordinator
    lease_task: asyncio.Task[Any]
    membership: MembershipCoordinator

    @callback
    def apply(self, settings: ForwardingSettings) -> None:
        """Apply new seeds and a new grace period while the process runs."""
        self.membership.set_seeds(settings.peer_seeds)
        self.shutdown.grace_s = settings.grace_s

    async def async_release_leases(self) -> None:
        """Release the leases ``RELEASE_DELAY_S`` after a stop has been requested.

        This instance sends no orders from the stop request on. The delay ensures that
        the next holder starts as long after the last order as it would after an expired
        lease.
        """
        await self.shutdown.requested.wait()
        await asyncio.sleep(RELEASE_DELAY_S)
        self.lease_task.cancel()
        await asyncio.gather(self.lease_task, return_exceptions=True)
        await self.leases.async_release_all()

    async def async_shut_down(self) -> None:
        """Cancel the tasks, announce the departure and close the peer transport.

        The lease task must have ended before, by ``async_release_leases``.
        """
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.membership.async_announce_departure()
        await self.transport.async_stop()


async def async_compose_forwarding(settings: ForwardingSettings) -> ForwardingProcess:
    """Create and start all components of a forwarding process."""
    return await _Wiring(settings).async_start()


class _Wiring:
    """Creates the components of one process and passes them to each other."""

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._random = random.Random()
        self._incarnation = int(SystemWallClock().now_unix_s() * MILLISECONDS_PER_S)
        self._make_clients()
        self._make_membership()
        self._make_state()
        self._make_links()
        self._make_load_homes()
        self._make_exchange()
        self._make_serving()
        self._make_duties()

    async def async_start(self) -> ForwardingProcess:
        """Open the listeners and start all tasks."""
        settings = self._settings
        await self._transport.async_start()
        await self._server.async_start(*host_and_port(settings.caller_address))
        await self._directory.async_start(*host_and_port(settings.directory_address))
        await self._readiness.async_start(*host_and_port(settings.readiness_address))
        await self._internal.async_start(settings.host, settings.peer_port)
        await self._request_server.async_start(settings.host, settings.request_port)
        functions: dict[str, TaskFunction] = {
            "membership": self._membership.async_run,
            "operator_table": self._mirrors[TABLE_OPERATOR].async_run,
            "upstream_table": self._mirrors[TABLE_UPSTREAMS].async_run,
            "exchange": self._exchange.async_run,
            "shares": self._share_reporter.async_run,
            "words": self._event_relay.async_run,
            "relay": self._relay.async_run,
            "named_times": self._target_time_store.async_run,
            "software_versions": self._version_store.async_run,
            "stream_origins": self._origin_store.async_run,
            "quarantine": self._quarantine_store.async_run,
            "links": self._links.async_run,
            "rollout": self._rollout.async_run,
            "cleaner": self._cleaner.async_run,
            "housekeeping": self._async_housekeep,
            "sweep": self._server.async_sweep,
            "sweep_requests": self._request_server.async_sweep,
            "sweep_directory": self._directory.async_sweep,
            "sweep_readiness": self._readiness.async_sweep,
            "sweep_internal": self._internal.async_sweep,
        }
        tasks = tuple(
            start_supervised(name, run, self._metrics.count_task_failure)
            for name, run in functions.items()
        )
        LOGGER.info(
            "started", instance=settings.instance, incarnation=self._incarnation
        )
        return ForwardingProcess(
            shutdown=self._shutdown,
            metrics=self._metrics,
            tasks=tasks,
            transport=self._transport,
            leases=self._leases,
            lease_task=start_supervised(
                "leases", self._leases.async_run, self._metrics.count_task_failure
            ),
            membership=self._membership,
        )

    def _make_clients(self) -> None:
        self._store_client = HttpClient(
            ConnectionPool(), max_body_bytes=MAX_TABLE_BODY_BYTES
        )
        self._engine_client = HttpClient(ConnectionPool())
        self._peer_client = HttpClient(
            ConnectionPool(), max_body_bytes=MAX_TABLE_BODY_BYTES
        )
        self._pool = ConnectionPool()
        self._peer_pool = ConnectionPool()
        self._tables = PlatformTables(
            self._store_client,
            self._settings.store_address,
            STORE_TIMEOUT_S,
            SystemSuspensionClock(),
        )
        self._engines = PlatformEngines(self._engine_client)

    def _make_state(self) -> None:
        self._decoder = RowDecoder()
        feed = RelayedFeed(self._tables, self._readers, self._peer_client, self._random)
        calls = FeedCalls()
        feed.on_failure = calls.note_failure
        self._mirrors = {
            name: TableMirror(name, feed, self._random, calls)
            for name in (TABLE_OPERATOR, TABLE_UPSTREAMS)
        }
        self._routing = RoutingState(
            self._mirrors[TABLE_OPERATOR], self._decoder, KEY_CONFIGURATION
        )
        self._return_watch = ReturnWatch(self._mirrors[TABLE_OPERATOR])
        self._routing.is_current = self._return_watch.is_current
        self._loads = LoadTracker()
        self._slowness = UpstreamSlowness()
        self._registry = UpstreamRegistry(
            self._mirrors[TABLE_UPSTREAMS],
            self._decoder,
            self._loads,
            Ejector(EJECTION, self._random),
            UpstreamLimits(
                self._membership,
                self._readers,
                cold=ColdUpstreams(
                    ColdPolicy(self._settings.cold_over, self._settings.cold_slack),
                    self._routing.service,
                ),
                named_instances=lambda: self._membership.seeds,
            ),
            notices=UpstreamNotices(),
            slowness=self._slowness,
        )
        self._engines.on_notice = self._registry.note_notice_at
        self._routing.on_returned = self._registry.note_returned
        self._watch = SuspensionWatch(SystemSuspensionClock())
        self._tier = PartTier(
            self._engines,
            lambda model: _target_version(self._routing, model),
            self._watch,
            self._loads,
            self._readers,
        )
        targets = self._mirrors[TABLE_OPERATOR]
        self._tier.targets_confirmed_at_s = lambda: targets.last_contact_s
        self._lists = ListRelay(
            self._tier, self._peer_client, self._membership, self._random
        )

    def _make_membership(self) -> None:
        settings = self._settings
        self._transport = DatagramPeerTransport(
            instance=InstanceId(settings.instance),
            incarnation=self._incarnation,
            host=settings.host,
            port=settings.peer_port,
            keys=SigningKeys(INTERNAL_KEY, None),
        )
        self._membership = MembershipCoordinator(
            transport=self._transport,
            this_member=_this_member(settings, self._transport),
            seeds=settings.peer_seeds,
            heartbeat_s=HEARTBEAT_S,
            generator=self._random,
            on_change=lambda: LOGGER.info(
                "instances_changed", live=len(self._membership.peers())
            ),
            on_new_incarnation=self._transport.raise_incarnation,
        )
        self._readers = ReaderAssignment(self._membership)

    def _make_links(self) -> None:
        self._links = UpstreamLinks(
            self._registry,
            self._pool,
            PeerLinkTable(self._membership, self._random),
        )
        self._links.is_evacuated = lambda domain: domain in self._routing.evacuated

    def _make_load_homes(self) -> None:
        self._homes = LoadHomes(self._membership, self._readers)
        keeper = LoadKeeper(self._transport, self._slowness)
        self._share_reporter = ShareReporter(
            transport=self._transport,
            peers=self._membership,
            homes=self._homes,
            keeper=keeper,
            loads=self._loads,
            slowness=self._slowness,
        )
        self._load_lookup = LoadLookup(
            transport=self._transport,
            peers=self._membership,
            homes=self._homes,
            keeper=keeper,
            loads=self._loads,
            slowness=self._slowness,
        )

    def _make_exchange(self) -> None:
        settings = self._settings
        self._quarantine = PartQuarantine(self._membership)
        self._quarantine_store = QuarantineStore(
            quarantine=self._quarantine,
            table=self._tables,
            eras=self._tables,
            peers=self._membership,
            generator=self._random,
        )
        self._exchange = StateExchange(
            transport=self._transport,
            peers=self._membership,
            registry=self._registry,
            tier=self._tier,
            mirrors=self._mirrors,
            routing=self._routing,
            quarantine=self._quarantine,
            links=self._links,
            homes=self._homes,
            request_address=f"{settings.host}:{settings.request_port}",
            generator=self._random,
        )
        self._tier.hears_most = self._exchange.hears_most
        self._links.on_change = self._exchange.report_soon
        self._quarantine.on_evidence = self._exchange.report_soon
        self._registry.limits.on_change = self._exchange.report_soon
        self._event_relay = EventRelay(
            transport=self._transport,
            peers=self._membership,
            tier=self._tier,
            lists=self._lists,
            generator=self._random,
        )
        self._wait_queue = WaitQueue()
        self._loads.on_large_prefill_change = self._on_large_prefill_change
        self._exchange.on_report = self._wait_queue.notify
        self._relay = TableRelay(
            self._mirrors, self._exchange, self._peer_client, self._random
        )

    def _make_serving(self) -> None:
        settings = self._settings
        confirmation = UpstreamConfirmation(
            self._mirrors[TABLE_UPSTREAMS], self._tables, self._instance_count
        )
        self._version_store = SoftwareVersionStore(
            table=self._tables,
            registry=self._registry,
            routing=self._routing,
            peers=self._membership,
            generator=self._random,
            eras=self._tables,
            confirmation=confirmation,
            checkpoint=VersionCheckpoint(
                table=self._tables,
                history=self._tables,
                mirror=self._mirrors[TABLE_UPSTREAMS],
                decoder=self._decoder,
            ),
        )
        self._version_store.on_continued = self._return_watch.confirm
        versions = SoftwareVersions(
            self._registry, self._version_store, self._routing, confirmation
        )
        self._origin_store = OriginStore(
            table=self._tables,
            row=f"{settings.instance}/{self._incarnation}",
            versions=versions,
            peers=self._membership,
            generator=self._random,
            eras=self._tables,
        )
        self._metrics = ForwardingMetrics()
        loop = asyncio.get_running_loop()
        self._metrics.show_gauge(
            "banyanswitch_cold_upstreams",
            "Upstreams that are cold",
            lambda: self._registry.limits.cold.count(loop.time()),
        )
        self._metrics.show_gauge(
            "banyanswitch_evacuated_failure_domains",
            "Failure domains to whose upstreams nothing is sent",
            lambda: len(self._routing.evacuated),
        )
        self._guard = MemoryGuard(
            MemoryPolicy(limit_bytes=settings.client_memory_bytes),
            _refusal_headers,
            self._metrics,
        )
        start_limits = StartLimits(
            self._routing, WeightAgePolicy(deadline_s=settings.weights_deadline_s)
        )
        costs = RequestCosts(CostModel(), self._slowness, self._metrics)
        placement = Placement(
            routing=self._routing,
            registry=self._registry,
            tier=self._tier,
            pool=self._pool,
            failure_domain=FailureDomainId(settings.failure_domain),
            start_limits=start_limits,
            instance_count=self._instance_count,
            links=self._links,
            costs=costs,
            generator=self._random,
        )
        translator = HeaderTranslator()
        notes = ResponseNotes(translator, self._registry)
        notes.on_fallen = self._exchange.announce_observed
        keys = SigningKeys(INTERNAL_KEY, None)
        self._shutdown = GracefulShutdown(
            settings.grace_s, [self._membership.begin_leaving]
        )
        forwarder = Forwarder(
            translator=translator,
            notes=notes,
            routing=self._routing,
            placement=placement,
            registry=self._registry,
            start_limits=start_limits,
            pool=self._pool,
            metrics=self._metrics,
            retry_budget=RetryBudget(
                ratio=settings.retry_ratio,
                slack=settings.retry_slack,
                window_s=settings.retry_window_s,
            ),
            instance_count=self._instance_count,
            admission=self._shutdown,
            generator=self._random,
            wait_queue=self._wait_queue,
            origins=OriginExchange(
                self._transport,
                self._membership,
                self._registry.is_followed,
                self._origin_store,
            ),
            versions=versions,
            parts=self._quarantine,
            links=self._links,
            costs=costs,
            peer_forwarder=PeerForwarder(
                instance=InstanceId(settings.instance),
                translator=translator,
                peers=self._links.peers,
                pool=self._peer_pool,
                keys=keys,
                notes=notes,
            ),
            load_source=self._load_lookup,
            on_replaced=self._exchange.announce_replaced,
        )
        self._server = CallerServer(
            forwarder.async_handle,
            lambda: self._routing.limits,
            self._guard,
            self._connection_limit(CALLER_SHARE),
        )
        self._request_server = CallerServer(
            PeerRequestEndpoint(forwarder, keys).async_handle,
            self._peer_request_limits,
            self._guard,
            self._connection_limit(PEER_REQUEST_SHARE),
        )
        for server in (self._server, self._request_server):
            self._shutdown.add_server(server)
        discovery = DiscoveryEndpoint(
            codec=PlatformDiscoveryCodec(),
            peers=self._membership,
            is_ready=lambda: not self._membership.this_instance().is_leaving,
            ttl_s=min(ADDRESS_TTL_S, settings.address_ttl_s),
        )
        self._directory, self._readiness, self._internal = (
            CallerServer(
                handler,
                guard=self._guard,
                max_connections=self._connection_limit(OTHER_LISTENER_SHARE),
            )
            for handler in (
                discovery.async_handle,
                discovery.async_handle,
                self._async_answer_internal,
            )
        )

    def _make_duties(self) -> None:
        settings = self._settings
        self._leases = LeaseCoordinator(
            table=self._tables,
            peers=self._membership,
            holder=f"{settings.instance}/{self._incarnation}",
            lease_s=LEASE_S,
            generator=self._random,
            clock=self._tables,
            eras=self._tables,
        )
        self._leases.campaign(DUTY)
        order_lease = OrderLease(
            self._leases,
            settings.lease_s,
            self._watch,
            lambda: self._shutdown.is_leaving,
        )
        self._tier.permit.issuing_token = order_lease.taken_over_token
        self._target_time_store = TargetTimeStore(
            table=self._tables,
            clock=self._tables,
            eras=self._tables,
            routing=self._routing,
            order_lease=order_lease,
            peers=self._membership,
            generator=self._random,
        )
        self._rollout = WeightRollout(
            order_lease=order_lease,
            routing=self._routing,
            registry=self._registry,
            links=self._links,
            engines=self._engines,
            exchange=self._exchange,
            holder=settings.instance,
        )
        self._cleaner = StoreCleaner(
            order_lease=order_lease,
            routing=self._routing,
            registry=self._registry,
            tier=self._tier,
            stores=self._engines,
            exchange=self._exchange,
        )

    @callback
    def _on_large_prefill_change(self) -> None:
        if not self._homes.are_used():
            self._exchange.report_soon()
        self._wait_queue.notify()

    @callback
    def _peer_request_limits(self) -> ConnectionLimits:
        limits = self._routing.limits
        size_bytes = limits.max_header_bytes + MAX_EXTRA_HEADER_BYTES
        return replace(limits, max_header_bytes=size_bytes)

    @callback
    def _connection_limit(self, share: float) -> int:
        usable = self._settings.max_descriptors - RESERVED_DESCRIPTORS
        return max(MIN_CONNECTIONS, int(usable * share))

    @callback
    def _instance_count(self) -> int:
        return max(1, len(self._membership.peers()))

    async def _async_housekeep(self) -> None:
        loop = asyncio.get_running_loop()
        clients = (
            self._store_client,
            self._engine_client,
            self._peer_client,
            self._pool,
            self._peer_pool,
        )
        configured_version = -1
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._registry.remove_expired(loop.time())
            self._registry.confirm_entries(loop.time())
            self._loads.forget_expired(loop.time())
            self._slowness.forget_expired(loop.time())
            self._guard.check()
            for client in clients:
                client.sweep(loop.time())
            configuration = self._routing.configuration
            if configuration and configuration.version != configured_version:
                configured_version = configuration.version
                self._tier.set_stores(configuration.stores)
                self._membership.accept_callers()

    async def _async_answer_internal(self, request: Request, reply: Reply) -> None:
        if request.path == METRICS_PATH:
            reply.send(HTTPStatus.OK, (), self._metrics.render())
            return
        if request.path.startswith(LIST_PATH.encode()):
            await self._lists.async_answer(request, reply)
            return
        await self._relay.async_answer(request, reply)


def _refusal_headers(headers: Headers) -> list[Header]:
    """Return the headers of a refusal under pressure, given those of the request."""
    translator = HeaderTranslator()
    request = Request(b"", b"", headers, b"", 0.0)
    metadata = translator.read_request_metadata(request)
    return translator.generated_headers(metadata, PRESSURE_RETRY_AFTER_S)


def _target_version(routing: RoutingState, model: str) -> int | None:
    target = routing.targets.get(model)
    return target.version if target is not None else None


def _this_member(
    settings: ForwardingSettings, transport: DatagramPeerTransport
) -> Member:
    return Member(
        instance=settings.instance,
        failure_domain=settings.failure_domain,
        peer_address=transport.address,
        http_url=settings.caller_address,
        incarnation=transport.incarnation,
        revision=0,
        state=MemberState.ALIVE,
        # Cleared by the first configuration; callers are not accepted before.
        is_leaving=True,
        service_mask=0,
    )

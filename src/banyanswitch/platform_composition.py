"""Composition root of a process that forwards on the users' platform."""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, Final

import structlog

from banyanswitch.components.entrance.const import ADDRESS_TTL_S
from banyanswitch.components.entrance.coordinator import Entrance
from banyanswitch.components.entrance.planned_stop import PlannedStop
from banyanswitch.components.forwarding.forwarder import Forwarder, RetryBounds
from banyanswitch.components.forwarding.loads import LoadBook
from banyanswitch.components.forwarding.metrics import ForwardingMetrics
from banyanswitch.components.forwarding.placement import Placement
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.settings import (
    ForwardingSettings,
    host_and_port,
)
from banyanswitch.components.forwarding.turns import Turns
from banyanswitch.components.forwarding.upstream_board import UpstreamBoard
from banyanswitch.components.http1.caller_connection import Reply
from banyanswitch.components.http1.caller_server import CallerServer
from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.const import SWEEP_INTERVAL_S
from banyanswitch.components.http1.models import Request
from banyanswitch.components.kv_tier.cleaner import StoreCleaner
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.lease.coordinator import LeaseCoordinator
from banyanswitch.components.membership.coordinator import MembershipCoordinator
from banyanswitch.components.membership.models import Member, MemberState
from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.components.state_exchange.coordinator import StateExchange
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.table_mirror.relay import TableRelay
from banyanswitch.components.weight_rollout.const import (
    DUTY,
    LEASE_S,
    RELEASE_DELAY_S,
)
from banyanswitch.components.weight_rollout.coordinator import WeightRollout
from banyanswitch.components.weight_rollout.named_times import NamedTimes
from banyanswitch.components.weight_rollout.tenure import Tenure
from banyanswitch.core import callback
from banyanswitch.decisions.ejection import EjectionPolicy, Ejector
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.helpers.suspension import (
    SuspensionWatch,
    SystemSuspensionClock,
)
from banyanswitch.helpers.wall_clock import SystemWallClock
from banyanswitch.identifiers import FailureDomainId, InstanceId
from banyanswitch.platform.calls import HeaderTranslator
from banyanswitch.platform.const import (
    KEY_CONFIGURATION,
    TABLE_OPERATOR,
    TABLE_UPSTREAMS,
)
from banyanswitch.platform.documents import RowDecoder
from banyanswitch.platform.engines import PlatformEngines
from banyanswitch.platform.entrance import EntranceTranslator
from banyanswitch.platform.tables import PlatformTables

LOGGER = structlog.get_logger(__name__)

STORE_TIMEOUT_S: Final = 1.0
"""Deadline of a call to the store, which answers within 30 ms."""

HEARTBEAT_S: Final = 0.25
"""Time between probes; 8 instances notice a dead one within some 2 s."""

INTERNAL_KEY: Final = b"banyanswitch-internal"
"""Guards against stray datagrams; the platform keeps its internal ports to itself
and gives instances no secret."""

EJECTION: Final = EjectionPolicy(failures=3, base_s=1.0, max_s=8.0, ramp_s=2.0)
"""Short, since an upstream of this platform is replaced within seconds."""

MILLISECONDS_PER_S: Final = 1000.0


@dataclass(frozen=True, slots=True)
class ForwardingProcess:
    """The running parts that the command line needs."""

    stop: PlannedStop
    metrics: ForwardingMetrics
    tasks: tuple[asyncio.Task[Any], ...]
    transport: DatagramPeerTransport
    leases: LeaseCoordinator
    lease_task: asyncio.Task[Any]
    membership: MembershipCoordinator

    async def async_give_back(self) -> None:
        """Give the lease back once the successor may order."""
        await self.stop.requested.wait()
        await asyncio.sleep(RELEASE_DELAY_S)
        self.lease_task.cancel()
        await asyncio.gather(self.lease_task, return_exceptions=True)
        await self.leases.async_release_all()

    async def async_end(self) -> None:
        """End all tasks after the stop."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.membership.async_depart()
        await self.transport.async_stop()


async def async_compose_forwarding(settings: ForwardingSettings) -> ForwardingProcess:
    """Wire and start all parts."""
    generator = random.Random()
    decoder = RowDecoder()
    incarnation = int(SystemWallClock().now_unix_s() * MILLISECONDS_PER_S)
    store_client = HttpClient(ConnectionPool())
    engine_client = HttpClient(ConnectionPool())
    peer_client = HttpClient(ConnectionPool())
    tables = PlatformTables(store_client, settings.store_address, STORE_TIMEOUT_S)
    engines = PlatformEngines(engine_client)
    mirrors = {
        name: TableMirror(name, tables, generator)
        for name in (TABLE_OPERATOR, TABLE_UPSTREAMS)
    }
    routing = RoutingState(mirrors[TABLE_OPERATOR], decoder, KEY_CONFIGURATION)
    loads = LoadBook()
    board = UpstreamBoard(
        mirrors[TABLE_UPSTREAMS], decoder, loads, Ejector(EJECTION, generator)
    )
    transport = DatagramPeerTransport(
        instance=InstanceId(settings.instance),
        incarnation=incarnation,
        host=settings.host,
        port=settings.peer_port,
        keys=SigningKeys(INTERNAL_KEY, None),
    )
    await transport.async_start()
    membership = MembershipCoordinator(
        transport=transport,
        this_member=_this_member(settings, transport),
        seeds=settings.peer_seeds,
        heartbeat_s=HEARTBEAT_S,
        generator=generator,
        on_change=lambda: LOGGER.info(
            "instances_changed", live=len(membership.peers())
        ),
        on_new_incarnation=transport.raise_incarnation,
    )
    watch = SuspensionWatch(SystemSuspensionClock())
    tier = PartTier(engines, lambda model: _newest(routing, model), watch, loads)
    exchange = StateExchange(
        transport=transport,
        peers=membership,
        board=board,
        tier=tier,
        mirrors=mirrors,
        routing=routing,
    )
    turns = Turns()

    def on_heavy_change() -> None:
        exchange.report_now()
        turns.notify()

    board.loads.on_heavy_change = on_heavy_change
    exchange.on_report = turns.notify
    relay = TableRelay(mirrors, exchange, peer_client, generator)
    leases = LeaseCoordinator(
        table=tables,
        peers=membership,
        holder=f"{settings.instance}/{incarnation}",
        lease_s=LEASE_S,
        generator=generator,
    )
    leases.campaign(DUTY)
    tenure = Tenure(
        leases,
        settings.lease_s,
        watch,
        lambda: stop.is_leaving,
    )
    named_times = NamedTimes(table=tables, clock=tables, routing=routing, tenure=tenure)
    rollout = WeightRollout(
        tenure=tenure,
        routing=routing,
        board=board,
        engines=engines,
        exchange=exchange,
        holder=settings.instance,
    )
    cleaner = StoreCleaner(
        tenure=tenure,
        routing=routing,
        board=board,
        tier=tier,
        stores=engines,
        exchange=exchange,
    )
    pool = ConnectionPool()
    metrics = ForwardingMetrics()

    def instance_count() -> int:
        return max(1, len(membership.peers()))

    placement = Placement(
        routing=routing,
        board=board,
        tier=tier,
        pool=pool,
        failure_domain=FailureDomainId(settings.failure_domain),
        weights_deadline_s=settings.weights_deadline_s,
        instance_count=instance_count,
        generator=generator,
    )
    forwarder = Forwarder(
        translator=HeaderTranslator(),
        routing=routing,
        placement=placement,
        board=board,
        pool=pool,
        metrics=metrics,
        retry_bounds=RetryBounds(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window_s=settings.retry_window_s,
        ),
        instance_count=instance_count,
        is_leaving=lambda: stop.is_refusing,
        generator=generator,
        turns=turns,
        on_replaced=exchange.announce_replaced,
    )
    server = CallerServer(forwarder.async_handle, lambda: routing.limits)
    stop = PlannedStop(server, settings.grace_s, [membership.begin_leaving])
    entrance = Entrance(
        calls=EntranceTranslator(),
        peers=membership,
        is_ready=lambda: not membership.this_instance().is_leaving,
        ttl_s=min(ADDRESS_TTL_S, settings.address_ttl_s),
    )
    entrance_server = CallerServer(entrance.async_handle)
    readiness_server = CallerServer(entrance.async_handle)
    internal_server = CallerServer(_internal_handler(relay, metrics))

    async def async_housekeep() -> None:
        loop = asyncio.get_running_loop()
        configured_version = -1
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = loop.time()
            board.drop_gone(now_s)
            for client in (store_client, engine_client, peer_client, pool):
                client.sweep(now_s)
            configuration = routing.configuration
            if configuration and configuration.version != configured_version:
                configured_version = configuration.version
                tier.set_stores(configuration.stores)
                membership.accept_callers()

    await server.async_start(*host_and_port(settings.caller_address))
    await entrance_server.async_start(*host_and_port(settings.directory_address))
    await readiness_server.async_start(*host_and_port(settings.readiness_address))
    await internal_server.async_start(settings.host, settings.peer_port)
    coroutines: dict[str, Coroutine[Any, Any, None]] = {
        "membership": membership.async_run(),
        "operator_table": mirrors[TABLE_OPERATOR].async_run(),
        "upstream_table": mirrors[TABLE_UPSTREAMS].async_run(),
        "exchange": exchange.async_run(),
        "relay": relay.async_run(),
        "named_times": named_times.async_run(),
        "rollout": rollout.async_run(),
        "cleaner": cleaner.async_run(),
        "housekeeping": async_housekeep(),
        "sweep": server.async_sweep(),
    }
    tasks = tuple(_start(name, coroutine) for name, coroutine in coroutines.items())
    LOGGER.info("started", instance=settings.instance, incarnation=incarnation)
    lease_task = _start("leases", leases.async_run())
    return ForwardingProcess(
        stop, metrics, tasks, transport, leases, lease_task, membership
    )


def _start(name: str, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[Any]:
    task = asyncio.get_running_loop().create_task(coroutine, name=name)
    task.add_done_callback(_log_failure)
    return task


@callback
def _log_failure(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        LOGGER.error("task_failed", task=task.get_name(), exc_info=task.exception())


def _newest(routing: RoutingState, model: str) -> int | None:
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
        # Takes callers once it knows a configuration.
        is_leaving=True,
        service_mask=0,
    )


METRICS_PATH: Final = b"/metrics"


def _internal_handler(relay: TableRelay, metrics: ForwardingMetrics) -> Any:
    async def async_handle(request: Request, reply: Reply) -> None:
        if request.path == METRICS_PATH:
            reply.send(200, (), metrics.render())
            return
        await relay.async_answer(request, reply)

    return async_handle

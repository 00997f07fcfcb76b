"""Reconciliation of the weight versions of all model services."""

import asyncio
from collections.abc import Callable

import structlog

from banyanswitch.components.weights.const import (
    LEASE_PREFIX,
    MIN_ORDER_LIFETIME_S,
    RECONCILE_INTERVAL_S,
)
from banyanswitch.components.weights.models import LoadOrder, OrderIssued, OrderResult
from banyanswitch.components.weights.order_sender import OrderSender
from banyanswitch.components.weights.service_swap import PlannedOrder, ServiceSwap
from banyanswitch.config.models import Service, ServiceKind
from banyanswitch.core import callback
from banyanswitch.helpers.wall_clock import WallClock
from banyanswitch.identifiers import ServiceName
from banyanswitch.interfaces import (
    ConfigurationView,
    LeaseManager,
    UpstreamDirectory,
)

LOGGER = structlog.get_logger(__name__)


class WeightsCoordinator:
    """Bring the upstreams of services to their declared versions.

    Only the services whose leases this instance holds are reconciled.

    Parameters
    ----------
    configuration : ConfigurationView
        Services and their upstreams.
    directory : UpstreamDirectory
        Load reports of the upstreams.
    leases : LeaseManager
        Manages one lease per model service.
    sender : OrderSender
        Sends the orders.
    wall_clock : WallClock
        Clock of the expiry times in orders.
    on_order : callable
        Called after each attempt to send an order, with its result.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationView,
        directory: UpstreamDirectory,
        leases: LeaseManager,
        sender: OrderSender,
        wall_clock: WallClock,
        on_order: Callable[[OrderIssued], None],
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._leases = leases
        self._sender = sender
        self._wall_clock = wall_clock
        self._on_order = on_order
        self._swaps: dict[ServiceName, ServiceSwap] = {}
        self._sending: set[asyncio.Task[None]] = set()

    async def async_run(self) -> None:
        """Reconcile until cancelled."""
        try:
            while True:
                self.step()
                await asyncio.sleep(RECONCILE_INTERVAL_S)
        finally:
            for task in self._sending:
                task.cancel()

    @callback
    def step(self) -> None:
        """Compare the versions of all model services and start sending orders due."""
        for service in self._configuration.services():
            if service.kind is not ServiceKind.MODEL:
                continue
            if service.weight_version is None:
                continue
            self._leases.campaign(LEASE_PREFIX + service.name)
            self._reconcile(service)

    def _reconcile(self, service: Service) -> None:
        lease = self._leases.held(LEASE_PREFIX + service.name)
        if lease is None:
            return
        swap = self._swaps.setdefault(service.name, ServiceSwap())
        upstreams = self._configuration.upstreams(service.name)
        now_s = _now_s()
        for order in swap.plan(service, upstreams, self._directory, lease, now_s):
            swap.on_issued(order)
            sending = self._async_send(service.name, swap, order)
            task = asyncio.get_running_loop().create_task(sending)
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _async_send(
        self, service: ServiceName, swap: ServiceSwap, planned: PlannedOrder
    ) -> None:
        upstream = self._configuration.upstream(planned.upstream)
        lifetime_s = planned.expires_at_s - _now_s()
        is_due = lifetime_s >= MIN_ORDER_LIFETIME_S and self._is_held(service, planned)
        if upstream is None or not is_due:
            swap.on_result(planned, OrderResult.NOT_SENT, _now_s())
            return
        order = LoadOrder(
            planned.upstream,
            planned.version,
            planned.fencing_token,
            self._wall_clock.now_unix_s() + lifetime_s,
        )
        result = await self._sender.async_send(upstream.url, order, lifetime_s)
        swap.on_result(planned, result, _now_s())
        LOGGER.info(
            "order_issued",
            service=service,
            upstream=order.upstream,
            version=order.version,
            fencing_token=order.fencing_token,
            result=result.value,
        )
        self._on_order(OrderIssued(service, order, result))

    def _is_held(self, service: ServiceName, planned: PlannedOrder) -> bool:
        """Return whether the lease of the order is still held.

        It may have been lost meanwhile, for example while the process was paused.
        """
        lease = self._leases.held(LEASE_PREFIX + service)
        return lease is not None and lease.fencing_token == planned.fencing_token


def _now_s() -> float:
    return asyncio.get_running_loop().time()

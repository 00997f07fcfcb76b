"""Planning of the orders that bring a service to its declared weight version."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from banyanswitch.components.weights.const import (
    LEASE_MARGIN_S,
    MIN_ORDER_LIFETIME_S,
    REPORT_LAG_S,
    REPORT_TIMEOUT_S,
)
from banyanswitch.components.weights.models import OrderResult
from banyanswitch.components.weights.outstanding_orders import OutstandingOrders
from banyanswitch.config.models import Service, Upstream
from banyanswitch.decisions.swap_order import SwapView, next_loads
from banyanswitch.identifiers import UpstreamId, WeightVersion
from banyanswitch.interfaces import Lease, UpstreamDirectory


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order that is due.

    Parameters
    ----------
    expires_at_s : float
        Event loop time until which the upstream may accept it.
    """

    upstream: UpstreamId
    version: WeightVersion
    fencing_token: int
    expires_at_s: float


class ServiceSwap:
    """Plan the load orders of one service, without I/O or a clock.

    A new lease holder first waits until the orders of the previous holder have expired
    and reports show their effects. So upstreams that ignore fencing tokens don't get
    orders from two holders at the same time.
    """

    def __init__(self) -> None:
        self._token = 0
        self._first_order_at_s = 0.0
        self._is_fenced = False
        self._orders = OutstandingOrders()

    def plan(
        self,
        service: Service,
        upstreams: Sequence[Upstream],
        directory: UpstreamDirectory,
        lease: Lease,
        now_s: float,
    ) -> tuple[PlannedOrder, ...]:
        """Return the orders that are due now."""
        if lease.fencing_token != self._token:
            self._on_new_lease(service, lease, now_s)
        views = [self._view(upstream, directory, now_s) for upstream in upstreams]
        version = service.weight_version
        expires_at_s = min(
            now_s + service.swap.order_lifetime_s, lease.expires_at_s - LEASE_MARGIN_S
        )
        if version is None or self._is_fenced or now_s < self._first_order_at_s:
            return ()
        if expires_at_s - now_s < MIN_ORDER_LIFETIME_S:
            return ()
        return tuple(
            PlannedOrder(upstream, version, lease.fencing_token, expires_at_s)
            for upstream in next_loads(views, version, service.swap, now_s)
        )

    def on_issued(self, order: PlannedOrder) -> None:
        """Record an order that is about to be sent."""
        self._orders.on_issued(order.upstream, order.version, order.expires_at_s)

    def on_result(self, order: PlannedOrder, result: OrderResult, now_s: float) -> None:
        """Record the result of an order."""
        if order.fencing_token != self._token:
            return
        self._orders.on_result(order.upstream, result, now_s)
        if result is OrderResult.STALE_FENCING_TOKEN:
            self._is_fenced = True

    def _on_new_lease(self, service: Service, lease: Lease, now_s: float) -> None:
        self._token = lease.fencing_token
        self._is_fenced = False
        self._orders = OutstandingOrders()
        self._first_order_at_s = now_s + service.swap.order_lifetime_s + REPORT_LAG_S

    def _view(
        self, upstream: Upstream, directory: UpstreamDirectory, now_s: float
    ) -> SwapView:
        load = directory.load(upstream.name)
        self._orders.observe(upstream.name, load, now_s)
        is_busy = self._orders.is_busy(upstream.name)
        if load is None or now_s - load.received_at_s > REPORT_TIMEOUT_S:
            return _unreported_view(upstream, is_busy)
        return SwapView(
            name=upstream.name,
            failure_domain=upstream.failure_domain,
            weight_version=load.weight_version,
            is_serving=directory.is_accepting(upstream.name),
            is_loading=load.is_loading or is_busy,
            is_leaving=load.is_leaving,
            running_requests=load.running_requests,
            retry_at_s=self._orders.retry_at_s(upstream.name, load),
        )


def _unreported_view(upstream: Upstream, is_busy: bool) -> SwapView:
    """Return the view of an upstream without a recent report; it gets no orders."""
    return SwapView(
        name=upstream.name,
        failure_domain=upstream.failure_domain,
        weight_version=None,
        is_serving=False,
        is_loading=is_busy,
        retry_at_s=math.inf,
    )

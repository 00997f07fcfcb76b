"""Orders whose result has not been observed yet, and backoff after failed ones."""

from dataclasses import dataclass

from banyanswitch.components.weights.const import (
    INITIAL_BACKOFF_S,
    LOAD_TIMEOUT_S,
    MAX_BACKOFF_S,
    REPORT_LAG_S,
)
from banyanswitch.components.weights.models import OrderResult
from banyanswitch.identifiers import UpstreamId, WeightVersion
from banyanswitch.interfaces import UpstreamLoad

NO_EFFECT_RESULTS = frozenset(
    {
        OrderResult.STALE_FENCING_TOKEN,
        OrderResult.EXPIRED,
        OrderResult.REFUSED,
        OrderResult.NOT_SENT,
    }
)


@dataclass(slots=True)
class _OutstandingOrder:
    """An order that may still be accepted or is being carried out.

    Parameters
    ----------
    busy_until_s : float
        Event loop time until which the upstream may load without a report showing it.
    """

    version: WeightVersion
    busy_until_s: float


@dataclass(frozen=True, slots=True)
class _Backoff:
    """Time during which an upstream gets no order after a failed one."""

    length_s: float
    until_s: float


class OutstandingOrders:
    """Track which upstreams count as loading, and when they may get orders again.

    An order occupies a load slot until a report shows its version, or until a report
    received after the order's expiry plus the report lag shows no load. Each report of
    a load extends that time. A result without effect frees the slot at once, and
    without a conclusive report the slot is freed after `LOAD_TIMEOUT_S`.
    """

    def __init__(self) -> None:
        self._orders: dict[UpstreamId, _OutstandingOrder] = {}
        self._backoffs: dict[UpstreamId, _Backoff] = {}
        self._loaded_at_s: dict[UpstreamId, float] = {}

    def on_issued(
        self, upstream: UpstreamId, version: WeightVersion, expires_at_s: float
    ) -> None:
        """Record an order that is about to be sent."""
        busy_until_s = expires_at_s + REPORT_LAG_S
        self._orders[upstream] = _OutstandingOrder(version, busy_until_s)

    def on_result(
        self, upstream: UpstreamId, result: OrderResult, now_s: float
    ) -> None:
        """Start the backoff if an order had no effect."""
        if result in NO_EFFECT_RESULTS:
            self._fail(upstream, now_s)

    def observe(
        self, upstream: UpstreamId, load: UpstreamLoad | None, now_s: float
    ) -> None:
        """Update an outstanding order from the upstream's last report."""
        order = self._orders.get(upstream)
        if order is None:
            return
        if now_s >= order.busy_until_s + LOAD_TIMEOUT_S:
            self._fail(upstream, now_s)
            return
        if load is None:
            return
        if load.is_loading:
            seen_until_s = load.received_at_s + REPORT_LAG_S
            order.busy_until_s = max(order.busy_until_s, seen_until_s)
            return
        if load.weight_version == order.version:
            self._succeed(upstream, load.received_at_s)
            return
        if load.received_at_s >= order.busy_until_s:
            self._fail(upstream, now_s)

    def is_busy(self, upstream: UpstreamId) -> bool:
        """Return whether the upstream has an outstanding order."""
        return upstream in self._orders

    def retry_at_s(self, upstream: UpstreamId, load: UpstreamLoad) -> float:
        """Return the event loop time before which the upstream gets no order."""
        backoff = self._backoffs.get(upstream)
        backoff_until_s = backoff.until_s if backoff is not None else 0.0
        loaded_at_s = self._loaded_at_s.get(upstream)
        if loaded_at_s is None or load.received_at_s > loaded_at_s + REPORT_LAG_S:
            return backoff_until_s
        return max(backoff_until_s, loaded_at_s + REPORT_LAG_S)

    def _succeed(self, upstream: UpstreamId, now_s: float) -> None:
        del self._orders[upstream]
        self._backoffs.pop(upstream, None)
        self._loaded_at_s[upstream] = now_s

    def _fail(self, upstream: UpstreamId, now_s: float) -> None:
        self._orders.pop(upstream, None)
        last = self._backoffs.get(upstream)
        length_s = (
            INITIAL_BACKOFF_S
            if last is None
            else min(MAX_BACKOFF_S, 2.0 * last.length_s)
        )
        self._backoffs[upstream] = _Backoff(length_s, now_s + length_s)

"""Lease under which one instance at a time may send orders."""

from collections.abc import Callable

import structlog

from banyanswitch.components.weight_rollout.const import (
    DUTY,
    HANDOVER_MARGIN_S,
    LEASE_S,
    ORDER_WINDOW_S,
)
from banyanswitch.core import callback
from banyanswitch.helpers.suspension import SuspensionWatch
from banyanswitch.interfaces import Lease, LeaseManager

LOGGER = structlog.get_logger(__name__)


class OrderLease:
    """Lease on the duty, usable once orders of earlier holders can't arrive any more.

    Parameters
    ----------
    leases : LeaseManager
        Manages the lease.
    exclusion_s : float
        Time for which an order of one holder excludes orders of other holders, in
        seconds; counted from the last order.
    watch : SuspensionWatch
        Detects suspensions of the machine, during which the lease time runs on while
        the event loop's clock stands still.
    is_leaving : callable
        Returns whether this instance is about to release the lease.
    """

    def __init__(
        self,
        leases: LeaseManager,
        exclusion_s: float,
        watch: SuspensionWatch,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._is_leaving = is_leaving
        self._leases = leases
        self._exclusion_s = exclusion_s
        self._watch = watch
        # Another instance may have acquired the lease during a suspension. Orders are
        # safe only under a new lease.
        watch.subscribe(self.invalidate)
        self._token = 0
        self._starts_at_s = 0.0

    @callback
    def token(self, now_s: float) -> int | None:
        """Return the fencing token, or ``None`` if no orders may be sent now."""
        self._watch.check()
        lease = self._leases.held(DUTY)
        if lease is None or self._is_leaving():
            self._token = 0
            return None
        self._note_lease(lease, now_s)
        is_fresh = now_s - lease.renewed_at_s <= ORDER_WINDOW_S
        return self._token if now_s >= self._starts_at_s and is_fresh else None

    @callback
    def taken_over_token(self, now_s: float) -> int | None:
        """Return the fencing token once calls of earlier holders can't arrive any more.

        Unlike `token`, it is returned until the lease expires.
        """
        self._watch.check()
        lease = self._leases.held(DUTY)
        if lease is None or self._is_leaving():
            return None
        self._note_lease(lease, now_s)
        return lease.fencing_token if now_s >= self._starts_at_s else None

    def _note_lease(self, lease: Lease, now_s: float) -> None:
        if lease.fencing_token == self._token:
            return
        self._token = lease.fencing_token
        self._starts_at_s = self._handover_ends_at_s(lease, now_s)
        self._log_taken(lease, now_s)

    @callback
    def send_by_s(self, token: int) -> float:
        """Return the loop time until which orders with this token may be sent.

        It is in the past if the token is no longer valid.
        """
        self._watch.check()
        lease = self._leases.held(DUTY)
        if lease is None or self._is_leaving() or lease.fencing_token != token:
            return float("-inf")
        return lease.renewed_at_s + ORDER_WINDOW_S

    @callback
    def held_until_s(self) -> float:
        """Return the loop time until which this instance holds the lease.

        It is in the past if it doesn't hold the lease.
        """
        self._watch.check()
        lease = self._leases.held(DUTY)
        return lease.expires_at_s if lease is not None else float("-inf")

    @callback
    def is_holder(self) -> bool:
        """Return whether this instance holds the lease, even without sending orders."""
        self._watch.check()
        return self._leases.held(DUTY) is not None

    @callback
    def invalidate(self) -> None:
        """Forfeit the lease, and its token with it, as a higher one may be in use."""
        self._leases.forfeit(DUTY)
        self._token = 0

    def _handover_ends_at_s(self, lease: Lease, now_s: float) -> float:
        """Return the event loop time of a new holder's first order.

        The previous holder sent its last order at most `ORDER_WINDOW_S` after a
        renewal, and its lease could be acquired `LEASE_S` after that renewal at the
        earliest. A holder that releases its lease stops sending orders at least
        `LEASE_S - ORDER_WINDOW_S` before the release. If a time by which it had sent
        its last renewal is known, its last order was at most `ORDER_WINDOW_S` later.
        Both limit the time of the same order, so the earlier limit applies. Holders
        before the previous one sent their last renewals before it did.
        """
        if lease.fencing_token == 1:
            return now_s
        last_order_s = now_s - (LEASE_S - ORDER_WINDOW_S)
        renewed_by_s = lease.predecessor_renewed_by_s
        if renewed_by_s is not None:
            last_order_s = min(last_order_s, renewed_by_s + ORDER_WINDOW_S)
        return max(now_s, last_order_s + self._exclusion_s + HANDOVER_MARGIN_S)

    def _log_taken(self, lease: Lease, now_s: float) -> None:
        renewed_by_s = lease.predecessor_renewed_by_s
        LOGGER.info(
            "duty_taken",
            duty=DUTY,
            fencing_token=lease.fencing_token,
            predecessor_age_s=(
                None if renewed_by_s is None else round(now_s - renewed_by_s, 3)
            ),
            wait_s=round(self._starts_at_s - now_s, 3),
        )

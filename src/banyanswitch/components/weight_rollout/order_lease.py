"""Whether this instance may give orders now."""

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
from banyanswitch.interfaces import LeaseManager

LOGGER = structlog.get_logger(__name__)


class OrderLease:
    """The duty's lease, once earlier holders' orders can no longer arrive.

    Parameters
    ----------
    leases : LeaseManager
        Holds the lease.
    exclusion_s : float
        Time for which orders of one holder exclude those of others, in seconds.
    watch : SuspensionWatch
        Tells whether the machine was suspended, when the lease ran on unseen.
    is_leaving : callable
        Returns whether this instance is about to give the lease back.
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
        # The lease may have passed on meanwhile; only a new tenure is safe.
        watch.subscribe(self.invalidate)
        self._token = 0
        self._starts_at_s = 0.0

    @callback
    def token(self, now_s: float) -> int | None:
        """Return the fencing token if orders may be given now."""
        self._watch.check()
        lease = self._leases.held(DUTY)
        if lease is None or self._is_leaving():
            self._token = 0
            return None
        if lease.fencing_token != self._token:
            self._token = lease.fencing_token
            is_first = lease.fencing_token == 1
            self._starts_at_s = now_s + (0.0 if is_first else self._handover_s())
            LOGGER.info("duty_taken", duty=DUTY, fencing_token=lease.fencing_token)
        is_fresh = now_s - lease.renewed_at_s <= ORDER_WINDOW_S
        return self._token if now_s >= self._starts_at_s and is_fresh else None

    @callback
    def is_holder(self) -> bool:
        """Return whether this instance holds the lease, orders or not."""
        self._watch.check()
        return self._leases.held(DUTY) is not None

    @callback
    def invalidate(self) -> None:
        """Give no more orders with the present token: a higher one is in use."""
        self._leases.forfeit(DUTY)
        self._token = 0

    def _handover_s(self) -> float:
        """Return how long a new holder waits.

        The last holder gave its last order `ORDER_WINDOW_S` after a renewal at the
        latest, and its lease could be taken `LEASE_S` after that renewal. One that
        gives its lease back stops its orders as long before.
        """
        passed_s = LEASE_S - ORDER_WINDOW_S
        return max(0.0, self._exclusion_s + HANDOVER_MARGIN_S - passed_s)

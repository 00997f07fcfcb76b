"""Budget of table writes shared by the components of one instance."""

import math
from dataclasses import dataclass
from typing import Final

from banyanswitch.components.table_service.const import (
    BUDGET_BURST_S,
    CLAIM_RATE_BACKOFF_FACTOR,
    CLAIM_RATE_BACKOFF_INTERVAL_S,
    CLAIM_RATE_RECOVERY_PER_S,
    CLAIM_SHARE,
    CONFIGURATION_SHARE,
    LEASE_SHARE,
    MIN_CLAIM_RATE_SHARE,
)
from banyanswitch.exceptions import WriteBudgetExceededError
from banyanswitch.interfaces import WriteClass

SHARES: Final = {
    WriteClass.CLAIM: CLAIM_SHARE,
    WriteClass.LEASE: LEASE_SHARE,
    WriteClass.CONFIGURATION: CONFIGURATION_SHARE,
}


@dataclass(slots=True)
class _TokenBucket:
    """Token bucket of one class; a transaction may make its level negative."""

    writes_per_s: float
    capacity: float
    level: float
    filled_at_s: float

    def fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.filled_at_s)
        self.level = min(self.capacity, self.level + elapsed_s * self.writes_per_s)
        self.filled_at_s = now_s

    def time_until_token_s(self) -> float:
        return max(0.0, (1.0 - self.level) / self.writes_per_s)

    def reduce_rate(self, writes_per_s: float) -> None:
        """Set another rate and discard accumulated tokens."""
        self.writes_per_s = writes_per_s
        self.level = min(self.level, 0.0)


class WriteBudget:
    """Limit the rate of written items per write class.

    The rate of claims follows the load of the callers, so claims use only their own
    share. The other classes may also use the unused share of claims when their own is
    exhausted, so that a high load cannot make an instance lose its leases.

    Other instances use the same table service without coordination. When the table
    service throttles a write, the claim rate is reduced to a quarter. It then grows by
    a fixed share of its current value each second, so that the total rate of any
    number of instances stays near the limit of the table service.

    Parameters
    ----------
    writes_per_s : float
        Maximum rate of written items of all classes together, per second.
    now_s : float
        Loop time at which the budget starts with full buckets, in seconds.
    """

    def __init__(self, writes_per_s: float, now_s: float) -> None:
        self._buckets: dict[WriteClass, _TokenBucket] = {}
        for write_class, share in SHARES.items():
            rate = share * writes_per_s
            capacity = max(1.0, rate * BUDGET_BURST_S)
            self._buckets[write_class] = _TokenBucket(rate, capacity, capacity, now_s)
        self._full_claims_per_s = CLAIM_SHARE * writes_per_s
        self._reduced_at_s = -math.inf
        self._recovered_at_s = now_s

    def admit(self, write_class: WriteClass, writes: int, now_s: float) -> None:
        """Charge one transaction to the budget.

        Raises
        ------
        WriteBudgetExceededError
            If the share of the class and the share of claims are exhausted; nothing
            is charged.
        """
        self._recover_claim_rate(now_s)
        for bucket in self._buckets.values():
            bucket.fill(now_s)
        class_bucket = self._buckets[write_class]
        if class_bucket.level >= 1.0:
            class_bucket.level -= writes
            return
        claims = self._buckets[WriteClass.CLAIM]
        if claims.level < 1.0:
            raise WriteBudgetExceededError(class_bucket.time_until_token_s())
        claims.level -= writes

    def set_rate(self, writes_per_s: float, now_s: float) -> None:
        """Set the total rate; a reduced claim rate is scaled in proportion."""
        factor = CLAIM_SHARE * writes_per_s / self._full_claims_per_s
        if factor == 1.0:
            return
        for bucket in self._buckets.values():
            bucket.fill(now_s)
            bucket.writes_per_s *= factor
            bucket.capacity = max(1.0, bucket.capacity * factor)
            bucket.level = min(bucket.level, bucket.capacity)
        self._full_claims_per_s *= factor

    def on_throttled(self, now_s: float) -> None:
        """Reduce the claim rate after the table service throttled a write."""
        if now_s < self._reduced_at_s + CLAIM_RATE_BACKOFF_INTERVAL_S:
            return
        self._reduced_at_s = now_s
        claims = self._buckets[WriteClass.CLAIM]
        min_per_s = self._full_claims_per_s * MIN_CLAIM_RATE_SHARE
        claims.reduce_rate(
            max(min_per_s, claims.writes_per_s * CLAIM_RATE_BACKOFF_FACTOR)
        )
        self._recovered_at_s = now_s

    def _recover_claim_rate(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._recovered_at_s)
        self._recovered_at_s = now_s
        claims = self._buckets[WriteClass.CLAIM]
        recovered_per_s = claims.writes_per_s * (
            1.0 + CLAIM_RATE_RECOVERY_PER_S * elapsed_s
        )
        claims.writes_per_s = min(self._full_claims_per_s, recovered_per_s)

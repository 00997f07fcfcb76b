"""Budget of table writes that the parts of one instance share."""

import math
from dataclasses import dataclass
from typing import Final

from banyanswitch.components.table_service.const import (
    BUDGET_BURST_S,
    CLAIM_SHARE,
    CONFIGURATION_SHARE,
    LEASE_SHARE,
    MIN_CLAIM_SPEED,
    SLOWDOWN_FACTOR,
    SLOWDOWN_INTERVAL_S,
    SPEED_UP_PER_S,
)
from banyanswitch.exceptions import WriteBudgetExceededError
from banyanswitch.interfaces import WriteClass

SHARES: Final = {
    WriteClass.CLAIM: CLAIM_SHARE,
    WriteClass.LEASE: LEASE_SHARE,
    WriteClass.CONFIGURATION: CONFIGURATION_SHARE,
}


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one class; a transaction may leave it in debt."""

    writes_per_s: float
    capacity: float
    level: float
    filled_at_s: float

    def fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.filled_at_s)
        self.level = min(self.capacity, self.level + elapsed_s * self.writes_per_s)
        self.filled_at_s = now_s

    def time_until_one_s(self) -> float:
        return max(0.0, (1.0 - self.level) / self.writes_per_s)

    def slow_down(self, writes_per_s: float) -> None:
        """Go on at another rate, without what was saved up."""
        self.writes_per_s = writes_per_s
        self.level = min(self.level, 0.0)


class WriteBudget:
    """Admit transactions within a rate of written items, by class.

    Claims come with the callers' load and use only their own share. The other
    classes may use what claims leave when their own share is spent, so that load
    can't cost an instance its leases.

    The table's rate is shared with other instances that are not asked. When the
    table refuses a write, claims go on at a quarter of their rate. They gain the
    rest back by the same factor each second, so that the instances together stay
    near what the table takes, however many they are.

    Parameters
    ----------
    writes_per_s : float
        Items that all classes together may write at most, per second.
    now_s : float
        Loop time at which the budget starts, full.
    """

    def __init__(self, writes_per_s: float, now_s: float) -> None:
        self._buckets: dict[WriteClass, _Bucket] = {}
        for write_class, share in SHARES.items():
            rate = share * writes_per_s
            capacity = max(1.0, rate * BUDGET_BURST_S)
            self._buckets[write_class] = _Bucket(rate, capacity, capacity, now_s)
        self._full_claims_per_s = CLAIM_SHARE * writes_per_s
        self._slowed_at_s = -math.inf
        self._sped_up_at_s = now_s

    def admit(self, write_class: WriteClass, writes: int, now_s: float) -> None:
        """Take one transaction out of the budget.

        Raises
        ------
        WriteBudgetExceededError
            If what the class may use is spent; nothing is taken.
        """
        self._speed_up(now_s)
        for bucket in self._buckets.values():
            bucket.fill(now_s)
        own = self._buckets[write_class]
        if own.level >= 1.0:
            own.level -= writes
            return
        claims = self._buckets[WriteClass.CLAIM]
        if claims.level < 1.0:
            raise WriteBudgetExceededError(own.time_until_one_s())
        claims.level -= writes

    def set_rate(self, writes_per_s: float, now_s: float) -> None:
        """Use another rate from now on; a slowdown of claims goes on in proportion."""
        factor = CLAIM_SHARE * writes_per_s / self._full_claims_per_s
        if factor == 1.0:
            return
        for bucket in self._buckets.values():
            bucket.fill(now_s)
            bucket.writes_per_s *= factor
            bucket.capacity = max(1.0, bucket.capacity * factor)
            bucket.level = min(bucket.level, bucket.capacity)
        self._full_claims_per_s *= factor

    def on_refused(self, now_s: float) -> None:
        """Take in that the table refused a write as too many."""
        if now_s < self._slowed_at_s + SLOWDOWN_INTERVAL_S:
            return
        self._slowed_at_s = now_s
        claims = self._buckets[WriteClass.CLAIM]
        least_per_s = self._full_claims_per_s * MIN_CLAIM_SPEED
        claims.slow_down(max(least_per_s, claims.writes_per_s * SLOWDOWN_FACTOR))
        self._sped_up_at_s = now_s

    def _speed_up(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._sped_up_at_s)
        self._sped_up_at_s = now_s
        claims = self._buckets[WriteClass.CLAIM]
        faster_per_s = claims.writes_per_s * (1.0 + SPEED_UP_PER_S * elapsed_s)
        claims.writes_per_s = min(self._full_claims_per_s, faster_per_s)

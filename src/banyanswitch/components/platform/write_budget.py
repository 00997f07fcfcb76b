"""Budget of table writes that the parts of one instance share."""

from collections.abc import Mapping
from typing import Final

from banyanswitch.components.platform.const import (
    BUDGET_BURST_S,
    CLAIM_RESERVE_SHARE,
    CONFIGURATION_RESERVE_SHARE,
)
from banyanswitch.exceptions import WriteBudgetExceededError
from banyanswitch.interfaces import WriteClass

RESERVE_SHARES: Final[Mapping[WriteClass, float]] = {
    WriteClass.CLAIM: CLAIM_RESERVE_SHARE,
    WriteClass.CONFIGURATION: CONFIGURATION_RESERVE_SHARE,
    WriteClass.LEASE: 0.0,
}


class WriteBudget:
    """Token bucket in which each class leaves a reserve to more urgent ones.

    Claims come with the callers' load. Their reserve keeps that load from costing
    an instance its leases.

    Parameters
    ----------
    transactions_per_s : float
        Transactions admitted in the long run, per second.
    now_s : float
        Loop time at which the bucket starts, full.
    """

    def __init__(self, transactions_per_s: float, now_s: float) -> None:
        self._transactions_per_s = transactions_per_s
        self._burst = max(2.0, transactions_per_s * BUDGET_BURST_S)
        self._tokens = self._burst
        self._refilled_at_s = now_s

    def admit(self, write_class: WriteClass, now_s: float) -> None:
        """Take one transaction out of the budget.

        Raises
        ------
        WriteBudgetExceededError
            If what the class may use is spent; nothing is taken.
        """
        self._refill(now_s)
        reserve = self._burst * RESERVE_SHARES[write_class]
        missing = 1.0 - (self._tokens - reserve)
        if missing > 0.0:
            raise WriteBudgetExceededError(missing / self._transactions_per_s)
        self._tokens -= 1.0

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        refilled = self._tokens + elapsed_s * self._transactions_per_s
        self._tokens = min(self._burst, refilled)

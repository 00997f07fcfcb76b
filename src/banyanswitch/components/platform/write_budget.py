"""Budget of table writes that the uses of one instance share."""

from collections.abc import Mapping
from typing import Final

from banyanswitch.components.platform.const import (
    BURST_S,
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

    Parameters
    ----------
    writes_per_s : float
        Writes admitted in the long run.
    now_s : float
        Loop time at which the bucket starts, full.
    """

    def __init__(self, writes_per_s: float, now_s: float) -> None:
        self._writes_per_s = writes_per_s
        self._burst = writes_per_s * BURST_S
        self._tokens = self._burst
        self._refilled_at_s = now_s

    def take(self, writes: int, write_class: WriteClass, now_s: float) -> None:
        """Take writes from the budget.

        Raises
        ------
        WriteBudgetExceededError
            If the writes do not fit; nothing is taken.
        """
        self._refill(now_s)
        reserve = self._burst * RESERVE_SHARES[write_class]
        missing = writes - (self._tokens - reserve)
        if missing > 0:
            raise WriteBudgetExceededError(missing / self._writes_per_s)
        self._tokens -= writes

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._writes_per_s)

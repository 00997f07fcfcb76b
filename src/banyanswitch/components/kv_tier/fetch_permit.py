"""Permission to fetch parts of older weights, which the holder of the duty issues."""

from collections.abc import Callable

import msgspec

from banyanswitch.components.kv_tier.const import (
    MAX_PERMIT_S,
    MAX_TICK_GAP_S,
    PERMIT_LIFETIME_S,
)
from banyanswitch.core import callback
from banyanswitch.helpers.suspension import SuspensionWatch


class PermitReport(msgspec.Struct, frozen=True, array_like=True):
    """A permit in a report between instances.

    Parameters
    ----------
    fencing_token : int
        Fencing token of the holder that issued it.
    number : int
        Number of the permit among those of this holder.
    left_s : float
        Time for which it is still valid, in seconds.
    """

    fencing_token: int
    number: int
    left_s: float


class FetchPermit:
    """The newest permit that this instance has issued or received.

    The holder of the duty sends permits together with the fetch floors, and frees
    parts below a new floor only after the permits that it issued before have ended.
    An instance without a valid permit, for example one that is cut off from the
    holder, may not know the floor and fetches no parts of older weights. The other
    instances pass permits on, which never prolongs them.

    Parameters
    ----------
    watch : SuspensionWatch
        Detects suspensions of the machine, during which permits expire unnoticed.

    Attributes
    ----------
    issuing_token : callable
        Returns the fencing token under which this instance may issue permits at a
        loop time; ``None`` if another instance may issue them.
    """

    def __init__(self, watch: SuspensionWatch) -> None:
        self.issuing_token: Callable[[float], int | None] = lambda _now_s: None
        self._watch = watch
        self._identity = (0, 0)
        self._ends_at_s = float("-inf")
        self._ignored_until_s = float("-inf")
        self._ticked_at_s: float | None = None

    @property
    def ends_at_s(self) -> float:
        """Loop time at which the newest permit ends."""
        return self._ends_at_s

    @callback
    def left_s(self, now_s: float) -> float:
        """Return for how long the permit is valid; at most 0 if it has ended."""
        self._check_pause(now_s)
        return self._ends_at_s - now_s

    @callback
    def report(self, now_s: float, lifetime_s: float) -> PermitReport | None:
        """Return the permit to report, a new one if this instance issues them."""
        self._check_pause(now_s)
        token = self.issuing_token(now_s)
        if token is not None:
            self._identity = (token, self._identity[1] + 1)
            self._ends_at_s = max(self._ends_at_s, now_s + lifetime_s)
        if now_s >= self._ends_at_s:
            return None
        return PermitReport(*self._identity, self._ends_at_s - now_s)

    @callback
    def note(self, permit: PermitReport, now_s: float) -> None:
        """Record a permit that another instance has reported.

        A permit that is known already is not recorded again: the time that it spent
        on the way is unknown, and would prolong it each time it is passed on.
        """
        self._check_pause(now_s)
        if now_s < self._ignored_until_s or permit.left_s <= 0.0:
            return
        identity = (permit.fencing_token, permit.number)
        # The store may return from an older copy, and fencing tokens with it.
        is_outdated = now_s >= self._ends_at_s + MAX_PERMIT_S
        if identity <= self._identity and not is_outdated:
            return
        self._identity = identity
        self._ends_at_s = now_s + min(permit.left_s, MAX_PERMIT_S)

    @callback
    def tick(self, now_s: float) -> None:
        """Record that the event loop is running."""
        self._check_pause(now_s)
        self._ticked_at_s = now_s

    def _check_pause(self, now_s: float) -> None:
        """Withdraw the permit if the process was paused since the last tick."""
        self._watch.check()
        if self._ticked_at_s is None:
            return
        if now_s - self._ticked_at_s > MAX_TICK_GAP_S:
            self._ticked_at_s = now_s
            self.withdraw(now_s)

    @callback
    def withdraw(self, now_s: float) -> None:
        """Withdraw the permit after a pause.

        Reports that arrived during the pause are read only now. Until then, their
        permits are ignored.
        """
        self._ends_at_s = min(self._ends_at_s, now_s)
        self._ignored_until_s = now_s + PERMIT_LIFETIME_S


def permit_lifetime_s(excess_interval_s: float) -> float:
    """Return for how long a permit is valid, in seconds.

    Parameters
    ----------
    excess_interval_s : float
        Time by which the report interval exceeds the one that the constants assume.
    """
    return min(PERMIT_LIFETIME_S + excess_interval_s, MAX_PERMIT_S)

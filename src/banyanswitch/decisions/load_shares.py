"""Load of an upstream, as the sum of what each instance has in flight there."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a number of requests at one upstream.

    Parameters
    ----------
    work_ms : int
        Predicted work of the requests at the upstream's usual speed, in milliseconds;
        0 in reports of earlier versions.
    """

    requests: int = 0
    prefill_tokens: int = 0
    memory_tokens: int = 0
    work_ms: int = 0

    def plus(self, other: "Load") -> "Load":
        """Return the sum of two loads."""
        return Load(
            self.requests + other.requests,
            self.prefill_tokens + other.prefill_tokens,
            self.memory_tokens + other.memory_tokens,
            self.work_ms + other.work_ms,
        )


NO_LOAD = Load()


@dataclass(frozen=True, slots=True)
class _Share:
    load: Load
    reported_at_s: float


class LoadShares:
    """Shares of the instances in the load of some upstreams.

    A share is an absolute figure that replaces the previous one of its instance, so a
    report that is repeated counts once, and one that was lost is made good by the next.

    Parameters
    ----------
    lifetime_s : float
        Time for which a share counts without being reported again, in seconds.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._shares: dict[str, dict[str, _Share]] = {}

    def note(self, instance: str, loads: Mapping[str, Load], now_s: float) -> None:
        """Record an instance's share in the load of each named upstream."""
        for upstream, load in loads.items():
            if load == NO_LOAD:
                self._remove(upstream, instance)
                continue
            shares = self._shares.setdefault(upstream, {})
            shares[instance] = _Share(load, now_s)

    def of_others(self, upstream: str, instance: str, now_s: float) -> Load:
        """Return the load of an upstream without one instance's own share."""
        self._forget_expired(upstream, now_s)
        total = NO_LOAD
        for name, share in self._shares.get(upstream, {}).items():
            if name != instance:
                total = total.plus(share.load)
        return total

    def forget_expired(self, now_s: float) -> None:
        """Remove all shares that were not reported for their lifetime."""
        for upstream in tuple(self._shares):
            self._forget_expired(upstream, now_s)

    def _forget_expired(self, upstream: str, now_s: float) -> None:
        expired = [
            instance
            for instance, share in self._shares.get(upstream, {}).items()
            if now_s - share.reported_at_s > self._lifetime_s
        ]
        for instance in expired:
            self._remove(upstream, instance)

    def _remove(self, upstream: str, instance: str) -> None:
        shares = self._shares.get(upstream)
        if shares is None:
            return
        shares.pop(instance, None)
        if not shares:
            del self._shares[upstream]

"""Ejection of failing upstreams, with slow start on their return."""

import random
from dataclasses import dataclass

from banyanswitch.identifiers import UpstreamId


@dataclass(frozen=True, slots=True, kw_only=True)
class EjectionPolicy:
    """Settings of ejection.

    Parameters
    ----------
    failures : int
        Number of consecutive failures after which an upstream is ejected.
    base_s : float
        Duration of the first ejection, in seconds. Each further consecutive ejection
        lasts twice as long.
    max_s : float
        Maximum duration of an ejection without jitter, in seconds.
    jitter_share : float
        Maximum random addition, as a share of the duration. It keeps upstreams that
        failed together from returning together.
    ramp_s : float
        Time over which the weight of a returning upstream rises to 1, in seconds.
    initial_share : float
        Weight of an upstream at its return.
    """

    failures: int = 3
    base_s: float = 2.0
    max_s: float = 60.0
    jitter_share: float = 0.5
    ramp_s: float = 10.0
    initial_share: float = 0.1


@dataclass(slots=True)
class _FailureRecord:
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0


class Ejector:
    """Track upstream failures and compute the weights of the upstreams in the pool.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter.
    """

    def __init__(self, policy: EjectionPolicy, generator: random.Random) -> None:
        self._policy = policy
        self._generator = generator
        self._records: dict[UpstreamId, _FailureRecord] = {}

    def on_failure(self, upstream: UpstreamId, now_s: float) -> None:
        """Record a failure caused by the upstream.

        An upstream that was ejected before is ejected again by its first failure, until
        `on_success` has deleted its record.
        """
        record = self._records.setdefault(upstream, _FailureRecord())
        record.failures += 1
        is_returning = record.ejections > 0
        if record.failures < self._policy.failures and not is_returning:
            return
        self.eject(upstream, now_s)

    def eject(self, upstream: UpstreamId, now_s: float) -> None:
        """Eject an upstream immediately, for example because it is unreachable."""
        record = self._records.setdefault(upstream, _FailureRecord())
        if now_s < record.ejected_until_s:
            return
        length_s = min(self._policy.max_s, self._policy.base_s * 2.0**record.ejections)
        jitter = 1.0 + self._policy.jitter_share * self._generator.random()
        record.ejected_until_s = now_s + length_s * jitter
        record.ejections += 1
        record.failures = 0

    def on_success(self, upstream: UpstreamId, now_s: float) -> None:
        """Record a success.

        A success after the ramp has ended deletes the record of earlier ejections.
        """
        record = self._records.get(upstream)
        if record is None:
            return
        record.failures = 0
        if (
            record.ejections == 0
            or now_s >= record.ejected_until_s + self._policy.ramp_s
        ):
            del self._records[upstream]

    def weight(self, upstream: UpstreamId, now_s: float) -> float:
        """Return the share of its normal load that an upstream may receive.

        The weight is 0 during an ejection, then rises to 1 over the ramp.
        """
        record = self._records.get(upstream)
        if record is None or record.ejections == 0:
            return 1.0
        if now_s < record.ejected_until_s:
            return 0.0
        progress = (now_s - record.ejected_until_s) / self._policy.ramp_s
        initial_share = self._policy.initial_share
        return min(1.0, initial_share + (1.0 - initial_share) * progress)

    def returning(self) -> tuple[UpstreamId, ...]:
        """Return the upstreams with an ejection on record, at any weight."""
        return tuple(
            upstream for upstream, record in self._records.items() if record.ejections
        )

    def forget(self, upstream: UpstreamId) -> None:
        """Delete the record of an upstream, for example one that was replaced."""
        self._records.pop(upstream, None)

"""Upstreams that are cold, as far as this instance knows."""

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from banyanswitch.components.forwarding.models import ForwardedService, UpstreamRecord
from banyanswitch.core import callback
from banyanswitch.decisions.upstream_limits import ColdLimit, ColdPolicy
from banyanswitch.identifiers import ServiceName, UpstreamId

LOGGER = structlog.get_logger(__name__)
Start = tuple[UpstreamId, int]
"""Name and start time of an upstream, in ms; a restarted upstream is another one."""


@dataclass(slots=True)
class _Cold:
    service: ServiceName
    until_s: float


class ColdUpstreams:
    """Keep how long upstreams stay cold, and their limits meanwhile.

    Parameters
    ----------
    policy : ColdPolicy
        Bound on the requests of any second.
    service_of : callable
        Returns a service of the active configuration; without a configuration or a cold
        rate, none of its upstreams is cold.
    """

    def __init__(
        self,
        policy: ColdPolicy,
        service_of: Callable[[ServiceName], ForwardedService | None],
    ) -> None:
        self._policy = policy
        self._service_of = service_of
        self._cold: dict[Start, _Cold] = {}
        # The last limit that was computed, which all upstreams of a service share.
        self._limit: ColdLimit | None = None

    @callback
    def note_entry(self, record: UpstreamRecord, now_s: float) -> None:
        """Record what an upstream's entry, which has just been read, says."""
        start = (record.name, record.started_at_ms)
        if record.cold_remaining_s > 0.0:
            self._note(record, now_s + record.cold_remaining_s, now_s)
        elif start in self._cold:
            self._end(start, "entry")

    @callback
    def assume_cold(self, record: UpstreamRecord, now_s: float) -> None:
        """Take an upstream for cold until its next entry, for `cold_s` at most."""
        service = self._service_of(record.service)
        if service is not None and service.cold_s > 0.0:
            self._note(record, now_s + service.cold_s, now_s)

    @property
    def has_any(self) -> bool:
        """Whether an upstream may be cold."""
        return bool(self._cold)

    @callback
    def forget(self, record: UpstreamRecord) -> None:
        """Drop a start of an upstream that has ended."""
        self._cold.pop((record.name, record.started_at_ms), None)

    @callback
    def limit(self, record: UpstreamRecord, now_s: float) -> ColdLimit | None:
        """Return the limit of an upstream while it is cold, ``None`` if it is warm."""
        if not self._cold:
            return None
        known = self._cold.get((record.name, record.started_at_ms))
        if known is None or now_s >= known.until_s:
            return None
        rate_per_s = self._rate_per_s(record.service)
        if rate_per_s <= 0.0:
            return None
        if self._limit is None or self._limit.rate_per_s != rate_per_s:
            self._limit = ColdLimit(rate_per_s, self._policy.bound(rate_per_s))
        return self._limit

    @callback
    def is_known(self, start: Start) -> bool:
        """Return whether a start of an upstream is kept as a cold one."""
        return start in self._cold

    @callback
    def count(self, now_s: float) -> int:
        """Return the number of cold upstreams."""
        return sum(
            now_s < known.until_s and self._rate_per_s(known.service) > 0.0
            for known in self._cold.values()
        )

    @callback
    def forget_warm(self, now_s: float) -> None:
        """Drop the upstreams whose time has passed."""
        for start, known in tuple(self._cold.items()):
            if now_s >= known.until_s:
                self._end(start, "time")

    def _note(self, record: UpstreamRecord, until_s: float, now_s: float) -> None:
        start = (record.name, record.started_at_ms)
        if start not in self._cold and self._rate_per_s(record.service) > 0.0:
            LOGGER.info(
                "upstream_cold",
                upstream=record.name,
                failure_domain=record.failure_domain,
                remaining_s=round(until_s - now_s, 3),
                limit_per_s=self._rate_per_s(record.service),
            )
        self._cold[start] = _Cold(record.service, until_s)

    def _end(self, start: Start, reason: str) -> None:
        known = self._cold.pop(start)
        if self._rate_per_s(known.service) > 0.0:
            LOGGER.info("upstream_warm", upstream=start[0], reason=reason)

    def _rate_per_s(self, name: ServiceName) -> float:
        service = self._service_of(name)
        if service is None or service.cold_s <= 0.0:
            return 0.0
        return service.cold_per_s

"""Pool of upstream views, updated from configuration and load reports."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from banyanswitch.components.upstream_load.models import UpstreamLoadChanged
from banyanswitch.config.models import Service, Upstream
from banyanswitch.core import Kernel, callback
from banyanswitch.decisions.swap_order import choose_version
from banyanswitch.decisions.upstream_pool import UpstreamPool, UpstreamView
from banyanswitch.identifiers import ServiceName, UpstreamId, WeightVersion
from banyanswitch.interfaces import (
    ConfigurationChanged,
    ConfigurationView,
    UpstreamDirectory,
    UpstreamLoad,
)

REFRESH_INTERVAL_S = 0.25
UPSTREAMS_PER_REFRESH = 32
"""Maximum number of views that the refresh updates per `REFRESH_INTERVAL_S`.

It keeps the work per second independent of the number of upstreams.
"""

SERVICE_IDLE_TIMEOUT_S = 60.0
"""Time without requests after which a service is no longer tracked."""

MAX_REDUCED_SHARE = 0.5
"""Maximum share of a service's upstreams with reduced weight at a time."""


@dataclass(slots=True)
class _TrackedService:
    """State of one tracked service."""

    upstreams: set[UpstreamId] = field(default_factory=set)
    versions: set[WeightVersion] = field(default_factory=set)
    used_at_s: float = 0.0


class UpstreamPools:
    """Keep the upstream views of the services that this instance serves up to date.

    A service is tracked from its first request until it has had no request for
    `SERVICE_IDLE_TIMEOUT_S`, so an instance does not need the load reports of all
    upstreams.

    Parameters
    ----------
    kernel : Kernel
        Source of the configuration, load reports and bus messages.

    Attributes
    ----------
    pool : UpstreamPool
        Views of the upstreams of the tracked services.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.pool = UpstreamPool()
        self._configuration = kernel.require(ConfigurationView)
        self._directory = kernel.require(UpstreamDirectory)
        self._weights: dict[UpstreamId, float] = {}
        self._tracked: dict[ServiceName, _TrackedService] = {}
        kernel.bus.subscribe(ConfigurationChanged, self._on_configuration_changed)
        kernel.bus.subscribe(UpstreamLoadChanged, self._on_load_changed)
        kernel.create_task(self._async_refresh(), "refresh upstream views")

    @callback
    def track_service(self, service: Service, now_s: float) -> None:
        """Track a service because of a request for it."""
        tracked = self._tracked.get(service.name)
        if tracked is None:
            tracked = self._tracked[service.name] = _TrackedService()
            self._refresh_service(service.name, tracked)
        tracked.used_at_s = now_s

    @callback
    def can_reduce_weight(self, upstream: UpstreamId) -> bool:
        """Return whether the weight of an upstream may be below 1.

        At most `MAX_REDUCED_SHARE` of a service's upstreams have a reduced weight, so
        that failures never leave a service without upstreams. The result
        is false if the service is not tracked.
        """
        declared = self._configuration.upstream(upstream)
        tracked = self._tracked.get(declared.service) if declared else None
        if tracked is None:
            return False
        others = sum(
            1
            for name in tracked.upstreams
            if name != upstream and self._weights.get(name, 1.0) < 1.0
        )
        return others + 1 <= MAX_REDUCED_SHARE * len(tracked.upstreams)

    @callback
    def set_weight(self, upstream: UpstreamId, weight: float) -> None:
        """Set the share of its normal load that an upstream receives; 0 ejects it."""
        self._weights[upstream] = weight
        self._refresh(upstream)

    @callback
    def serving_version(self, service: Service, key: str) -> WeightVersion | None:
        """Return the weight version to which a new request is pinned.

        Parameters
        ----------
        key : str
            Identifies requests that should use the same version during a swap, such
            as a conversation.
        """
        declared = service.weight_version
        tracked = self._tracked.get(service.name)
        if declared is None or tracked is None:
            return declared
        serving = {
            version: len(self.pool.accepting(service.name, version))
            for version in tracked.versions
        }
        return choose_version(key, declared, serving) or declared

    async def _async_refresh(self) -> None:
        loop = asyncio.get_running_loop()
        pending: deque[UpstreamId] = deque()
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            self._remove_idle_services(loop.time())
            if not pending:
                for tracked in self._tracked.values():
                    pending.extend(sorted(tracked.upstreams))
            for _ in range(min(UPSTREAMS_PER_REFRESH, len(pending))):
                self._refresh(pending.popleft())

    @callback
    def _on_configuration_changed(self, _message: ConfigurationChanged) -> None:
        for name, tracked in self._tracked.items():
            self._refresh_service(name, tracked)

    @callback
    def _on_load_changed(self, message: UpstreamLoadChanged) -> None:
        self._refresh(UpstreamId(message.upstream))

    def _remove_idle_services(self, now_s: float) -> None:
        for name, tracked in tuple(self._tracked.items()):
            if now_s - tracked.used_at_s < SERVICE_IDLE_TIMEOUT_S:
                continue
            del self._tracked[name]
            for upstream in tracked.upstreams:
                self.pool.remove(upstream)

    def _refresh_service(self, name: ServiceName, tracked: _TrackedService) -> None:
        service = self._configuration.service(name)
        declared: set[UpstreamId] = set()
        if service is not None:
            for upstream in self._configuration.upstreams(name):
                declared.add(upstream.name)
                self._update_view(upstream, service, tracked)
        for removed in tracked.upstreams - declared:
            self.pool.remove(removed)
        tracked.upstreams = declared

    def _refresh(self, name: UpstreamId) -> None:
        upstream = self._configuration.upstream(name)
        if upstream is None:
            return
        service = self._configuration.service(upstream.service)
        tracked = self._tracked.get(upstream.service)
        if service is None or tracked is None:
            return
        tracked.upstreams.add(name)
        self._update_view(upstream, service, tracked)

    def _update_view(
        self, upstream: Upstream, service: Service, tracked: _TrackedService
    ) -> None:
        weight = self._weights.get(upstream.name, 1.0)
        is_accepting = weight > 0 and self._directory.is_accepting(upstream.name)
        load = self._directory.load(upstream.name)
        if load is None:
            load = _assumed_load(upstream, service)
        if load.weight_version is not None:
            tracked.versions.add(load.weight_version)
        self.pool.update(_make_view(upstream, load, weight, is_accepting))


def _assumed_load(upstream: Upstream, service: Service) -> UpstreamLoad:
    return UpstreamLoad(
        upstream=upstream.name,
        running_requests=0,
        queued_requests=0,
        queued_prefill_tokens=0,
        weight_version=service.weight_version,
        is_leaving=False,
        is_loading=False,
        received_at_s=0.0,
    )


def _make_view(
    upstream: Upstream, load: UpstreamLoad, weight: float, is_accepting: bool
) -> UpstreamView:
    return UpstreamView(
        upstream=upstream.name,
        service=upstream.service,
        failure_domain=upstream.failure_domain,
        weight_version=load.weight_version,
        slots=upstream.slots,
        prefill_tokens_per_s=upstream.prefill_tokens_per_s,
        is_accepting=is_accepting,
        running_requests=load.running_requests,
        queued_requests=load.queued_requests,
        queued_prefill_tokens=load.queued_prefill_tokens,
        reported_at_s=load.received_at_s,
        weight=weight,
    )

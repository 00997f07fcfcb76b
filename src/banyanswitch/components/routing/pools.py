"""Pool of upstreams, kept up to date from configuration and load reports."""

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
"""Views renewed at a time, so that the work does not grow with the upstreams."""

FOLLOW_S = 60.0
MAX_REDUCED_SHARE = 0.5
"""Share of a service's upstreams that may be ejected or return at a time."""


@dataclass(slots=True)
class _FollowedService:
    """State of one followed service."""

    upstreams: set[UpstreamId] = field(default_factory=set)
    versions: set[WeightVersion] = field(default_factory=set)
    used_at_s: float = 0.0


class UpstreamPools:
    """Keep the views of upstreams of the services that this instance serves.

    A service is followed from its first request until none came for a while, so an
    instance does not need the load reports of all upstreams.

    Parameters
    ----------
    kernel : Kernel
        Source of configuration, load reports and messages.

    Attributes
    ----------
    pool : UpstreamPool
        Views of the upstreams of the followed services.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.pool = UpstreamPool()
        self._configuration = kernel.require(ConfigurationView)
        self._directory = kernel.require(UpstreamDirectory)
        self._weights: dict[UpstreamId, float] = {}
        self._followed: dict[ServiceName, _FollowedService] = {}
        kernel.bus.subscribe(ConfigurationChanged, self._on_configuration_changed)
        kernel.bus.subscribe(UpstreamLoadChanged, self._on_load_changed)
        kernel.create_task(self._async_refresh(), "refresh upstream views")

    @callback
    def track_service(self, service: Service, now_s: float) -> None:
        """Note a request for a service."""
        followed = self._followed.get(service.name)
        if followed is None:
            followed = self._followed[service.name] = _FollowedService()
            self._refresh_service(service.name, followed)
        followed.used_at_s = now_s

    @callback
    def may_reduce(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream can do without its full share of work.

        At most `MAX_REDUCED_SHARE` of a service's upstreams are kept from work, so
        that failures never leave a service without upstreams.
        """
        declared = self._configuration.upstream(upstream)
        followed = self._followed.get(declared.service) if declared else None
        if followed is None:
            return False
        others = sum(
            1
            for name in followed.upstreams
            if name != upstream and self._weights.get(name, 1.0) < 1.0
        )
        return others + 1 <= MAX_REDUCED_SHARE * len(followed.upstreams)

    @callback
    def set_weight(self, upstream: UpstreamId, weight: float) -> None:
        """Set the share of normal work for an upstream; 0 ejects it."""
        self._weights[upstream] = weight
        self._refresh(upstream)

    @callback
    def serving_version(self, service: Service, key: str) -> WeightVersion | None:
        """Return the version on which a new request runs.

        Parameters
        ----------
        key : str
            Names what should stay on one version during a swap.
        """
        declared = service.weight_version
        followed = self._followed.get(service.name)
        if declared is None or followed is None:
            return declared
        serving = {
            version: len(self.pool.accepting(service.name, version))
            for version in followed.versions
        }
        return choose_version(key, declared, serving) or declared

    async def _async_refresh(self) -> None:
        loop = asyncio.get_running_loop()
        pending: deque[UpstreamId] = deque()
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            self._forget_unused(loop.time())
            if not pending:
                for followed in self._followed.values():
                    pending.extend(sorted(followed.upstreams))
            for _ in range(min(UPSTREAMS_PER_REFRESH, len(pending))):
                self._refresh(pending.popleft())

    @callback
    def _on_configuration_changed(self, _message: ConfigurationChanged) -> None:
        for name, followed in self._followed.items():
            self._refresh_service(name, followed)

    @callback
    def _on_load_changed(self, message: UpstreamLoadChanged) -> None:
        self._refresh(UpstreamId(message.upstream))

    def _forget_unused(self, now_s: float) -> None:
        for name, followed in tuple(self._followed.items()):
            if now_s - followed.used_at_s < FOLLOW_S:
                continue
            del self._followed[name]
            for upstream in followed.upstreams:
                self.pool.remove(upstream)

    def _refresh_service(self, name: ServiceName, followed: _FollowedService) -> None:
        service = self._configuration.service(name)
        declared: set[UpstreamId] = set()
        if service is not None:
            for upstream in self._configuration.upstreams(name):
                declared.add(upstream.name)
                self._put(upstream, service, followed)
        for gone in followed.upstreams - declared:
            self.pool.remove(gone)
        followed.upstreams = declared

    def _refresh(self, name: UpstreamId) -> None:
        upstream = self._configuration.upstream(name)
        if upstream is None:
            return
        service = self._configuration.service(upstream.service)
        followed = self._followed.get(upstream.service)
        if service is None or followed is None:
            return
        followed.upstreams.add(name)
        self._put(upstream, service, followed)

    def _put(
        self, upstream: Upstream, service: Service, followed: _FollowedService
    ) -> None:
        weight = self._weights.get(upstream.name, 1.0)
        is_accepting = weight > 0 and self._directory.is_accepting(upstream.name)
        load = self._directory.load(upstream.name)
        if load is None:
            load = _assumed_load(upstream, service)
        if load.weight_version is not None:
            followed.versions.add(load.weight_version)
        self.pool.update(_view_with_report(upstream, load, weight, is_accepting))


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


def _view_with_report(
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

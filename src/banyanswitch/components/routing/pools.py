"""Pool of upstreams, kept up to date from configuration and load reports."""

from banyanswitch.config.models import Service, Upstream
from banyanswitch.core import Kernel, callback
from banyanswitch.decisions.upstream_pool import UpstreamPool, UpstreamView
from banyanswitch.identifiers import ServiceName, UpstreamId, WeightVersion
from banyanswitch.interfaces import (
    ConfigurationChanged,
    ConfigurationView,
    UpstreamDirectory,
    UpstreamLoad,
    UpstreamLoadChanged,
)


class UpstreamPools:
    """Keep the pool that placement reads.

    Parameters
    ----------
    kernel : Kernel
        Source of configuration, load reports and messages.

    Attributes
    ----------
    pool : UpstreamPool
        Views of the upstreams of all services.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.pool = UpstreamPool()
        self._configuration = kernel.require(ConfigurationView)
        self._directory = kernel.require(UpstreamDirectory)
        self._weights: dict[UpstreamId, float] = {}
        self._known: set[UpstreamId] = set()
        self._versions: dict[ServiceName, set[WeightVersion]] = {}
        kernel.bus.subscribe(ConfigurationChanged, self._on_configuration_changed)
        kernel.bus.subscribe(UpstreamLoadChanged, self._on_load_changed)
        self._rebuild()

    @callback
    def set_weight(self, upstream: UpstreamId, weight: float) -> None:
        """Set the share of normal work for an upstream; 0 ejects it."""
        self._weights[upstream] = weight
        self._refresh(upstream)

    @callback
    def serving_version(self, service: Service) -> WeightVersion | None:
        """Return the version on which new requests run.

        The declared version goes first; until an upstream serves it, requests go to
        the version that most upstreams serve.
        """
        declared = service.weight_version
        if declared is None or self._accepting_count(service.name, declared):
            return declared
        versions = self._versions.get(service.name)
        if not versions:
            return declared
        return max(
            sorted(versions),
            key=lambda version: self._accepting_count(service.name, version),
        )

    def _accepting_count(self, service: ServiceName, version: WeightVersion) -> int:
        return len(self.pool.accepting(service, version))

    @callback
    def _on_configuration_changed(self, _message: ConfigurationChanged) -> None:
        self._rebuild()

    @callback
    def _on_load_changed(self, message: UpstreamLoadChanged) -> None:
        self._refresh(message.load.upstream)

    def _rebuild(self) -> None:
        declared: set[UpstreamId] = set()
        for service in self._configuration.services():
            for upstream in self._configuration.upstreams(service.name):
                declared.add(upstream.name)
                self.pool.update(self._view(upstream))
        for name in self._known - declared:
            self.pool.remove(name)
        self._known = declared

    def _refresh(self, name: UpstreamId) -> None:
        upstream = self._configuration.upstream(name)
        if upstream is None:
            return
        self._known.add(name)
        self.pool.update(self._view(upstream))

    def _view(self, upstream: Upstream) -> UpstreamView:
        load = self._directory.load(upstream.name)
        if load is None:
            return _view_without_report(upstream)
        if load.weight_version is not None:
            versions = self._versions.setdefault(upstream.service, set())
            versions.add(load.weight_version)
        weight = self._weights.get(upstream.name, 1.0)
        is_accepting = weight > 0 and self._directory.is_accepting(upstream.name)
        return _view_with_report(upstream, load, weight, is_accepting)


def _view_without_report(upstream: Upstream) -> UpstreamView:
    return UpstreamView(
        upstream=upstream.name,
        service=upstream.service,
        failure_domain=upstream.failure_domain,
        weight_version=None,
        slots=upstream.slots,
        prefill_tokens_per_s=upstream.prefill_tokens_per_s,
        is_accepting=False,
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

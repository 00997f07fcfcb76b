"""Decoding of the rows that operators and upstreams write to the store."""

from typing import TypeVar

import msgspec
import structlog

from banyanswitch.components.forwarding.models import (
    EngineProfile,
    ForwardedService,
    ForwardedWorkspace,
    ForwardingConfiguration,
    KvStoreNode,
    Repeatability,
    Route,
    ServiceShare,
    UpstreamRecord,
)
from banyanswitch.components.forwarding.record_check import is_fit
from banyanswitch.components.http1.models import ConnectionLimits
from banyanswitch.helpers.decoding import DECODING_ERRORS
from banyanswitch.identifiers import (
    FailureDomainId,
    ServiceName,
    StoreId,
    UpstreamId,
    WorkspaceId,
)
from banyanswitch.platform import cold_values
from banyanswitch.platform.const import (
    KEY_EVACUATION_PREFIX,
    KEY_WEIGHTS_PREFIX,
    KIND_IDEMPOTENT,
    KIND_STREAMING,
    MILLISECONDS_PER_S,
    STATE_DRAINING,
    STATE_READY,
)

LOGGER = structlog.get_logger(__name__)
DocumentT = TypeVar("DocumentT")


class _TrafficShare(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeoutMs: float  # noqa: N815
    targetLatencyMs: float = 1000.0  # noqa: N815
    priority: int = 0
    service: str = ""
    trafficSplit: list[_TrafficShare] = []  # noqa: N815
    maxAttempts: int = 1  # noqa: N815
    public: bool = False
    resumable: bool = False


class _Model(msgspec.Struct, frozen=True):
    name: str


class _Engine(msgspec.Struct, frozen=True):
    slots: int
    kvCapacityTokens: int  # noqa: N815
    kvTokenBytes: int = 0  # noqa: N815
    models: list[_Model] = []


class _Service(msgspec.Struct, frozen=True):
    name: str
    maxConnections: int = 64  # noqa: N815
    engine: _Engine | None = None
    coldS: msgspec.Raw = cold_values.NO_NUMBER  # noqa: N815
    coldPerS: msgspec.Raw = cold_values.NO_NUMBER  # noqa: N815
    # Only set for a KV store, which is listed as a service without upstreams.
    kvStoreAddress: str = ""  # noqa: N815
    zone: str = ""
    kvCapacityTokens: int = 0  # noqa: N815
    bandwidthMbps: float = 0.0  # noqa: N815
    # For a KV store: limit of concurrent event calls, not of requests.
    maxConcurrency: int = 0  # noqa: N815
    managed: bool = False
    first_ms: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    maxHeaderBytes: int  # noqa: N815
    maxBodyBytes: int  # noqa: N815
    headerTimeoutMs: float  # noqa: N815
    idleTimeoutMs: float  # noqa: N815


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    apiKeys: list[str] = []  # noqa: N815
    priority: int | None = None
    isolated: bool = False


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits | None = None
    tenants: list[_Tenant] = []


class _TargetWeights(msgspec.Struct, frozen=True):
    model: str
    version: int


class _LoadedModel(msgspec.Struct, frozen=True):
    name: str
    version: int


class _UpstreamEntry(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    # Version of the upstream's software, not of its weights.
    version: str
    slots: int
    state: str
    # Sequence number of the entry; in a model server's report (`_Report` of engines.py)
    # the field of this name counts accepted orders.
    sequence: int
    # Unix time at which the upstream started, in milliseconds.
    born: int
    coldRemainingMs: msgspec.Raw = cold_values.NO_NUMBER  # noqa: N815
    models: list[_LoadedModel] = []


class RowDecoder:
    """Implementation of ``DocumentDecoder`` for the platform's rows."""

    def configuration(self, value: bytes) -> ForwardingConfiguration | None:
        """Decode a configuration; return ``None`` if the row is invalid."""
        document = _decode(value, _Configuration, "configuration")
        if document is None:
            return None
        services = [item for item in document.services if not item.kvStoreAddress]
        stores = [item for item in document.services if item.kvStoreAddress]
        return ForwardingConfiguration(
            version=document.version,
            routes=tuple(_route(route) for route in document.routes),
            services={ServiceName(item.name): _service(item) for item in services},
            stores=tuple(_store(store) for store in stores),
            workspaces=tuple(_workspace(tenant) for tenant in document.tenants),
            limits=_limits(document.limits),
        )

    def target_weights(self, key: str, value: bytes) -> tuple[str, int] | None:
        """Return a model and its target weight version.

        Returns ``None`` if the row is of another kind or invalid.
        """
        if not key.startswith(KEY_WEIGHTS_PREFIX):
            return None
        document = _decode(value, _TargetWeights, key)
        return None if document is None else (document.model, document.version)

    def evacuated_domain(self, key: str) -> FailureDomainId | None:
        """Return the failure domain that a row evacuates, whatever its value is.

        Returns ``None`` if the row is of another kind.
        """
        if not key.startswith(KEY_EVACUATION_PREFIX):
            return None
        domain = key.removeprefix(KEY_EVACUATION_PREFIX)
        return FailureDomainId(domain) if domain else None

    def upstream(self, key: str, value: bytes) -> UpstreamRecord | None:
        """Decode an upstream's entry.

        Returns ``None`` if the entry is invalid or the upstream is not in service.
        """
        entry = _decode(value, _UpstreamEntry, key)
        if entry is None or entry.state not in (STATE_READY, STATE_DRAINING):
            return None
        record = UpstreamRecord(
            name=UpstreamId(key),
            service=ServiceName(entry.service),
            address=entry.address,
            failure_domain=FailureDomainId(entry.zone),
            slots=entry.slots,
            is_leaving=entry.state == STATE_DRAINING,
            weight_versions={model.name: model.version for model in entry.models},
            started_at_ms=entry.born,
            sequence=entry.sequence,
            software_version=entry.version,
            cold_remaining_s=cold_values.remaining_s(entry.coldRemainingMs, key),
        )
        return record if is_fit(record) else None


def _decode(
    value: bytes, document_type: type[DocumentT], place: str
) -> DocumentT | None:
    try:
        return msgspec.json.decode(value, type=document_type)
    except DECODING_ERRORS as error:
        LOGGER.warning("row_unreadable", row=place, reason=str(error))
        return None


def _route(route: _Route) -> Route:
    shares = [
        ServiceShare(ServiceName(s.service), s.weight) for s in route.trafficSplit
    ]
    if route.service:
        shares.append(ServiceShare(ServiceName(route.service), 1.0))
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        shares=tuple(shares),
        repeatability=_repeatability(route),
        timeout_s=route.timeoutMs / MILLISECONDS_PER_S,
        target_latency_s=route.targetLatencyMs / MILLISECONDS_PER_S,
        rank=route.priority,
        max_attempts=max(1, route.maxAttempts),
        is_public=route.public,
        is_streaming=route.kind == KIND_STREAMING,
    )


def _repeatability(route: _Route) -> Repeatability:
    if route.kind == KIND_IDEMPOTENT:
        return Repeatability.REPEATABLE
    if route.kind == KIND_STREAMING and route.resumable:
        return Repeatability.RESUMABLE_STREAM
    return Repeatability.ONCE


def _service(service: _Service) -> ForwardedService:
    engine = None
    if service.engine is not None:
        engine = EngineProfile(
            slots=service.engine.slots,
            capacity_tokens=service.engine.kvCapacityTokens,
            token_bytes=service.engine.kvTokenBytes,
            models=tuple(model.name for model in service.engine.models),
        )
    return ForwardedService(
        name=ServiceName(service.name),
        max_connections=service.maxConnections,
        engine=engine,
        cold_s=cold_values.duration_s(service.coldS, service.name),
        cold_per_s=cold_values.rate_per_s(service.coldPerS, service.name),
    )


def _store(store: _Service) -> KvStoreNode:
    return KvStoreNode(
        name=StoreId(store.name),
        address=store.kvStoreAddress,
        failure_domain=FailureDomainId(store.zone),
        capacity_tokens=store.kvCapacityTokens,
        bandwidth_mbps=store.bandwidthMbps,
        first_byte_s=store.first_ms / MILLISECONDS_PER_S,
        max_event_readers=store.maxConcurrency,
        is_managed=store.managed,
    )


def _workspace(tenant: _Tenant) -> ForwardedWorkspace:
    return ForwardedWorkspace(
        name=WorkspaceId(tenant.name),
        keys=frozenset(tenant.apiKeys),
        rank=tenant.priority,
        is_isolated=tenant.isolated,
    )


def _limits(limits: _Limits | None) -> ConnectionLimits:
    if limits is None:
        return ConnectionLimits()
    return ConnectionLimits(
        max_header_bytes=limits.maxHeaderBytes,
        max_body_bytes=limits.maxBodyBytes,
        header_timeout_s=limits.headerTimeoutMs / MILLISECONDS_PER_S,
        idle_timeout_s=limits.idleTimeoutMs / MILLISECONDS_PER_S,
    )

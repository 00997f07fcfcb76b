"""Immutable objects of a configuration, as written by operators."""

from dataclasses import dataclass, field
from enum import Enum

from banyanswitch.const import DEFAULT_PIECE_TOKENS
from banyanswitch.identifiers import (
    FailureDomainId,
    ServiceName,
    StoreId,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

SCHEMA_VERSION = 1
DEFAULT_PIECE_SIZE_BYTES = 256_000_000


class ServiceKind(Enum):
    """Type of the upstreams of a service."""

    MODEL = "model"
    PLAIN = "plain"


class Priority(Enum):
    """Priority of requests; the members are served in this order."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@dataclass(frozen=True, slots=True, kw_only=True)
class SwapPolicy:
    """Limits on weight swaps of one model service.

    Parameters
    ----------
    loads_at_once : int
        Maximum number of upstreams that load weights at the same time.
    load_s : float
        Time that one upstream needs to load weights, in seconds.
    min_serving_share : float
        Share of upstreams that must continue to serve, from 0 to 1.
    order_lifetime_s : float
        Time after which an upstream must refuse an order, in seconds.
    """

    loads_at_once: int = 2
    load_s: float = 1.0
    min_serving_share: float = 0.5
    order_lifetime_s: float = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ReusePolicy:
    """Cost weights for time to first token, recomputation and link use.

    Parameters
    ----------
    first_token_weight : float
        Cost per second of time to first token.
    recompute_weight : float
        Cost per second of engine time spent on tokens that were computed before.
    link_weight : float
        Cost per second of link time.
    """

    first_token_weight: float = 1.0
    recompute_weight: float = 0.2
    link_weight: float = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A model service or a plain service.

    Parameters
    ----------
    weight_version : str, optional
        Version that new requests must run on; ``None`` for plain services.
    piece_size_bytes : int
        Size of the KV cache of one piece in bytes, used to plan link use.
    """

    name: ServiceName
    kind: ServiceKind
    weight_version: WeightVersion | None = None
    piece_tokens: int = DEFAULT_PIECE_TOKENS
    piece_size_bytes: int = DEFAULT_PIECE_SIZE_BYTES
    max_prompt_tokens: int = 400_000
    first_token_target_s: float = 0.54
    request_timeout_s: float = 600.0
    swap: SwapPolicy = field(default_factory=SwapPolicy)
    reuse: ReusePolicy = field(default_factory=ReusePolicy)


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on the use of the system by one workspace."""

    requests_per_s: float = 20.0
    concurrent_requests: int = 64
    link_share: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A customer, with the SHA-256 digests of its bearer keys in hexadecimal."""

    name: WorkspaceId
    key_digests: tuple[str, ...]
    limits: Limits = field(default_factory=Limits)
    priority: Priority = Priority.INTERACTIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """Back end: one engine of a model service, or one plain server.

    Parameters
    ----------
    checks_fencing : bool
        Whether the upstream rejects an order with an older fencing token.
    slots : int
        Number of requests that the upstream runs at the same time.
    """

    name: UpstreamId
    service: ServiceName
    url: str
    failure_domain: FailureDomainId
    checks_fencing: bool = True
    slots: int = 8
    prefill_tokens_per_s: float = 8000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class KvStore:
    """Store that keeps KV cache in memory and on disk."""

    name: StoreId
    url: str
    failure_domain: FailureDomainId
    memory_bytes: int
    disk_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Link:
    """Link between a store and the upstreams.

    Parameters
    ----------
    background_share : float
        Share of the bandwidth that exports and prefetches may use, from 0 to 1.
    """

    store: StoreId
    bytes_per_s: float
    background_share: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightRelease:
    """A weight version that upstreams of a service can load."""

    service: ServiceName
    version: WeightVersion
    source: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Retention:
    """Retention periods of records.

    Parameters
    ----------
    idempotency_s : float
        Time for which an idempotency key is valid, in seconds.
    audit_s : float
        Time for which audit records are kept, in seconds.
    """

    idempotency_s: float = 86_400.0
    audit_s: float = 31_536_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One complete configuration document."""

    schema_version: int = SCHEMA_VERSION
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    stores: tuple[KvStore, ...] = ()
    links: tuple[Link, ...] = ()
    releases: tuple[WeightRelease, ...] = ()
    retention: Retention = field(default_factory=Retention)

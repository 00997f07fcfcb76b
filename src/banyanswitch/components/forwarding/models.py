"""Data models of routes, services, upstreams, requests and responses."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from banyanswitch.components.http1.models import ConnectionLimits
from banyanswitch.identifiers import (
    FailureDomainId,
    ServiceName,
    StoreId,
    UpstreamId,
    WorkspaceId,
)


class Repeatability(Enum):
    """Whether and how a request may be run more than once."""

    REPEATABLE = "repeatable"
    RESUMABLE_STREAM = "resumable_stream"
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight of a service in the traffic split of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Routing of the requests with one host and path prefix.

    Parameters
    ----------
    rank : int
        Priority; 0 is the highest.
    timeout_s : float
        Maximum time to handle a request, in seconds.
    max_attempts : int
        Maximum number of upstreams that one request is sent to.
    is_streaming : bool
        Whether responses are event streams.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    repeatability: Repeatability
    timeout_s: float
    target_latency_s: float
    rank: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_streaming: bool = False

    @property
    def is_call_once(self) -> bool:
        """Whether the requests are calls, not streams, that must not run twice."""
        return self.repeatability is Repeatability.ONCE and not self.is_streaming


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Capacity of each upstream of a model service.

    Parameters
    ----------
    slots : int
        Number of requests that run concurrently.
    capacity_tokens : int
        Memory for running requests and cached prompt parts, in tokens.
    token_bytes : int
        Size of one token's KV cache in memory and on links, in bytes.
    """

    slots: int
    capacity_tokens: int
    token_bytes: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedService:
    """Target service of routes.

    Parameters
    ----------
    engine : EngineProfile or None
        Profile of the model engines; ``None`` for a plain service.
    cold_s : float
        Time for which an upstream is cold after its start, in seconds; 0 for never.
    cold_per_s : float
        Requests per second that a cold upstream can handle; 0 if none is ever cold.
    """

    name: ServiceName
    max_connections: int
    engine: EngineProfile | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class KvStoreNode:
    """Store of KV cache parts.

    Parameters
    ----------
    address : str
        Host and port.
    capacity_tokens : int
        Capacity, in tokens.
    first_byte_s : float
        Latency before each transfer starts, in seconds.
    max_event_readers : int
        Maximum number of concurrent event requests.
    is_managed : bool
        Whether it frees parts only on request.
    """

    name: StoreId
    address: str
    failure_domain: FailureDomainId
    capacity_tokens: int
    bandwidth_mbps: float
    first_byte_s: float
    max_event_readers: int
    is_managed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedWorkspace:
    """Workspace with the API keys of its callers.

    Parameters
    ----------
    rank : int or None
        Priority of all its requests, which takes precedence over that of the route.
    is_isolated : bool
        Whether it shares no cached prompt parts with other workspaces.
    """

    name: WorkspaceId
    keys: frozenset[str]
    rank: int | None = None
    is_isolated: bool = False


@dataclass(frozen=True, slots=True)
class ForwardingConfiguration:
    """One complete version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[ServiceName, ForwardedService] = field(default_factory=dict)
    stores: tuple[KvStoreNode, ...] = ()
    workspaces: tuple[ForwardedWorkspace, ...] = ()
    limits: ConnectionLimits = field(default_factory=ConnectionLimits)


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRecord:
    """Registration of an upstream in the store.

    Parameters
    ----------
    weight_versions : mapping of str to int
        Version of each model that it serves.
    started_at_ms : int
        Unix time of its start, in milliseconds; distinguishes two starts of an
        upstream under one identifier.
    sequence : int
        Number of the entry; increases with each entry of one start.
    software_version : str
        Version of its software. A stream that one version began can only be continued
        by the same version of the service.
    cold_remaining_s : float
        Time for which it stays cold after the entry is read, in seconds.
    """

    name: UpstreamId
    service: ServiceName
    address: str
    failure_domain: FailureDomainId
    slots: int
    is_leaving: bool
    weight_versions: Mapping[str, int]
    started_at_ms: int
    sequence: int = 0
    software_version: str = ""
    cold_remaining_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestMetadata:
    """Metadata of a request from the caller's headers.

    Parameters
    ----------
    attempt : bytes
        Identifier of this attempt, set by the caller.
    host : str
        Host header, without the port.
    time_left_s : float or None
        Time until the caller stops waiting, in seconds.
    parts : tuple of PromptPart
        Parts of the prompt, in order; the last one belongs to the request or its
        session.
    last_event : bytes or None
        Identifier of the last event that the caller has of a stream that it takes up
        again; ``None`` for a new request.
    resumes : bytes or None
        Attempt that brought the first event of that stream, if the caller names it.
    """

    attempt: bytes
    host: str
    key: str | None
    time_left_s: float | None
    model: str | None
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    last_event: bytes | None = None
    resumes: bytes | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequestPlan:
    """Data that is added to a request for one upstream.

    Parameters
    ----------
    expected_weights : int or None
        Only weight version on which the request may run.
    fetches : tuple of str
        Address to fetch each part from; an empty string for none.
    saves : tuple of str
        Address to save each part to; an empty string for none.
    fetch_until_ms : int or None
        Time on the upstreams' clock at which unfinished fetches are aborted, in
        milliseconds.
    resume_after : bytes or None
        Identifier of the last event that the caller received.
    """

    upstream: UpstreamId
    workspace: WorkspaceId | None
    time_left_s: float
    rank: int | None = None
    cache_salt: str | None = None
    expected_weights: int | None = None
    fetches: tuple[str, ...] = ()
    saves: tuple[str, ...] = ()
    fetch_until_ms: int | None = None
    resume_after: bytes | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseMetadata:
    """Metadata of a response from the upstream's headers.

    Parameters
    ----------
    is_signed : bool
        Whether the upstream certifies that it ran the request.
    is_not_run : bool
        Whether the upstream reports that it did not run the request.
    is_misdirected : bool
        Whether the request was meant for another upstream or weight version.
    answered_by : str or None
        Name of the upstream that responded, if given.
    load : tuple of int or None
        Number of running requests, of waiting requests and of slots.
    is_leaving : bool
        Whether the upstream says that it is about to leave.
    slowness : float or None
        Duration of work at the upstream relative to the usual one; ``None`` if it
        doesn't report it.
    limit_per_s : float or None
        Requests per second that the upstream takes from all instances together;
        ``None`` if it names no limit.
    """

    attempt: bytes | None
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    answered_by: str | None
    load: tuple[int, int, int] | None
    limit_per_s: float | None
    weight_version: int | None
    retry_after_s: float | None
    is_leaving: bool = False
    slowness: float | None = None

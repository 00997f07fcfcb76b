"""What forwarding knows: routes, services, upstreams, requests and answers."""

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
    """Whether and how a request may run again."""

    REPEATABLE = "repeatable"
    RESUMABLE_STREAM = "resumable_stream"
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that go to a service."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where the requests of one host and path prefix go.

    Parameters
    ----------
    rank : int
        Urgency; 0 goes first.
    timeout_s : float
        Longest time that a caller is kept waiting, in seconds.
    max_attempts : int
        Most upstreams that one request may be sent to.
    is_streaming : bool
        Whether answers are streams of events.
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


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """What the upstreams of a model service can hold.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    capacity_tokens : int
        Memory of running requests and cached parts, in tokens.
    token_bytes : int
        Size of one token in memory and on links, in bytes.
    """

    slots: int
    capacity_tokens: int
    token_bytes: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedService:
    """A service that routes lead to; plain if it has no engine."""

    name: ServiceName
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class KvStoreNode:
    """A store of KV cache.

    Parameters
    ----------
    address : str
        Host and port.
    capacity_tokens : int
        Room, in tokens.
    first_byte_s : float
        Time before each transfer starts, in seconds.
    max_event_readers : int
        Event calls that it holds open at once.
    is_managed : bool
        Whether it drops parts only when told.
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
    """A workspace with the keys of its callers.

    Parameters
    ----------
    rank : int or None
        Urgency of all its requests, before that of the route.
    is_isolated : bool
        Whether it shares no cached part with others.
    """

    name: WorkspaceId
    keys: frozenset[str]
    rank: int | None = None
    is_isolated: bool = False


@dataclass(frozen=True, slots=True)
class ForwardingConfiguration:
    """One whole version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[ServiceName, ForwardedService] = field(default_factory=dict)
    stores: tuple[KvStoreNode, ...] = ()
    workspaces: tuple[ForwardedWorkspace, ...] = ()
    limits: ConnectionLimits = field(default_factory=ConnectionLimits)


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRecord:
    """An upstream as it registered itself.

    Parameters
    ----------
    weight_versions : mapping of str to int
        Version of each model that it serves.
    started_at_ms : int
        Unix time of its start, in milliseconds; tells two lives of one id apart.
    """

    name: UpstreamId
    service: ServiceName
    address: str
    failure_domain: FailureDomainId
    slots: int
    is_leaving: bool
    weight_versions: Mapping[str, int]
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, in the order of the prompt."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestMetadata:
    """What a caller's headers say of its request.

    Parameters
    ----------
    attempt : bytes
        Identifier of this try of the caller.
    host : str
        Host that the request names, without a port.
    time_left_s : float or None
        How long the caller waits, in seconds.
    parts : tuple of PromptPart
        Parts of the prompt; the last belongs to the request or its session.
    """

    attempt: bytes
    host: str
    key: str | None
    time_left_s: float | None
    model: str | None
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequestPlan:
    """What the system adds to a request for one upstream.

    Parameters
    ----------
    expected_weights : int or None
        Weight version on which alone the request may run.
    fetches : tuple of str
        Address to fetch each part from, or an empty text.
    saves : tuple of str
        Address to save each part to, or an empty text.
    fetch_until_ms : int or None
        Time of the upstreams' clock at which unfinished fetches are dropped.
    resume_after : bytes or None
        Identifier of the last event that the caller has.
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
    """What an upstream's headers say of its answer.

    Parameters
    ----------
    is_signed : bool
        Whether the upstream vouches that it ran the request.
    is_not_run : bool
        Whether the upstream says that it did not run the request.
    is_misdirected : bool
        Whether another upstream, or one with other weights, was expected.
    answered_by : str or None
        Upstream that answered, if it says so.
    load : tuple of int or None
        Running requests, waiting requests and slots.
    """

    attempt: bytes | None
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    answered_by: str | None
    load: tuple[int, int, int] | None
    weight_version: int | None
    retry_after_s: float | None

"""Frozen views that decisions read and commands that they return."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from banyanswitch.config.models import Priority
from banyanswitch.identifiers import (
    FailureDomainId,
    PrefixHash,
    RunId,
    ServiceName,
    StoreId,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamView:
    """Last known state of one upstream.

    Parameters
    ----------
    is_accepting : bool
        Whether new work may go there: not leaving, not loading, not ejected.
    reported_at_s : float
        Loop time at which the load report reached this instance.
    """

    name: UpstreamId
    failure_domain: FailureDomainId
    weight_version: WeightVersion | None = None
    is_accepting: bool = True
    slots: int = 8
    prefill_tokens_per_s: float = 8000.0
    running_requests: int = 0
    queued_requests: int = 0
    queued_prefill_tokens: int = 0
    reported_at_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """What placement needs to know about a request.

    Parameters
    ----------
    weight_version : str or None
        Version pinned at admission; ``None`` for plain services.
    pieces : tuple of str
        Chained hashes of the whole pieces of the prompt, first piece first.
    prompt_tokens : int
        Length of the whole prompt, in tokens.
    deadline_s : float, optional
        Loop time by which the first token must be there.
    excluded : frozenset of str
        Upstreams that failed this request already.
    """

    run_id: RunId
    workspace: WorkspaceId
    service: ServiceName
    weight_version: WeightVersion | None
    pieces: tuple[PrefixHash, ...] = ()
    prompt_tokens: int = 0
    priority: Priority = Priority.INTERACTIVE
    deadline_s: float | None = None
    excluded: frozenset[UpstreamId] = frozenset()


class PlacementKind(Enum):
    """Where the cached part of a placed request comes from."""

    HOT = "hot"
    IMPORT = "import"
    RECOMPUTE = "recompute"


@dataclass(frozen=True, slots=True, kw_only=True)
class ImportOrder:
    """Order an upstream to import a stored prefix before the request is sent.

    Parameters
    ----------
    piece_count : int
        Leading pieces that are at hand after the import.
    size_bytes : int
        Bytes that cross the link.
    expected_s : float
        Expected time of the transfer, in seconds.
    """

    store: StoreId
    manifest: str
    piece_count: int
    size_bytes: int
    expected_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """Send the request to this upstream.

    Parameters
    ----------
    expected_first_token_s : float
        Expected time from now to the first token, in seconds.
    expected_cached_pieces : int
        Leading pieces that need no prefill, those of the import included.
    """

    upstream: UpstreamId
    kind: PlacementKind
    expected_first_token_s: float
    expected_cached_pieces: int
    import_order: ImportOrder | None = None


class RefusalCode(Enum):
    """Why a request is not served."""

    NO_UPSTREAM = "no_upstream"
    DEADLINE = "deadline"
    RATE_LIMITED = "rate_limited"
    TOO_MANY_CONCURRENT = "too_many_concurrent"
    OVERLOADED = "overloaded"


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller at once that the request has not run.

    Parameters
    ----------
    retry_after_s : float
        Time after which another try makes sense, in seconds.
    """

    code: RefusalCode
    detail: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class StoredPrefix:
    """A prefix that a KV store holds whole.

    Parameters
    ----------
    piece_count : int
        Leading pieces of the request that the manifest covers.
    piece_size_bytes : int
        Mean size of one piece, in bytes.
    """

    store: StoreId
    manifest: str
    piece_count: int
    piece_size_bytes: int


class StoredPrefixes(Protocol):
    """Prefixes at hand in stores."""

    def find(
        self,
        workspace: WorkspaceId,
        version: WeightVersion,
        pieces: Sequence[PrefixHash],
    ) -> StoredPrefix | None:
        """Return the longest stored prefix of these pieces."""


class TransferEstimates(Protocol):
    """What the links have left."""

    def expected_transfer_s(
        self, store: StoreId, workspace: WorkspaceId, size_bytes: int, now_s: float
    ) -> float | None:
        """Return the time an import would take now.

        ``None`` means that the store is not usable or the workspace's share of
        the link is spent.
        """

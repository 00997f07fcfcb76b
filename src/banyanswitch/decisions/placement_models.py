"""Request, policy and commands of placement."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from banyanswitch.config.models import Priority, ReusePolicy
from banyanswitch.const import DEFAULT_PIECE_TOKENS
from banyanswitch.identifiers import (
    PrefixHash,
    RunId,
    ServiceName,
    StoreId,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

DEFAULT_SAMPLES: Final = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """What placement needs to know of a request.

    Parameters
    ----------
    weight_version : str or None
        Version pinned at admission; ``None`` for plain services.
    piece_hashes : tuple of str
        Chained hashes of the prompt's whole pieces, from `prefix`.
    prompt_tokens : int
        Estimated length of the prompt, in tokens.
    deadline_s : float
        Time by which the first token must come.
    excluded : frozenset of str
        Upstreams that must not be chosen, such as those that failed it.
    has_waited : bool
        Whether it was promised a start and waited for it; then it is not refused
        because first tokens have come later than expected since.
    """

    run: RunId
    workspace: WorkspaceId
    service: ServiceName
    weight_version: WeightVersion | None
    piece_hashes: tuple[PrefixHash, ...] = ()
    prompt_tokens: int = 0
    piece_tokens: int = DEFAULT_PIECE_TOKENS
    priority: Priority = Priority.INTERACTIVE
    deadline_s: float = float("inf")
    excluded: frozenset[UpstreamId] = frozenset()
    reuse: ReusePolicy = field(default_factory=ReusePolicy)
    has_waited: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ImportFirst:
    """Command: import a stored prefix before the request is sent.

    Parameters
    ----------
    pieces : int
        Leading pieces that are at hand after the import.
    give_up_after_s : float
        Time after which the import is cancelled and the request sent without it.
    """

    store: StoreId
    manifest: str
    pieces: int
    size_bytes: int
    expected_s: float
    give_up_after_s: float = float("inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """Command: send the request to this upstream.

    Parameters
    ----------
    expected_first_token_s : float
        Expected time to first token from now, in seconds.
    expected_cached_pieces : int
        Leading pieces that need no prefill there, imported ones included.
    prefill_tokens : int
        Tokens that the upstream is expected to compute.
    """

    run: RunId
    upstream: UpstreamId
    expected_first_token_s: float
    expected_cached_pieces: int
    prefill_tokens: int
    piece_hashes: tuple[PrefixHash, ...] = ()
    import_first: ImportFirst | None = None
    priority: Priority = Priority.INTERACTIVE


class RefuseReason(Enum):
    """Why a request is not placed."""

    NO_UPSTREAM = "no_upstream"
    BUSY = "busy"
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Command: do not send the request.

    A ``BUSY`` request may wait in the admission queue; the other reasons are
    final.
    """

    run: RunId
    reason: RefuseReason
    retry_after_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementPolicy:
    """Settings of placement that are not per service.

    Parameters
    ----------
    samples : int
        Upstreams drawn at random beside those with a cached prefix.
    batch_slot_share : float
        Share of an upstream's slots that batch requests may fill.
    home_slack_s : float
        Cost by which the home of a prefix may exceed the best candidate.
    report_lag_s : float
        Age of a load report when it arrives, in seconds.
    decode_slot_s : float
        Expected time until a busy upstream frees a slot, in seconds.
    queue_factor : float
        Requests per slot that an upstream may hold, waiting ones included.
    retry_after_s : float
        Time to come back when no upstream is available, in seconds.
    chunk_tokens : int
        Tokens that an engine computes before it turns to a request that goes first.
    unsure_wait_weight : float
        Cost of a second of queued work whose priority is not known.
    batch_backlog_s : float
        Longest queue at an upstream to which batch requests are added, in seconds;
        the others wait here, where their order and deadlines are known.
    """

    samples: int = DEFAULT_SAMPLES
    batch_slot_share: float = 0.75
    home_slack_s: float = 0.1
    report_lag_s: float = 0.5
    decode_slot_s: float = 0.3
    queue_factor: float = 1.0
    retry_after_s: float = 1.0
    chunk_tokens: int = 1000
    uncertain_wait_weight: float = 0.5
    batch_backlog_s: float = 5.0

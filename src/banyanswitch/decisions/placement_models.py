"""Request, settings and commands of placement."""

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
    """Properties of a request that placement uses.

    Parameters
    ----------
    weight_version : str or None
        Version pinned at admission; ``None`` for plain services.
    piece_hashes : tuple of str
        Chained hashes of the complete pieces of the prompt, from `prefix`.
    prompt_tokens : int
        Estimated length of the prompt, in tokens.
    deadline_s : float
        Loop time by which the first token must arrive, in seconds.
    excluded : frozenset of str
        Upstreams that must not be chosen, such as those that failed this request.
    has_waited : bool
        Whether the request was accepted into the admission queue and waited there.
        Its deadline is checked against the expected time to first token without the
        delay ratio, so that first tokens that have become slower since then do not
        cause a refusal.
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
        Number of leading pieces cached at the upstream after the import.
    give_up_after_s : float
        Planned time limit of the import, in seconds. The importer has a time limit of
        its own.
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
        Number of leading pieces that need no prefill there, including imported ones.
    prefill_tokens : int
        Number of prompt tokens that the upstream is expected to prefill.
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
    """Reason why a request is not placed."""

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
    """Placement settings that are shared by all services.

    Parameters
    ----------
    samples : int
        Number of random candidates in addition to those with a cached prefix.
    batch_slot_share : float
        Share of the slots of an upstream. Batch requests are sent to it only while its
        requests of all priorities together take less than this share.
    home_slack_s : float
        Cost by which the home upstream of a prefix may exceed the best candidate and
        still be chosen.
    report_lag_s : float
        Maximum age of a load report when it arrives, in seconds; half of it is taken
        as the mean.
    decode_slot_s : float
        Expected time until a busy upstream frees a slot, in seconds.
    queue_factor : float
        Maximum number of running and queued requests per slot of an upstream.
    retry_after_s : float
        Time after which the caller may retry if no upstream is available or all are
        full, in seconds.
    chunk_tokens : int
        Tokens that an engine prefills before it switches to a request of higher
        priority.
    uncertain_wait_weight : float
        Cost of one second of queued work that may be served first, because its
        priority is unknown, relative to one second of expected wait.
    batch_backlog_s : float
        Maximum prefill queue of an upstream to which batch requests are sent, in
        seconds. Other batch requests wait at this instance, which knows their order
        and deadlines.
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

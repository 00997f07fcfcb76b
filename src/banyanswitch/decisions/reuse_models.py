"""Views that decisions on reuse read and commands that they return."""

from dataclasses import dataclass, field
from enum import Enum

from banyanswitch.config.models import ReusePolicy
from banyanswitch.decisions.cache_view import StoredPrefix
from banyanswitch.identifiers import (
    FailureDomainId,
    PrefixHash,
    StoreId,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)


class StoreTier(Enum):
    """Tier of a store that a block should be kept in."""

    MEMORY = "memory"
    DISK = "disk"


@dataclass(frozen=True, slots=True, kw_only=True)
class ReuseSettings:
    """Settings of reuse for one service.

    Parameters
    ----------
    weights : ReusePolicy
        Weights of first-token time, recomputation and link use.
    piece_size_bytes : int
        Size of the KV cache of one piece.
    piece_prefill_s : float
        Time to compute one piece, in seconds.
    horizon_s : float
        Time for which a stored prefix is worth keeping, in seconds.
    memory_horizon_s : float
        A prefix likely to return within this time goes to the memory tier.
    memory_probability : float
        Least probability of that for the memory tier.
    prefetch_horizon_s : float
        Time ahead for which prefixes are brought back to an upstream.
    max_prompts : int
        Most prompts that are tracked.
    max_pending : int
        Most prompts that wait for their export, for each number of returns.
    """

    weights: ReusePolicy = field(default_factory=ReusePolicy)
    piece_size_bytes: int = 256_000_000
    piece_prefill_s: float = 0.5
    horizon_s: float = 28_800.0
    memory_horizon_s: float = 1_800.0
    memory_probability: float = 0.3
    prefetch_horizon_s: float = 60.0
    max_prompts: int = 16_384
    max_pending: int = 512


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreSpace:
    """Free space of a store, as it last said."""

    store: StoreId
    failure_domain: FailureDomainId
    memory_free_bytes: int
    disk_free_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptUse:
    """A prompt whose pieces an upstream holds now.

    Parameters
    ----------
    piece_hashes : tuple of str
        Chained hashes of its whole pieces.
    """

    workspace: WorkspaceId
    weight_version: WeightVersion
    piece_hashes: tuple[PrefixHash, ...]
    upstream: UpstreamId
    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True, kw_only=True)
class Export:
    """Command: copy a prefix from an upstream to a store.

    Parameters
    ----------
    piece_hashes : tuple of str
        All pieces that the manifest lists.
    stored_pieces : int
        Leading pieces that the store holds already.
    replaces : str, optional
        Manifest that the new one makes superfluous.
    """

    workspace: WorkspaceId
    weight_version: WeightVersion
    upstream: UpstreamId
    store: StoreId
    tier: StoreTier
    manifest: str
    piece_hashes: tuple[PrefixHash, ...]
    stored_pieces: int
    size_bytes: int
    replaces: str | None = None


@dataclass(frozen=True, slots=True)
class Drop:
    """Command: delete a manifest and the blocks that only it lists."""

    store: StoreId
    manifest: str


@dataclass(frozen=True, slots=True)
class Prefetch:
    """Command: import a stored prefix before it is asked for."""

    workspace: WorkspaceId
    stored: StoredPrefix
    upstream: UpstreamId

"""Inputs of the reuse decisions and the commands that they return."""

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
    """Tier of a store in which a block should be kept."""

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
        Time since its last use after which a prompt is not expected to return, in
        seconds.
    memory_horizon_s : float
        Time from now, in seconds. A prefix that is likely to return within it is
        stored in the memory tier.
    memory_probability : float
        Minimum probability of such a return for the memory tier.
    prefetch_horizon_s : float
        Time from now, in seconds. A prefix that is likely to return within it is
        imported to an upstream.
    max_prompts : int
        Maximum number of tracked prompts.
    max_pending : int
        Maximum number of prompts waiting for export in each return class.
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
    """Free space of a store, as last reported."""

    store: StoreId
    failure_domain: FailureDomainId
    memory_free_bytes: int
    disk_free_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptUse:
    """Use of a prompt, after which an upstream holds its pieces.

    Parameters
    ----------
    piece_hashes : tuple of str
        Chained hashes of the complete pieces of the prompt.
    failure_domain : str
        Failure domain of the upstream.
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
        Number of leading pieces that the store holds already.
    replaces : str, optional
        Manifest that is obsolete once the new one is stored.
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
    """Command: import a stored prefix before it is requested."""

    workspace: WorkspaceId
    stored: StoredPrefix
    upstream: UpstreamId

"""Choice of the store in which a part of a prompt is saved."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import xxhash

from banyanswitch.identifiers import StoreId

BLOCK_TOKENS: Final = 16
"""Allocation unit of the stores, in tokens."""

MIN_PART_TOKENS: Final = 32
"""Smallest part worth a transfer.

A transfer takes as long as a prefill of ~30 tokens.
"""

LARGE_PART_TOKENS: Final = 2000
"""Size from which the bandwidth of a store matters more than its first-byte time."""

FILL_SHARE: Final = 0.97
"""Share of a store's capacity that is filled; the rest covers saves in progress."""

MAX_TRANSFER_S: Final = 0.5
"""Fetch time from which a part is recomputed instead. Engines prefill a large part in
0.2 to 0.35 s, and the objective for its request is 1 s."""

HASH_RANGE: Final = 2**64
BITS_PER_BYTE: Final = 8
BITS_PER_MBIT: Final = 1_000_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreView:
    """State of one store as known to this instance.

    Parameters
    ----------
    used_tokens : int
        Capacity that is occupied or reserved, in tokens.
    queued_tokens : int
        Tokens of the fetches in progress from this store.
    first_byte_s : float
        Time to first byte of a transfer, in seconds.
    """

    name: StoreId
    capacity_tokens: int
    used_tokens: int
    first_byte_s: float
    bandwidth_mbps: float
    queued_tokens: int = 0


def rounded_tokens(tokens: int) -> int:
    """Return the capacity that a part occupies, in whole blocks of tokens."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def choose_store(part: str, tokens: int, views: Sequence[StoreView]) -> StoreId | None:
    """Return the store in which to save a part.

    Large parts are distributed by bandwidth, since their transfers fill the links.
    Small parts prefer the stores with the slowest links, to leave capacity on the fast
    ones.

    Returns
    -------
    store : StoreId or None
        ``None`` if the part is too small or fits in no store.
    """
    if tokens < MIN_PART_TOKENS:
        return None
    fitting = [view for view in views if _has_room(view, tokens)]
    if not fitting:
        return None
    is_large = tokens >= LARGE_PART_TOKENS
    if is_large:
        return max(fitting, key=lambda view: _score(part, view)).name
    slowest_mbps = min(view.bandwidth_mbps for view in views)
    preferred = [view for view in fitting if view.bandwidth_mbps == slowest_mbps]
    return max(preferred or fitting, key=lambda view: _score(part, view)).name


def transfer_s(view: StoreView, tokens: int, token_bytes: int) -> float:
    """Return the expected time of a fetch behind those in progress, in seconds."""
    bits = (view.queued_tokens + tokens) * token_bytes * BITS_PER_BYTE
    return view.first_byte_s + bits / (view.bandwidth_mbps * BITS_PER_MBIT)


def _has_room(view: StoreView, tokens: int) -> bool:
    limit = FILL_SHARE * view.capacity_tokens
    return view.used_tokens + rounded_tokens(tokens) <= limit


def _score(part: str, view: StoreView) -> float:
    """Return the rendezvous hashing score of a store, weighted by its bandwidth."""
    digest = xxhash.xxh3_64_intdigest(f"{len(part)}:{part}{view.name}".encode())
    return view.bandwidth_mbps / -math.log((digest + 1) / (HASH_RANGE + 2))

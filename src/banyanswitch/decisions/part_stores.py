"""Choice of the store in which a part of a prompt is kept."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import xxhash

from banyanswitch.identifiers import StoreId

BLOCK_TOKENS: Final = 16
"""Tokens by which stores give room."""

MIN_PART_TOKENS: Final = 32
"""Smallest part worth a transfer, which takes about as long as reading 30 tokens."""

LARGE_PART_TOKENS: Final = 2000
"""Size from which the bandwidth of a store decides rather than its first byte."""

FILL_SHARE: Final = 0.97
"""Part of a store's room that is used; the rest covers saves under way."""

MAX_TRANSFER_S: Final = 0.5
"""Time beyond which a part is read rather than fetched. Engines read a large part in
0.2 to 0.35 s, and the objective for its request is 1 s."""

HASH_RANGE: Final = 2**64
BITS_PER_BYTE: Final = 8
BITS_PER_MBIT: Final = 1_000_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreView:
    """What is known of one store.

    Parameters
    ----------
    used_tokens : int
        Room that is taken or promised.
    queued_tokens : int
        Tokens of the fetches from it that are under way.
    first_byte_s : float
        Time before each transfer starts, in seconds.
    """

    name: StoreId
    capacity_tokens: int
    used_tokens: int
    first_byte_s: float
    bandwidth_mbps: float
    queued_tokens: int = 0


def rounded_tokens(tokens: int) -> int:
    """Return the room that a part takes."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def choose_store(part: str, tokens: int, views: Sequence[StoreView]) -> StoreId | None:
    """Return the store in which a part is kept, or ``None`` if it fits nowhere.

    Large parts are spread by bandwidth, since their transfers fill the links. Small
    ones go to the slower links and leave room on the fast ones.
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
    """Return how long a fetch takes behind those that were sent before it."""
    bits = (view.queued_tokens + tokens) * token_bytes * BITS_PER_BYTE
    return view.first_byte_s + bits / (view.bandwidth_mbps * BITS_PER_MBIT)


def _has_room(view: StoreView, tokens: int) -> bool:
    limit = FILL_SHARE * view.capacity_tokens
    return view.used_tokens + rounded_tokens(tokens) <= limit


def _score(part: str, view: StoreView) -> float:
    """Rank of a store for a part: rendezvous hashing weighted by bandwidth."""
    digest = xxhash.xxh3_64_intdigest(f"{len(part)}:{part}{view.name}".encode())
    return view.bandwidth_mbps / -math.log((digest + 1) / (HASH_RANGE + 2))

"""Choice of the store in which a part of a prompt is kept."""

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

SPILL_SHARE: Final = 0.1
"""Free share of a store of the other kind from which it takes a part too; reading a
part again costs far more than a slower fetch."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreView:
    """What is known of one store.

    Parameters
    ----------
    used_tokens : int
        Room that is taken or promised.
    first_byte_s : float
        Time before each transfer starts, in seconds.
    """

    name: StoreId
    capacity_tokens: int
    used_tokens: int
    first_byte_s: float
    bandwidth_mbps: float


def rounded_tokens(tokens: int) -> int:
    """Return the room that a part takes."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def choose_store(part: str, tokens: int, views: Sequence[StoreView]) -> StoreId | None:
    """Return the store in which a part is kept, or ``None`` if it fits nowhere.

    Small parts go to the stores that start soonest, where the first byte is most of
    a transfer; large parts leave these free while others have room.
    """
    if tokens < MIN_PART_TOKENS:
        return None
    fitting = [view for view in views if _has_room(view, tokens)]
    if not fitting:
        return None
    is_large = tokens >= LARGE_PART_TOKENS
    first_bytes_s = [view.first_byte_s for view in views]
    wanted_s = max(first_bytes_s) if is_large else min(first_bytes_s)
    preferred = [view for view in fitting if view.first_byte_s == wanted_s]
    if not preferred:
        preferred = [
            view
            for view in fitting
            if view.used_tokens <= (1.0 - SPILL_SHARE) * view.capacity_tokens
        ]
    if not preferred:
        return None
    return max(preferred, key=lambda view: _score(part, view)).name


def _has_room(view: StoreView, tokens: int) -> bool:
    limit = FILL_SHARE * view.capacity_tokens
    return view.used_tokens + rounded_tokens(tokens) <= limit


def _score(part: str, view: StoreView) -> int:
    return xxhash.xxh3_64_intdigest(f"{len(part)}:{part}{view.name}".encode())

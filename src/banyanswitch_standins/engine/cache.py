"""Prefix cache of the stand-in engine, with its late events."""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import sha256
from typing import Final, Literal

import msgspec

MAX_EVENTS: Final = 20_000

EventKind = Literal["stored", "evicted", "cleared"]


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of the cache."""

    sequence: int
    kind: EventKind
    key: str
    weight_version: str


@dataclass(frozen=True, slots=True)
class PieceOrigin:
    """Origin of a cached piece, to detect reuse across its bounds."""

    weight_version: str
    cache_salt: str


class PrefixCache:
    """Least recently used cache of prompt pieces.

    Parameters
    ----------
    capacity : int
        Pieces that fit.
    event_lag_s : float
        Age at which events become visible, in seconds.
    """

    def __init__(self, capacity: int, event_lag_s: float) -> None:
        self.sequence = 0
        self.foreign_hits = 0
        self._capacity = capacity
        self._event_lag_s = event_lag_s
        self._pieces: OrderedDict[str, PieceOrigin] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)

    def keys(self) -> list[str]:
        """Return the cached keys, least recently used first."""
        return list(self._pieces)

    def piece(self, key: str) -> PieceOrigin | None:
        """Return the origin of a cached piece."""
        return self._pieces.get(key)

    def leading_hits(self, keys: Sequence[str], wanted: PieceOrigin) -> int:
        """Return how many first pieces are cached, and mark them as used."""
        hits = 0
        for key in keys:
            piece = self._pieces.get(key)
            if piece is None:
                break
            if piece != wanted:
                self.foreign_hits += 1
                break
            self._pieces.move_to_end(key)
            hits += 1
        return hits

    def store(self, key: str, piece: PieceOrigin) -> None:
        """Add a piece and evict the least recently used beyond the capacity."""
        is_new = key not in self._pieces
        self._pieces[key] = piece
        self._pieces.move_to_end(key)
        if is_new:
            self._emit("stored", key, piece.weight_version)
        while len(self._pieces) > self._capacity:
            evicted, origin = self._pieces.popitem(last=False)
            self._emit("evicted", evicted, origin.weight_version)

    def drop(self, keys: Sequence[str]) -> None:
        """Evict the named pieces."""
        for key in keys:
            piece = self._pieces.pop(key, None)
            if piece is not None:
                self._emit("evicted", key, piece.weight_version)

    def clear(self, weight_version: str) -> None:
        """Remove all pieces when other weights are in use."""
        self._pieces.clear()
        self._emit("cleared", "", weight_version)

    def visible_events(self, after: int) -> list[CacheEvent]:
        """Return the events that are old enough to be seen."""
        visible_at_s = asyncio.get_running_loop().time() - self._event_lag_s
        return [
            event
            for emitted_at_s, event in self._events
            if event.sequence > after and emitted_at_s <= visible_at_s
        ]

    def oldest_sequence(self) -> int:
        """Return the oldest sequence number that is kept."""
        return self._events[0][1].sequence if self._events else self.sequence

    def _emit(self, kind: EventKind, key: str, weight_version: str) -> None:
        self.sequence += 1
        event = CacheEvent(self.sequence, kind, key, weight_version)
        self._events.append((asyncio.get_running_loop().time(), event))


def block_content(key: str, piece: PieceOrigin, size_bytes: int) -> bytes:
    """Return the bytes of a piece's KV cache, fixed by its origin."""
    source = f"{key}|{piece.weight_version}|{piece.cache_salt}".encode()
    seed = sha256(source).digest()
    return (seed * (size_bytes // len(seed) + 1))[:size_bytes]

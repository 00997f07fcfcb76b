"""Prefix cache of the stand-in engine, with delayed change events."""

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
    """Change of the cache; sequence numbers start at 1 and have no gaps.

    A ``cleared`` event has an empty key and the newly loaded weight version.
    """

    sequence: int
    kind: EventKind
    key: str
    weight_version: str


@dataclass(frozen=True, slots=True)
class PieceOrigin:
    """Weight version and cache salt that the KV cache of a piece was computed for.

    Requests with another weight version or salt must not reuse the piece.
    """

    weight_version: str
    cache_salt: str


class PrefixCache:
    """LRU cache of prompt pieces.

    A piece is a section of ``EngineOptions.piece_tokens`` tokens of a prompt. Callers
    name it by its key.

    Parameters
    ----------
    capacity : int
        Maximum number of pieces.
    event_lag_s : float
        Age at which events become visible, in seconds.

    Attributes
    ----------
    sequence : int
        Sequence number of the latest event.
    foreign_hits : int
        Number of look-ups that found a piece of another weight version or salt.
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

    def origin(self, key: str) -> PieceOrigin | None:
        """Return the origin of a cached piece, or ``None`` if it is not cached."""
        return self._pieces.get(key)

    def leading_hits(self, keys: Sequence[str], wanted: PieceOrigin) -> int:
        """Return how many leading pieces are cached, and mark them as recently used.

        A piece of another origin than ``wanted`` counts as missing and as a foreign
        hit.
        """
        hits = 0
        for key in keys:
            origin = self._pieces.get(key)
            if origin is None:
                break
            if origin != wanted:
                self.foreign_hits += 1
                break
            self._pieces.move_to_end(key)
            hits += 1
        return hits

    def store(self, key: str, origin: PieceOrigin) -> None:
        """Add a piece and evict least recently used pieces above the capacity.

        A piece that is already cached gets the new origin, without an event.
        """
        is_new = key not in self._pieces
        self._pieces[key] = origin
        self._pieces.move_to_end(key)
        if is_new:
            self._emit("stored", key, origin.weight_version)
        while len(self._pieces) > self._capacity:
            evicted, evicted_origin = self._pieces.popitem(last=False)
            self._emit("evicted", evicted, evicted_origin.weight_version)

    def drop(self, keys: Sequence[str]) -> None:
        """Evict the named pieces."""
        for key in keys:
            origin = self._pieces.pop(key, None)
            if origin is not None:
                self._emit("evicted", key, origin.weight_version)

    def clear(self, weight_version: str) -> None:
        """Remove all pieces after a change to ``weight_version``."""
        self._pieces.clear()
        self._emit("cleared", "", weight_version)

    def visible_events(self, after: int) -> list[CacheEvent]:
        """Return the visible events with a sequence number above ``after``."""
        visible_until_s = asyncio.get_running_loop().time() - self._event_lag_s
        return [
            event
            for emitted_at_s, event in self._events
            if event.sequence > after and emitted_at_s <= visible_until_s
        ]

    def oldest_sequence(self) -> int:
        """Return the sequence number of the oldest retained event, 0 without events."""
        return self._events[0][1].sequence if self._events else self.sequence

    def _emit(self, kind: EventKind, key: str, weight_version: str) -> None:
        self.sequence += 1
        event = CacheEvent(self.sequence, kind, key, weight_version)
        self._events.append((asyncio.get_running_loop().time(), event))


def block_content(key: str, origin: PieceOrigin, size_bytes: int) -> bytes:
    """Return the simulated KV cache of a piece, determined by key, origin and size."""
    source = f"{key}|{origin.weight_version}|{origin.cache_salt}".encode()
    seed = sha256(source).digest()
    return (seed * (size_bytes // len(seed) + 1))[:size_bytes]

"""View of which upstreams and stores hold which prefixes, from delayed cache events."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from banyanswitch.decisions.prefix import prefix_key, prefix_keys
from banyanswitch.identifiers import PrefixHash, StoreId, UpstreamId

DEFAULT_MAX_PIECES: Final = 100_000
MAX_HOLDERS: Final = 3
"""Maximum number of upstreams recorded for one piece."""

FIRST_SEQUENCE: Final = 1
DEFAULT_CONFIDENCE_HALF_LIFE_S: Final = 600.0


class CacheEventKind(Enum):
    """Change of a piece, or of all pieces, in an upstream's cache."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One event of an upstream's cache.

    Parameters
    ----------
    sequence : int
        Sequence number of the event at this upstream; increases by one.
    key : str
        Prefix hash; empty for ``CLEARED``.
    """

    sequence: int
    kind: CacheEventKind
    key: PrefixHash


@dataclass(frozen=True, slots=True)
class Resync:
    """Command: read the upstream's full list of keys."""

    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class CacheMatch:
    """Upstream that holds a prefix according to the view.

    Parameters
    ----------
    pieces : int
        Number of leading pieces that the upstream holds.
    """

    upstream: UpstreamId
    pieces: int


@dataclass(frozen=True, slots=True)
class StoredPrefix:
    """Prefix that was exported to a store.

    Parameters
    ----------
    manifest : str
        Name of the manifest that lists the blocks.
    pieces : int
        Number of leading pieces in the store.
    is_on_disk : bool
        Whether the prefix must be read from the store's disk tier.
    """

    store: StoreId
    manifest: str
    pieces: int
    size_bytes: int
    is_on_disk: bool = False


class _Holder:
    """Upstream as a holder of pieces.

    When the cache of the upstream is cleared, its holder is marked as not current and
    replaced. Entries with the old holder are then ignored, without a search for them.
    """

    __slots__ = ("is_current", "single", "upstream")

    def __init__(self, upstream: UpstreamId) -> None:
        self.upstream = upstream
        self.is_current = True
        # Shared by all pieces that have only this holder, to save memory.
        self.single: tuple[_Holder, ...] = (self,)


class CacheView:
    """View of the pieces in upstream caches and of the prefixes in stores.

    A wrong entry only causes a recomputation; the request is still answered.
    Prefix hashes are salted by workspace and weight version, so a look-up
    can't match across them. Pieces are kept in two generations. A piece can be evicted
    once ``max_pieces / 2`` other pieces have been added since it was last added.

    Parameters
    ----------
    max_pieces : int
        Maximum number of tracked pieces.
    confidence_half_life_s : float
        Time without events after which the confidence in an upstream's matches is
        halved, in seconds.
    """

    def __init__(
        self,
        max_pieces: int = DEFAULT_MAX_PIECES,
        confidence_half_life_s: float = DEFAULT_CONFIDENCE_HALF_LIFE_S,
    ) -> None:
        self._generation_size = max(1, max_pieces // 2)
        self._half_life_s = confidence_half_life_s
        self._recent: dict[int, tuple[_Holder, ...]] = {}
        self._old: dict[int, tuple[_Holder, ...]] = {}
        self._stored: dict[int, StoredPrefix] = {}
        self._holders: dict[UpstreamId, _Holder] = {}
        self._sequences: dict[UpstreamId, int] = {}
        self._last_event_at_s: dict[UpstreamId, float] = {}

    def __len__(self) -> int:
        return len(self._recent) + len(self._old)

    def matches(
        self, piece_hashes: Sequence[PrefixHash], limit: int = MAX_HOLDERS
    ) -> list[CacheMatch]:
        """Return the upstreams that hold a prefix, the longest match first."""
        found: list[CacheMatch] = []
        seen: set[UpstreamId] = set()
        recent = self._recent
        old = self._old
        keys = prefix_keys(tuple(piece_hashes))
        for index in range(len(keys) - 1, -1, -1):
            key = keys[index]
            for holder in recent.get(key) or old.get(key) or ():
                if holder.is_current and holder.upstream not in seen:
                    seen.add(holder.upstream)
                    found.append(CacheMatch(holder.upstream, index + 1))
            if len(found) >= limit:
                break
        return found[:limit]

    def stored_match(self, piece_hashes: Sequence[PrefixHash]) -> StoredPrefix | None:
        """Return the longest stored prefix of a prompt."""
        if not self._stored:
            return None
        for key in reversed(prefix_keys(tuple(piece_hashes))):
            stored = self._stored.get(key)
            if stored is not None:
                return stored
        return None

    def confidence(self, upstream: UpstreamId, now_s: float) -> float:
        """Return the confidence in an upstream's matches, from 0 to 1.

        It is 1 until the first event or list of the upstream.
        """
        last_event_at_s = self._last_event_at_s.get(upstream)
        if last_event_at_s is None:
            return 1.0
        age_s = max(0.0, now_s - last_event_at_s)
        return float(0.5 ** (age_s / self._half_life_s))

    def add(self, upstream: UpstreamId, piece_hashes: Iterable[PrefixHash]) -> None:
        """Record that an upstream holds these pieces."""
        holder = self._holder(upstream)
        for piece_hash in piece_hashes:
            self._add_key(prefix_key(piece_hash), holder)

    def discard(self, upstream: UpstreamId, piece_hash: PrefixHash) -> None:
        """Record that an upstream no longer holds a piece."""
        key = prefix_key(piece_hash)
        for generation in (self._recent, self._old):
            holders = generation.get(key)
            if holders is None:
                continue
            left = tuple(item for item in holders if item.upstream != upstream)
            if left:
                generation[key] = left
            else:
                del generation[key]

    def clear(self, upstream: UpstreamId) -> None:
        """Record in constant time that an upstream's cache is empty."""
        holder = self._holders.pop(upstream, None)
        if holder is not None:
            holder.is_current = False

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Remove all state of an upstream."""
        self.clear(upstream)
        self._sequences.pop(upstream, None)
        self._last_event_at_s.pop(upstream, None)

    def apply_events(
        self, upstream: UpstreamId, events: Sequence[CacheEvent], now_s: float
    ) -> Resync | None:
        """Apply a batch of events, which may be in any order.

        Events that were applied before are ignored. Events after a missing one are not
        applied.

        Returns
        -------
        resync : Resync or None
            Command to read the full list, if an event is missing.
        """
        self._last_event_at_s[upstream] = now_s
        expected = self._sequences.get(upstream, FIRST_SEQUENCE)
        for event in sorted(events, key=_sequence_of):
            if event.sequence < expected:
                continue
            if event.sequence > expected:
                return Resync(upstream)
            self._apply(upstream, event)
            expected = event.sequence + 1
            self._sequences[upstream] = expected
        return None

    def resync(
        self,
        upstream: UpstreamId,
        keys: Iterable[PrefixHash],
        sequence: int,
        now_s: float,
    ) -> None:
        """Replace the state of an upstream with its full list as of ``sequence``.

        A list that is older than the events already applied is ignored.
        """
        if sequence + 1 < self._sequences.get(upstream, FIRST_SEQUENCE):
            return
        self.clear(upstream)
        self.add(upstream, keys)
        self._sequences[upstream] = sequence + 1
        self._last_event_at_s[upstream] = now_s

    def add_stored(self, tail: PrefixHash, stored: StoredPrefix) -> None:
        """Record a complete prefix in a store, identified by its last piece."""
        self._stored[prefix_key(tail)] = stored

    def discard_stored(self, tail: PrefixHash) -> None:
        """Record that a prefix can no longer be read from a store."""
        self._stored.pop(prefix_key(tail), None)

    def remove_store(self, store: StoreId) -> None:
        """Remove all prefixes of a store that was lost."""
        removed = [key for key, item in self._stored.items() if item.store == store]
        for key in removed:
            del self._stored[key]

    def _apply(self, upstream: UpstreamId, event: CacheEvent) -> None:
        if event.kind is CacheEventKind.CLEARED:
            self.clear(upstream)
        elif event.kind is CacheEventKind.EVICTED:
            self.discard(upstream, event.key)
        else:
            self.add(upstream, (event.key,))

    def _holder(self, upstream: UpstreamId) -> _Holder:
        holder = self._holders.get(upstream)
        if holder is None:
            holder = _Holder(upstream)
            self._holders[upstream] = holder
        return holder

    def _holders_of(self, key: int) -> tuple[_Holder, ...]:
        return self._recent.get(key) or self._old.get(key) or ()

    def _add_key(self, key: int, holder: _Holder) -> None:
        known = tuple(
            item
            for item in self._holders_of(key)
            if item.is_current and item is not holder
        )
        self._old.pop(key, None)
        if known:
            self._recent[key] = (holder, *known)[:MAX_HOLDERS]
        else:
            self._recent[key] = holder.single
        if len(self._recent) >= self._generation_size:
            self._old = self._recent
            self._recent = {}


def _sequence_of(event: CacheEvent) -> int:
    return event.sequence

"""Parts that are being saved to stores and are not yet reported as stored."""

from collections import deque
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Store = TypeVar("Store", bound=Hashable)


class PendingSaves(Generic[Key, Store]):
    """Saves in progress, with the tokens of each store kept up to date.

    Each operation takes a constant time, averaged over the saves.

    Parameters
    ----------
    lifetime_s : float
        Time after which a save that was not reported counts as lost, in seconds.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._saves: dict[Key, tuple[float, Store, int]] = {}
        self._ends: deque[tuple[float, Key]] = deque()
        self._tokens: dict[Store, int] = {}

    def __len__(self) -> int:
        return len(self._saves)

    def add(self, key: Key, store: Store, tokens: int, now_s: float) -> None:
        """Add a save, or begin it anew; ``now_s`` never decreases between calls."""
        self.discard(key)
        ends_at_s = now_s + self._lifetime_s
        self._saves[key] = (ends_at_s, store, tokens)
        self._ends.append((ends_at_s, key))
        self._tokens[store] = self._tokens.get(store, 0) + tokens

    def discard(self, key: Key) -> None:
        """Remove a save, if there is one."""
        found = self._saves.pop(key, None)
        if found is None:
            return
        _, store, tokens = found
        self._tokens[store] -= tokens
        if not self._tokens[store]:
            del self._tokens[store]

    def drop_expired(self, now_s: float) -> None:
        """Remove the saves whose time is over."""
        while self._ends and self._ends[0][0] <= now_s:
            ends_at_s, key = self._ends.popleft()
            found = self._saves.get(key)
            if found is not None and found[0] == ends_at_s:
                self.discard(key)

    def is_pending(self, key: Key) -> bool:
        """Return whether a part is being saved."""
        return key in self._saves

    def tokens(self, store: Store) -> int:
        """Return the tokens that are being saved to a store."""
        return self._tokens.get(store, 0)

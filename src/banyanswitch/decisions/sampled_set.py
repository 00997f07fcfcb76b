"""Set of integers with random sampling in constant time."""

import random


class SampledSet:
    """Set of keys, stored as a list and an index of positions."""

    def __init__(self) -> None:
        self._keys: list[int] = []
        self._positions: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def add(self, key: int) -> None:
        """Add a key if it is absent."""
        if key in self._positions:
            return
        self._positions[key] = len(self._keys)
        self._keys.append(key)

    def discard(self, key: int) -> None:
        """Remove a key if it is present."""
        position = self._positions.pop(key, None)
        if position is None:
            return
        last = self._keys.pop()
        if last != key:
            self._keys[position] = last
            self._positions[last] = position

    def sample(self, count: int, generator: random.Random) -> list[int]:
        """Return up to ``count`` distinct keys."""
        if len(self._keys) <= count:
            return list(self._keys)
        return generator.sample(self._keys, count)

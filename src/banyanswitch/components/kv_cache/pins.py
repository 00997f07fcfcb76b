"""Pins that prevent the deletion of blocks while an import reads them."""

from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from banyanswitch.components.kv_cache.errors import StoredPrefixLostError


class PinTable:
    """Number of readers of each manifest on this instance.

    A manifest that is being freed accepts no new readers. Readers on other instances
    are not counted; they are protected by the delay between the deletion of the
    manifest and of its blocks.
    """

    def __init__(self) -> None:
        self._readers: dict[str, int] = defaultdict(int)
        self._unpinnable: set[str] = set()

    @contextmanager
    def pin(self, name: str) -> Iterator[None]:
        """Prevent the deletion of a manifest's blocks within a ``with`` statement.

        Raises
        ------
        StoredPrefixLostError
            If the manifest is being freed.
        """
        if name in self._unpinnable:
            raise StoredPrefixLostError(f"prefix {name} is being freed")
        self._readers[name] += 1
        try:
            yield
        finally:
            self._readers[name] -= 1
            if self._readers[name] == 0:
                del self._readers[name]

    def is_pinned(self, name: str) -> bool:
        """Return whether an import on this instance reads a manifest."""
        return name in self._readers

    def refuse_new_pins(self, name: str) -> None:
        """Refuse new readers of a manifest."""
        self._unpinnable.add(name)

    def allow_new_pins(self, name: str) -> None:
        """Accept readers of a manifest again, after it was deleted or retained."""
        self._unpinnable.discard(name)

"""Pins that keep blocks from being deleted while an import reads them."""

from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from banyanswitch.components.kv_cache.errors import StoredPrefixLostError


class PinTable:
    """Readers of each manifest on this instance.

    A manifest that is being freed gets no new reader. Readers on other instances
    are not seen here; the grace time between manifest and blocks covers them.
    """

    def __init__(self) -> None:
        self._readers: dict[str, int] = defaultdict(int)
        self._unpinnable: set[str] = set()

    @contextmanager
    def pin(self, name: str) -> Iterator[None]:
        """Keep the blocks of a manifest for the time of a block of code.

        Raises
        ------
        StoredPrefixLostError
            If the manifest is being freed.
        """
        if name in self._unpinnable:
            raise StoredPrefixLostError("the prefix is being freed")
        self._readers[name] += 1
        try:
            yield
        finally:
            self._readers[name] -= 1
            if self._readers[name] == 0:
                del self._readers[name]

    def is_pinned(self, name: str) -> bool:
        """Return whether an import reads this manifest."""
        return name in self._readers

    def refuse_new_pins(self, name: str) -> None:
        """Let no new reader pin a manifest."""
        self._unpinnable.add(name)

    def allow_new_pins(self, name: str) -> None:
        """Let readers pin a manifest again, once it is gone or was kept."""
        self._unpinnable.discard(name)

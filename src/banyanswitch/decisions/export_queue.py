"""Queue of prompts waiting for export to a store."""

from collections.abc import Iterator
from typing import Final

from banyanswitch.decisions.return_model import RETURN_CLASSES
from banyanswitch.decisions.reuse_models import PromptUse

MAX_CANDIDATES: Final = 8
"""Maximum number of candidates from one return class."""


class ExportQueue:
    """Bounded queues, one for each return class, the oldest prompt first.

    The return class of a prompt is the number of its returns, up to a maximum.
    Prompts that have returned more often are likelier to return again, so their
    class has priority. Within a class, the oldest prompt is the closest to eviction.

    Parameters
    ----------
    max_pending : int
        Maximum number of prompts of one class; beyond it, a new one replaces the
        oldest.
    """

    def __init__(self, max_pending: int) -> None:
        self._max_pending = max_pending
        self._classes: list[dict[int, PromptUse]] = [{} for _ in range(RETURN_CLASSES)]

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._classes)

    def put(self, key: int, returns: int, use: PromptUse) -> None:
        """Add a prompt as the newest of its class."""
        self.discard(key)
        waiting = self._classes[min(returns, RETURN_CLASSES - 1)]
        waiting[key] = use
        if len(waiting) > self._max_pending:
            del waiting[next(iter(waiting))]

    def discard(self, key: int) -> None:
        """Remove a prompt if it is present."""
        for waiting in self._classes:
            waiting.pop(key, None)

    def candidates(self) -> Iterator[tuple[int, PromptUse]]:
        """Yield the next prompts to export, a few from each class."""
        for waiting in reversed(self._classes):
            keys = [key for key, _ in zip(waiting, range(MAX_CANDIDATES), strict=False)]
            for key in keys:
                yield key, waiting[key]

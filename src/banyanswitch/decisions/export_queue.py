"""Prompts that wait for their export to a store."""

from collections.abc import Iterator
from typing import Final

from banyanswitch.decisions.return_model import RETURN_CLASSES
from banyanswitch.decisions.reuse_models import PromptUse

MAX_LOOKED_AT: Final = 8


class ExportQueue:
    """Bounded queues, one for each class of returns, the oldest first.

    A prompt that has returned more often is likelier to return again, so its
    class goes first. Within a class the oldest is nearest to its eviction.

    Parameters
    ----------
    max_pending : int
        Most prompts of one class; the oldest is dropped for a new one.
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
        """Yield the few prompts that should be exported next."""
        for waiting in reversed(self._classes):
            keys = [key for key, _ in zip(waiting, range(MAX_LOOKED_AT), strict=False)]
            for key in keys:
                yield key, waiting[key]

"""Latest deltas, stored to update other instances."""

from collections import deque

from banyanswitch.components.configuration.const import (
    MAX_KEPT_DELTA_BYTES,
    MAX_KEPT_DELTAS,
    MAX_MESSAGE_BYTES,
)
from banyanswitch.components.configuration.models import Delta


class DeltaLog:
    """Consecutive deltas up to the active revision, limited in number and bytes."""

    def __init__(self) -> None:
        self._deltas: deque[Delta] = deque()
        self._size_bytes = 0

    def append(self, delta: Delta) -> None:
        """Add the delta of the revision that became active."""
        if self._deltas and self._deltas[-1].revision + 1 != delta.revision:
            self.clear()
        self._deltas.append(delta)
        self._size_bytes += delta_bytes(delta)
        while self._is_too_large() and len(self._deltas) > 1:
            self._size_bytes -= delta_bytes(self._deltas.popleft())

    def clear(self) -> None:
        """Remove all deltas, after a revision was activated without a delta."""
        self._deltas.clear()
        self._size_bytes = 0

    def after(self, revision: int, digest: bytes) -> tuple[Delta, ...]:
        """Return the deltas that follow a content, as many as fit into a message.

        The first one is included even if it is larger than a message.

        Returns
        -------
        deltas : tuple of Delta
            Empty if the log does not reach back to the revision, or if the digest
            of the content is not the base of the first delta.
        """
        chosen: list[Delta] = []
        size_bytes = 0
        for delta in self._deltas:
            if delta.revision <= revision:
                continue
            size_bytes += delta_bytes(delta)
            if chosen and size_bytes > MAX_MESSAGE_BYTES:
                break
            chosen.append(delta)
        if not chosen or chosen[0].revision != revision + 1:
            return ()
        if chosen[0].base_digest != digest:
            return ()
        return tuple(chosen)

    def _is_too_large(self) -> bool:
        is_too_long = len(self._deltas) > MAX_KEPT_DELTAS
        return is_too_long or self._size_bytes > MAX_KEPT_DELTA_BYTES


def delta_bytes(delta: Delta) -> int:
    """Return the approximate size of a delta in a message, in bytes.

    160 bytes are added for the fields other than the changes.
    """
    changes = delta.changes or ()
    return sum(len(change.key) + len(change.value or b"") for change in changes) + 160

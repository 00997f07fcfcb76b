"""Epochs of a KV store, and from when parts may be saved to it after a restart."""

from collections import deque
from enum import Enum
from typing import Final

MAX_PAST_EPOCHS: Final = 16
"""Number of earlier epochs that are remembered, to ignore what was sent in them."""


class EpochOrder(Enum):
    """Relation of an epoch to the one that an instance knows."""

    CURRENT = "current"
    EARLIER = "earlier"
    LATER = "later"
    UNKNOWN = "unknown"


class StoreEpochs:
    """Order of a store's epochs, whose numbers can't be compared.

    A store that restarts is empty, and its epoch changes. An instance that has not
    noticed still plans fetches of the parts that it had. A store serves a part that is
    just being written, so such a fetch would read incomplete memory if the part were
    saved again at once. Nothing is saved until no instance can still know the earlier
    contents.

    Attributes
    ----------
    current : int or None
        Number of the current epoch, if it is known.
    """

    def __init__(self) -> None:
        self.current: int | None = None
        self._since_s = float("inf")
        self._is_established = False
        self._past: deque[int] = deque(maxlen=MAX_PAST_EPOCHS)

    def begin(
        self,
        epoch: int,
        now_s: float,
        age_s: float = 0.0,
        *,
        has_parts: bool = False,
    ) -> None:
        """Record the epoch whose contents are known from now on.

        Parameters
        ----------
        age_s : float
            Time for which another instance has known it, in seconds.
        has_parts : bool
            Whether the store has complete parts. All instances wait after a restart, so
            for one that knows no earlier epoch, parts show that the wait is over.
        """
        if epoch != self.current:
            self._is_established = has_parts and self.current is None
            if self.current is not None:
                self._past.append(self.current)
            self.current = epoch
            self._since_s = now_s
        self._since_s = min(self._since_s, now_s - age_s)

    def note_age(self, epoch: int, age_s: float, now_s: float) -> None:
        """Record for how long another instance has known an epoch, in seconds."""
        if epoch == self.current:
            self._since_s = min(self._since_s, now_s - age_s)

    def age_s(self, now_s: float) -> float:
        """Return for how long the current epoch is known at least, in seconds."""
        return max(0.0, now_s - self._since_s)

    def order(self, epoch: int, age_s: float | None, now_s: float) -> EpochOrder:
        """Return whether an epoch is earlier or later than the current one.

        Parameters
        ----------
        age_s : float or None
            Time for which its sender knows it, in seconds; ``None`` if not stated.
        """
        if epoch == self.current:
            return EpochOrder.CURRENT
        if epoch in self._past:
            return EpochOrder.EARLIER
        if self.current is None:
            return EpochOrder.LATER
        if age_s is None:
            return EpochOrder.UNKNOWN
        is_later = now_s - age_s > self._since_s
        return EpochOrder.LATER if is_later else EpochOrder.EARLIER

    def may_save(self, now_s: float, delay_s: float) -> bool:
        """Return whether the epoch has been known for the delay, in seconds."""
        if self.current is None:
            return False
        return self._is_established or self.age_s(now_s) >= delay_s

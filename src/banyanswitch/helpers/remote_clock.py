"""Estimate of another machine's clock from delayed readings."""

import math
from dataclasses import dataclass
from typing import Final

from banyanswitch.core import callback

WINDOW_S: Final = 10.0
"""Time after which a reading may be discarded; short, so that the estimate follows a
clock that runs slower than the local one."""

MILLISECONDS_PER_S: Final = 1000.0

ROUNDING_MS: Final = 2.0
"""Error of a reading and of the estimate that are both whole milliseconds."""


@dataclass(frozen=True, slots=True)
class _Offsets:
    """Range of the other clock's offset from the local one.

    Parameters
    ----------
    lowest_ms : float
        Offset if the readings took no time to arrive.
    highest_ms : float
        Offset if the readings were taken when they were requested.
    """

    lowest_ms: float
    highest_ms: float

    def contradicts(self, other: "_Offsets") -> bool:
        return (
            other.highest_ms + ROUNDING_MS < self.lowest_ms
            or self.highest_ms + ROUNDING_MS < other.lowest_ms
        )

    def narrowed(self, other: "_Offsets") -> "_Offsets":
        return _Offsets(
            max(self.lowest_ms, other.lowest_ms),
            min(self.highest_ms, other.highest_ms),
        )


class RemoteClock:
    """Clock of another machine, from its own readings or from relayed ones.

    A reading is outdated by its transit time when it arrives. The highest offset of
    the last readings is therefore the most accurate one, and is never too high.
    """

    def __init__(self) -> None:
        self._window_ends_at_s = float("-inf")
        self._offsets: _Offsets | None = None
        self._previous_offsets: _Offsets | None = None

    @callback
    def note(
        self, clock_ms: float, now_s: float, requested_at_s: float | None = None
    ) -> None:
        """Record a reading in milliseconds that arrived at ``now_s``.

        A reading that contradicts the earlier ones replaces them, as the other clock
        has been set.

        Parameters
        ----------
        requested_at_s : float, optional
            Local time, before the reading was taken; limits its possible error.
        """
        offsets = _Offsets(
            clock_ms - now_s * MILLISECONDS_PER_S,
            math.inf
            if requested_at_s is None
            else clock_ms - requested_at_s * MILLISECONDS_PER_S,
        )
        known = self._known()
        if known is not None and known.contradicts(offsets):
            self._window_ends_at_s = float("-inf")
            self._offsets = None
        if now_s >= self._window_ends_at_s:
            is_recent = now_s < self._window_ends_at_s + WINDOW_S
            self._previous_offsets = self._offsets if is_recent else None
            self._offsets = offsets
            self._window_ends_at_s = now_s + WINDOW_S
            return
        if self._offsets is not None:
            self._offsets = self._offsets.narrowed(offsets)

    @callback
    def read_ms(self, now_s: float) -> int | None:
        """Return the estimated clock time in milliseconds, or ``None`` if unknown."""
        known = self._known()
        if known is None:
            return None
        return int(now_s * MILLISECONDS_PER_S + known.lowest_ms)

    @callback
    def error_ms(self, now_s: float) -> float:
        """Return by how much the estimate may be too low, in milliseconds.

        It's infinite if the error of the readings is unknown or the last one is old.
        """
        known = self._known()
        if known is None or now_s >= self._window_ends_at_s + WINDOW_S:
            return math.inf
        return max(0.0, known.highest_ms - known.lowest_ms) + ROUNDING_MS

    def _known(self) -> _Offsets | None:
        if self._offsets is None or self._previous_offsets is None:
            return self._offsets
        return self._offsets.narrowed(self._previous_offsets)

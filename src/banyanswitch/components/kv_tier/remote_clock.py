"""Estimate of another machine's clock from delayed readings."""

from typing import Final

from banyanswitch.core import callback

WINDOW_S: Final = 10.0
"""Time after which a reading may be discarded; short, so that the estimate follows a
clock that runs slower than the local one."""

MILLISECONDS_PER_S: Final = 1000.0


class RemoteClock:
    """Clock of another machine, from its own readings or from relayed ones.

    A reading is outdated by its transit time when it arrives. The highest offset of
    the last readings is therefore the most accurate one, and is never too high.
    """

    def __init__(self) -> None:
        self._window_ends_at_s = float("-inf")
        self._max_offset_ms: float | None = None
        self._previous_max_offset_ms: float | None = None

    @callback
    def note(self, clock_ms: int, now_s: float) -> None:
        """Record a reading in milliseconds that arrived at ``now_s``."""
        offset_ms = clock_ms - now_s * MILLISECONDS_PER_S
        if now_s >= self._window_ends_at_s:
            self._window_ends_at_s = now_s + WINDOW_S
            self._previous_max_offset_ms, self._max_offset_ms = (
                self._max_offset_ms,
                offset_ms,
            )
            return
        if self._max_offset_ms is None or offset_ms > self._max_offset_ms:
            self._max_offset_ms = offset_ms

    @callback
    def read_ms(self, now_s: float) -> int | None:
        """Return the estimated clock time in milliseconds, or ``None`` if unknown."""
        offsets_ms = [
            o
            for o in (self._max_offset_ms, self._previous_max_offset_ms)
            if o is not None
        ]
        if not offsets_ms:
            return None
        return int(now_s * MILLISECONDS_PER_S + max(offsets_ms))

"""Estimate of another machine's clock from readings that arrive late."""

from typing import Final

from banyanswitch.core import callback

WINDOW_S: Final = 10.0
"""Time after which a reading may be forgotten; short, so that a clock that
runs slower than this one is followed."""

MILLISECONDS_PER_S: Final = 1000.0


class RemoteClock:
    """Clock as told by its own machine, or by instances that pass it on.

    A reading is always older than it looks, by the time of its way. The highest
    offset of the last readings is the nearest to the truth and never beyond it.
    """

    def __init__(self) -> None:
        self._window_ends_at_s = float("-inf")
        self._max_offset_ms: float | None = None
        self._previous_max_offset_ms: float | None = None

    @callback
    def note(self, clock_ms: int, now_s: float) -> None:
        """Take in a reading."""
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
        """Return the clock now, in milliseconds, if it is known."""
        offsets_ms = [
            o
            for o in (self._max_offset_ms, self._previous_max_offset_ms)
            if o is not None
        ]
        if not offsets_ms:
            return None
        return int(now_s * MILLISECONDS_PER_S + max(offsets_ms))

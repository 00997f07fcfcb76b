"""Clocks that follow the event loop's virtual time."""

import asyncio
import math
from dataclasses import dataclass


@dataclass
class LoopWallClock:
    """Implements ``WallClock``, ``skew_s`` seconds ahead of a clock without skew."""

    start_unix_s: float = 1_800_000_000.0
    skew_s: float = 0.0

    def now_unix_s(self) -> float:
        return self.start_unix_s + self.skew_s + asyncio.get_running_loop().time()


@dataclass
class SetSuspensionClock:
    """Implements ``SuspensionClock``; tests set the time."""

    seconds: float = 0.0

    def suspended_s(self) -> float:
        return self.seconds


@dataclass
class LoopStoreClock:
    """Implements ``StoreClock``; its readings are ``late_s`` too low.

    Parameters
    ----------
    error_s : float or None
        Error that the clock states; ``None`` for the true one, ``late_s``.
    """

    ahead_s: float = 70_000.0
    late_s: float = 0.0
    error_s: float | None = None

    def clock_s(self, max_error_s: float = math.inf) -> float | None:
        error_s = self.late_s if self.error_s is None else self.error_s
        if error_s > max_error_s:
            return None
        return asyncio.get_running_loop().time() + self.ahead_s - self.late_s

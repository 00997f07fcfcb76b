"""Wall clock that follows the event loop's virtual time."""

import asyncio
from dataclasses import dataclass


@dataclass
class LoopWallClock:
    """Implements ``WallClock``, ``skew_s`` seconds ahead of a clock without skew."""

    start_unix_s: float = 1_800_000_000.0
    skew_s: float = 0.0

    def now_unix_s(self) -> float:
        return self.start_unix_s + self.skew_s + asyncio.get_running_loop().time()

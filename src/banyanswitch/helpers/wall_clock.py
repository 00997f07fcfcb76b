"""Wall-clock time for records that outlive a process."""

import time
from typing import Protocol


class WallClock(Protocol):
    """Source of wall-clock time."""

    def now_unix_s(self) -> float:
        """Return the seconds since the Unix epoch."""


class SystemWallClock:
    """Wall-clock time of the operating system."""

    def now_unix_s(self) -> float:
        """Return the seconds since the Unix epoch."""
        return time.time()

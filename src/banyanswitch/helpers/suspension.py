"""Detection that the machine was suspended, which the loop's clock does not count."""

import time
from typing import Protocol


class SuspensionClock(Protocol):
    """Tells how long the machine has been suspended since its start."""

    def suspended_s(self) -> float:
        """Return the time that the loop's clock has left out, in seconds."""


class SystemSuspensionClock:
    """Implements ``SuspensionClock`` by the kernel's two steady clocks."""

    def suspended_s(self) -> float:
        """Return the time that the loop's clock has left out, in seconds."""
        boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        return boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)

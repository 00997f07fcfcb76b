"""Detection that the machine was suspended, which the loop's clock does not count."""

import time
from collections.abc import Callable
from typing import Final, Protocol

import structlog

LOGGER = structlog.get_logger(__name__)

SUSPENSION_LIMIT_S: Final = 0.05
"""Suspension from which on what was believed before is not relied on."""


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


class SuspensionWatch:
    """Notice a suspension before anything is done that relies on time.

    Parameters
    ----------
    clock : SuspensionClock
        Tells the time that was left out.
    """

    def __init__(self, clock: SuspensionClock) -> None:
        self._clock = clock
        self._suspended_s = clock.suspended_s()
        self._handlers: list[Callable[[], None]] = []

    def subscribe(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each suspension that is noticed."""
        self._handlers.append(handler)

    def check(self) -> None:
        """Call the handlers if the machine was suspended since the last check."""
        suspended_s = self._clock.suspended_s()
        length_s = suspended_s - self._suspended_s
        self._suspended_s = suspended_s
        if length_s <= SUSPENSION_LIMIT_S:
            return
        LOGGER.warning("machine_was_suspended", for_s=round(length_s, 3))
        for handler in self._handlers:
            handler()

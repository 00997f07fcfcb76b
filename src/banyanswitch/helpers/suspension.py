"""Detection of machine suspensions, which the event loop's clock doesn't count."""

import time
from collections.abc import Callable
from typing import Final, Protocol

import structlog

LOGGER = structlog.get_logger(__name__)

SUSPENSION_THRESHOLD_S: Final = 0.05
"""Suspensions longer than this invalidate the state from before them."""


class SuspensionClock(Protocol):
    """Clock of the time that the machine has been suspended since its start."""

    def suspended_s(self) -> float:
        """Return the total time of all suspensions, in seconds."""


class SystemSuspensionClock:
    """Implements ``SuspensionClock`` as the difference of two kernel clocks.

    Only ``CLOCK_BOOTTIME`` advances during a suspension, not ``CLOCK_MONOTONIC``.
    """

    def suspended_s(self) -> float:
        """Return the total time of all suspensions, in seconds."""
        boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        return boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)


class SuspensionWatch:
    """Detects suspensions; callers check before they act on time-limited state.

    Parameters
    ----------
    clock : SuspensionClock
        Source of the total time of all suspensions.
    """

    def __init__(self, clock: SuspensionClock) -> None:
        self._clock = clock
        self._suspended_s = clock.suspended_s()
        self._handlers: list[Callable[[], None]] = []

    def subscribe(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each suspension that is detected."""
        self._handlers.append(handler)

    def check(self) -> None:
        """Call the handlers if the machine was suspended since the last check.

        Suspensions of up to `SUSPENSION_THRESHOLD_S` in all are ignored.
        """
        suspended_s = self._clock.suspended_s()
        length_s = suspended_s - self._suspended_s
        self._suspended_s = suspended_s
        if length_s <= SUSPENSION_THRESHOLD_S:
            return
        LOGGER.warning("machine_was_suspended", for_s=round(length_s, 3))
        for handler in self._handlers:
            handler()

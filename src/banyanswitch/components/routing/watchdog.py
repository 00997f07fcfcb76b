"""Watchdog that interrupts reads which take too long.

One timer for all streams costs less than a timeout for each read, of which there is
one a token.
"""

import asyncio
from typing import Protocol

from banyanswitch.core import Kernel, callback

CHECK_S = 0.5


class WatchedRead(Protocol):
    """A reader that the watchdog may interrupt."""

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the present read has taken too long."""

    def interrupt(self) -> None:
        """Let the present read fail."""


class ReadWatchdog:
    """Check all registered readers regularly.

    Parameters
    ----------
    kernel : Kernel
        Clock and task lifetimes.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._reads: set[WatchedRead] = set()
        kernel.create_task(self._async_run(), "watch reads of streams")

    @callback
    def add(self, read: WatchedRead) -> None:
        """Watch a reader."""
        self._reads.add(read)

    @callback
    def discard(self, read: WatchedRead) -> None:
        """Stop to watch a reader."""
        self._reads.discard(read)

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            now_s = self._kernel.now_s
            for read in tuple(self._reads):
                if read.is_overdue(now_s):
                    read.interrupt()

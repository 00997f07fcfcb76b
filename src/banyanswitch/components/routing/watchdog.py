"""Watchdog that interrupts a read or write of a stream if it takes too long.

There is a read and a write per token, so one timer for all streams costs less than a
timeout for each read and write.
"""

import asyncio
from typing import Protocol

from banyanswitch.core import Kernel, callback

CHECK_INTERVAL_S = 0.5


class WatchedTransfer(Protocol):
    """A reader or writer that the watchdog may interrupt."""

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the current transfer has taken too long."""

    def interrupt(self) -> None:
        """Make the current transfer fail."""


class StreamWatchdog:
    """Check all registered transfers periodically.

    Parameters
    ----------
    kernel : Kernel
        Clock and task lifetimes.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._transfers: set[WatchedTransfer] = set()
        kernel.create_task(self._async_run(), "watch streams")

    @callback
    def add(self, transfer: WatchedTransfer) -> None:
        """Start watching a transfer."""
        self._transfers.add(transfer)

    @callback
    def discard(self, transfer: WatchedTransfer) -> None:
        """Stop watching a transfer."""
        self._transfers.discard(transfer)

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = self._kernel.now_s
            for transfer in tuple(self._transfers):
                if transfer.is_overdue(now_s):
                    transfer.interrupt()

"""Count of requests in progress, so that a graceful shutdown can wait for them."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class RequestTracker:
    """Count the requests in progress on this instance."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Current number of requests in progress."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request for the duration of the ``with`` block."""
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if self._count == 0:
                self._idle.set()

    async def async_wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

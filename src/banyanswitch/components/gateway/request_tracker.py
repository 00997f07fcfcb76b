"""Count of requests in progress, so that a graceful shutdown can wait for them."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from banyanswitch.components.routing.const import RETRY_AFTER_S
from banyanswitch.core import callback
from banyanswitch.exceptions import RefusalError

CODE_LEAVING = "leaving"
STATUS_UNAVAILABLE = 503


class RequestTracker:
    """Count the requests in progress on this instance."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._is_refusing = False

    @property
    def count(self) -> int:
        """Current number of requests in progress."""
        return self._count

    @callback
    def refuse_new(self) -> None:
        """Refuse all further requests, so that those in progress come to an end."""
        self._is_refusing = True

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request for the duration of the ``with`` block.

        Raises
        ------
        RefusalError
            If new requests are refused.
        """
        if self._is_refusing:
            raise RefusalError(
                CODE_LEAVING,
                "this instance is stopping",
                status=STATUS_UNAVAILABLE,
                retry_after_s=RETRY_AFTER_S,
            )
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

"""Bound on the time for which a caller may not read its stream."""

import asyncio
import math

import structlog
from aiohttp import web

from banyanswitch.core import callback

LOGGER = structlog.get_logger(__name__)
SLOW_READER_TIMEOUT_S = 60.0


class CallerWrites:
    """Writes to one caller, cut when one of them can't be finished.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    response : web.StreamResponse
        Prepared answer.
    """

    def __init__(self, request: web.Request, response: web.StreamResponse) -> None:
        self._transport = request.transport
        self._response = response
        self._loop = asyncio.get_running_loop()
        self._overdue_at_s = math.inf

    async def async_write(self, content: bytes) -> None:
        """Write; waits while the caller does not read."""
        self._overdue_at_s = self._loop.time() + SLOW_READER_TIMEOUT_S
        await self._response.write(content)
        self._overdue_at_s = math.inf

    @callback
    def is_overdue(self, now_s: float) -> bool:
        """Return whether the present write has taken too long."""
        return now_s > self._overdue_at_s

    @callback
    def interrupt(self) -> None:
        """Cut the connection."""
        LOGGER.warning("caller_not_reading")
        if self._transport is not None:
            self._transport.abort()

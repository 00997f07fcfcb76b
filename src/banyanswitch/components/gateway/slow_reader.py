"""Time limit on writes to a caller that does not read its stream."""

import asyncio
import math

import structlog
from aiohttp import web

from banyanswitch.core import callback

LOGGER = structlog.get_logger(__name__)
SLOW_READER_TIMEOUT_S = 60.0


class ResponseWriter:
    """Writer of a streamed response whose writes can time out.

    ``StreamWatchdog`` checks ``is_overdue`` and interrupts an overdue write.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    response : web.StreamResponse
        Response to write to.
    """

    def __init__(self, request: web.Request, response: web.StreamResponse) -> None:
        self._transport = request.transport
        self._response = response
        self._loop = asyncio.get_running_loop()
        self._write_deadline_s = math.inf

    async def async_write(self, content: bytes) -> None:
        """Write content, waiting while the caller does not read."""
        self._write_deadline_s = self._loop.time() + SLOW_READER_TIMEOUT_S
        await self._response.write(content)
        self._write_deadline_s = math.inf

    @callback
    def is_overdue(self, now_s: float) -> bool:
        """Return whether the current write has exceeded the time limit."""
        return now_s > self._write_deadline_s

    @callback
    def interrupt(self) -> None:
        """Abort the connection, which fails the current write."""
        LOGGER.warning("caller_not_reading")
        if self._transport is not None:
            self._transport.abort()

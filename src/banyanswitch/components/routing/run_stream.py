"""Verified event stream of one run, resumed when a connection breaks."""

import asyncio
import math

import aiohttp
import structlog

from banyanswitch.components.routing.const import (
    RESUME_ATTEMPTS,
    RESUME_BACKOFF_S,
    TOKEN_TIMEOUT_S,
)
from banyanswitch.components.routing.models import (
    RunLostError,
    StreamTarget,
    UpstreamRejectedError,
)
from banyanswitch.components.routing.upstream_client import UpstreamClient
from banyanswitch.components.routing.watchdog import StreamWatchdog
from banyanswitch.components.streams.verifier import (
    EventVerifier,
    StreamFault,
    VerifiedChunk,
)
from banyanswitch.core import callback
from banyanswitch.exceptions import UpstreamError

LOGGER = structlog.get_logger(__name__)


class RunStream:
    """Read the verified events of one run and resume it when a connection breaks.

    Parameters
    ----------
    client : UpstreamClient
        Opens new connections to resume the run.
    watchdog : StreamWatchdog
        Interrupts reads that take too long.
    target : StreamTarget
        The run and its upstream.
    next_offset : int
        Offset of the first event that the caller does not have.
    response : aiohttp.ClientResponse, optional
        Response that is already open.
    first_event_timeout_s : float
        Maximum wait of each read until the first event has arrived, in seconds. A value
        below `TOKEN_TIMEOUT_S` is raised to it.
    """

    def __init__(
        self,
        client: UpstreamClient,
        watchdog: StreamWatchdog,
        target: StreamTarget,
        *,
        next_offset: int = 0,
        response: aiohttp.ClientResponse | None = None,
        first_event_timeout_s: float = TOKEN_TIMEOUT_S,
    ) -> None:
        self.target = target
        self._client = client
        self._watchdog = watchdog
        self._loop = asyncio.get_running_loop()
        self._response = response
        self._verifier = EventVerifier(target.run_id, next_offset)
        self._failures = 0
        self._timeout_s = max(TOKEN_TIMEOUT_S, first_event_timeout_s)
        self._overdue_at_s = math.inf
        watchdog.add(self)

    async def async_next(self) -> VerifiedChunk | None:
        """Return the next events, or ``None`` after the last one.

        Raises
        ------
        RunLostError
            If the run can't be continued.
        """
        verifier = self._verifier
        while not verifier.is_done:
            try:
                response = self._response or await self._async_reconnect()
                self._overdue_at_s = self._loop.time() + self._timeout_s
                received = await response.content.readany()
            except (UpstreamError, aiohttp.ClientError, OSError) as error:
                await self._async_after_failure(error)
                continue
            finally:
                self._overdue_at_s = math.inf
            if not received:
                await self._async_after_failure(None)
                continue
            chunk = verifier.feed(received)
            if chunk.fault is not None:
                self._on_fault(chunk.fault)
            if chunk.event_count:
                self._failures = 0
                self._timeout_s = TOKEN_TIMEOUT_S
                return chunk
        self.release()
        return None

    @callback
    def release(self) -> None:
        """Close the connection and stop watching it."""
        self._watchdog.discard(self)
        self._close()

    @callback
    def is_overdue(self, now_s: float) -> bool:
        """Return whether the current read has taken too long."""
        return now_s > self._overdue_at_s

    @callback
    def interrupt(self) -> None:
        """Make the current read fail."""
        LOGGER.warning(
            "stream_silent",
            run=self.target.run_id,
            upstream=self.target.identity.upstream,
        )
        self._close()

    async def _async_reconnect(self) -> aiohttp.ClientResponse:
        self._verifier.restart()
        self._response = await self._client.async_resume_run(
            self.target, self._verifier.next_offset
        )
        return self._response

    async def _async_after_failure(self, error: Exception | None) -> None:
        self._close()
        self._failures += 1
        if isinstance(error, UpstreamRejectedError) or (
            self._failures > RESUME_ATTEMPTS
        ):
            raise RunLostError(f"the run can't be continued: {error!r}") from error
        await asyncio.sleep(RESUME_BACKOFF_S * self._failures)

    def _on_fault(self, fault: StreamFault) -> None:
        LOGGER.warning(
            "stream_fault",
            run=self.target.run_id,
            upstream=self.target.identity.upstream,
            fault=fault.value,
        )
        self._failures += 1
        self._close()

    def _close(self) -> None:
        if self._response is not None:
            self._response.close()
            self._response = None

"""Verified events of one run, resumed when a connection breaks."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import structlog

from banyanswitch.components.routing.const import (
    RESUME_ATTEMPTS,
    RESUME_BACKOFF_S,
    TOKEN_TIMEOUT_S,
)
from banyanswitch.components.routing.models import RunLostError, UpstreamRejectedError
from banyanswitch.components.routing.upstream_client import UpstreamClient
from banyanswitch.components.streams.verifier import EventVerifier, VerifiedChunk
from banyanswitch.exceptions import UpstreamError
from banyanswitch.helpers.run_identity import RunIdentity
from banyanswitch.identifiers import RunId

LOGGER = structlog.get_logger(__name__)


class RunStream:
    """Verified events of one run, resumed at the upstream when a connection breaks.

    Parameters
    ----------
    client : UpstreamClient
        Opens further connections.
    url : str
        Base URL of the upstream that has the run.
    run_id, identity : RunId, RunIdentity
        What each answer must confirm.
    next_offset : int
        First event that the caller does not have.
    response : aiohttp.ClientResponse, optional
        Connection that is open already.
    first_event_timeout_s : float
        Longest wait for the first event, in seconds.
    """

    def __init__(
        self,
        client: UpstreamClient,
        url: str,
        run_id: RunId,
        identity: RunIdentity,
        *,
        next_offset: int = 0,
        response: aiohttp.ClientResponse | None = None,
        first_event_timeout_s: float = TOKEN_TIMEOUT_S,
    ) -> None:
        self.run_id = run_id
        self.identity = identity
        self.url = url
        self._client = client
        self._response = response
        self._verifier = EventVerifier(run_id, next_offset)
        self._failures = 0
        self._timeout_s = max(TOKEN_TIMEOUT_S, first_event_timeout_s)

    @property
    def is_done(self) -> bool:
        """Whether the last event of the run was passed on."""
        return self._verifier.is_done

    async def async_chunks(self) -> AsyncIterator[VerifiedChunk]:
        """Yield chunks with at least one event until the run is done.

        Raises
        ------
        RunLostError
            If the run can't be continued.
        """
        while not self.is_done:
            received = await self._async_receive()
            chunk = self._verifier.feed(received)
            if chunk.event_count:
                self._failures = 0
                self._timeout_s = TOKEN_TIMEOUT_S
                yield chunk
            if chunk.fault is not None:
                LOGGER.warning(
                    "stream_fault",
                    run=self.run_id,
                    upstream=self.identity.upstream,
                    fault=chunk.fault.value,
                )
                self._drop_connection()
        self.release()

    def release(self) -> None:
        """Give up the connection."""
        if self._response is not None:
            self._response.close()
            self._response = None

    async def _async_receive(self) -> bytes:
        try:
            if self._response is None:
                self._response = await self._async_reconnect()
            received = await self._async_read(self._response)
        except (UpstreamError, aiohttp.ClientError, TimeoutError, OSError) as error:
            await self._async_after_failure(error)
            return b""
        if not received:
            await self._async_after_failure(None)
        return received

    async def _async_read(self, response: aiohttp.ClientResponse) -> bytes:
        async with asyncio.timeout(self._timeout_s):
            return await response.content.readany()

    async def _async_reconnect(self) -> aiohttp.ClientResponse:
        self._verifier.restart()
        return await self._client.async_resume_run(
            self.url, self.run_id, self.identity, self._verifier.next_offset
        )

    async def _async_after_failure(self, error: Exception | None) -> None:
        self._drop_connection()
        if isinstance(error, UpstreamRejectedError) or (
            self._failures > RESUME_ATTEMPTS
        ):
            raise RunLostError(f"the run can't be continued: {error!r}") from error
        await asyncio.sleep(RESUME_BACKOFF_S * self._failures)

    def _drop_connection(self) -> None:
        self._failures += 1
        self.release()

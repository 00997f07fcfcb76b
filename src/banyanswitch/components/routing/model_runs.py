"""Runs of model services: placed, retried while nothing was passed on, resumed."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping

import aiohttp
import structlog

from banyanswitch.components.gateway.models import ModelCall
from banyanswitch.components.routing.const import (
    HEADER_PIECES,
    HEADER_PROMPT_TOKENS,
    MAX_PLACEMENT_ATTEMPTS,
    RESUME_ATTEMPTS,
    RESUME_BACKOFF_S,
    RETRY_AFTER_S,
)
from banyanswitch.components.routing.models import (
    Attempt,
    OpenRun,
    PrefixImporter,
    PromptServed,
    RunLostError,
    UpstreamDeclinedError,
    UpstreamRejectedError,
    WholeAnswer,
)
from banyanswitch.components.routing.placement import Placements
from banyanswitch.components.routing.upstream_client import (
    UpstreamClient,
    async_read_answer,
)
from banyanswitch.components.streams.verifier import EventVerifier, VerifiedChunk
from banyanswitch.const import (
    HEADER_CACHE_SALT,
    HEADER_PRIORITY,
    HEADER_RUN_ID,
    HEADER_WEIGHT_VERSION,
    HEADER_WORKSPACE,
)
from banyanswitch.core import callback
from banyanswitch.decisions.placement import PlacementRequest
from banyanswitch.decisions.prefix import cache_salt
from banyanswitch.exceptions import RefusalError, RunOutcome, UpstreamError
from banyanswitch.helpers.run_identity import RunIdentity, StreamPosition
from banyanswitch.identifiers import RunId, UpstreamId

LOGGER = structlog.get_logger(__name__)
NO_UPSTREAMS: frozenset[UpstreamId] = frozenset()


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
    ) -> None:
        self.run_id = run_id
        self.identity = identity
        self.url = url
        self._client = client
        self._response = response
        self._verifier = EventVerifier(run_id, next_offset)
        self._failures = 0

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

    @property
    def connection(self) -> aiohttp.ClientResponse | None:
        """Connection that is open at the moment."""
        return self._response

    def release(self) -> None:
        """Give up the connection."""
        if self._response is not None:
            self._response.close()
            self._response = None

    async def _async_receive(self) -> bytes:
        try:
            if self._response is None:
                await self._async_reconnect()
            assert self._response is not None
            received = await self._response.content.readany()
        except (UpstreamError, aiohttp.ClientError, TimeoutError, OSError) as error:
            await self._async_after_failure(error)
            return b""
        if not received:
            await self._async_after_failure(None)
        return received

    async def _async_reconnect(self) -> None:
        self._verifier.restart()
        self._response = await self._client.async_resume_run(
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


class ModelRuns:
    """Start and resume runs of model services.

    Parameters
    ----------
    placements : Placements
        Chooses upstreams.
    client : UpstreamClient
        Talks to upstreams.
    on_upstream_failure : callable
        Told of each upstream that broke or could not be reached.
    publish : callable
        Told of each prompt that an upstream has computed.
    """

    def __init__(
        self,
        placements: Placements,
        client: UpstreamClient,
        on_upstream_failure: Callable[[UpstreamId], None],
        publish: Callable[[PromptServed], None],
    ) -> None:
        self._placements = placements
        self._client = client
        self._on_upstream_failure = on_upstream_failure
        self._publish = publish
        self._importer: PrefixImporter | None = None

    @callback
    def set_importer(self, importer: PrefixImporter) -> None:
        """Let placements that ask for it import stored prefixes first."""
        self._importer = importer

    async def async_open(self, call: ModelCall) -> OpenRun:
        """Start a run at an upstream that confirmed its identity.

        Model runs may be repeated, so a run that fails before its first token has
        been passed on is tried at another upstream.

        Raises
        ------
        RefusalError
            If no upstream took it.
        """
        request = self._placements.model_request(call, _now_s())
        return await self._async_open(call, request, NO_UPSTREAMS)

    async def async_reopen(self, call: ModelCall, failed: OpenRun) -> OpenRun:
        """Start again elsewhere after a run failed before anything was passed on."""
        attempt = failed.attempt
        self.finished(attempt)
        excluded = attempt.request.excluded | {attempt.place.upstream}
        request = self._placements.model_request(call, _now_s())
        return await self._async_open(call, request, excluded)

    async def async_complete(self, call: ModelCall) -> WholeAnswer:
        """Return the whole answer of a run that does not stream.

        Raises
        ------
        RefusalError
            If no upstream gave it.
        """
        run = await self.async_open(call)
        while True:
            try:
                return await self._async_read(call, run)
            except UpstreamError:
                self._on_upstream_failure(run.attempt.place.upstream)
                run = await self.async_reopen(call, run)

    def stream(self, run: OpenRun) -> RunStream:
        """Return the verified events of an open run."""
        attempt = run.attempt
        return RunStream(
            self._client,
            attempt.url,
            attempt.run_id,
            attempt.identity,
            response=run.response,
        )

    def resumed_stream(self, position: StreamPosition, url: str) -> RunStream:
        """Return the events after those that the caller has."""
        return RunStream(
            self._client,
            url,
            position.run_id,
            position.identity,
            next_offset=position.offset + 1,
        )

    def first_token(self, run: OpenRun) -> None:
        """Note that the first token of a run arrived."""
        self._placements.first_token(run.attempt.place, _now_s())
        self._publish(PromptServed(run.attempt, run.cached_pieces))

    def finished(self, attempt: Attempt) -> None:
        """Note that an attempt ended."""
        self._placements.finished(attempt.place, _now_s())

    async def async_cancel(
        self, url: str, run_id: RunId, *, only_if_unread: bool
    ) -> None:
        """End a run whose caller has gone."""
        await self._client.async_cancel_run(url, run_id, only_if_unread=only_if_unread)

    async def _async_read(self, call: ModelCall, run: OpenRun) -> WholeAnswer:
        attempt = run.attempt
        try:
            answer = await async_read_answer(run)
        except asyncio.CancelledError:
            run.response.close()
            self.finished(attempt)
            await asyncio.shield(
                self.async_cancel(attempt.url, attempt.run_id, only_if_unread=False)
            )
            raise
        self.first_token(run)
        self.finished(attempt)
        return answer

    async def _async_open(
        self,
        call: ModelCall,
        request: PlacementRequest,
        excluded: frozenset[UpstreamId],
    ) -> OpenRun:
        while True:
            if len(excluded) >= MAX_PLACEMENT_ATTEMPTS:
                raise _exhausted()
            attempt = await self._placements.async_attempt(
                request, excluded, call.latest_start_s
            )
            run = await self._async_try(call, attempt)
            if run is not None:
                return run
            excluded |= {attempt.place.upstream}

    async def _async_import_first(self, attempt: Attempt) -> None:
        if self._importer is None or attempt.place.import_first is None:
            return
        is_imported = await self._importer.async_import(attempt)
        LOGGER.debug("import_first", run=attempt.run_id, is_imported=is_imported)

    async def _async_try(self, call: ModelCall, attempt: Attempt) -> OpenRun | None:
        try:
            await self._async_import_first(attempt)
            return await self._client.async_open_run(
                attempt, call.path, _headers(attempt), call.body
            )
        except UpstreamRejectedError as error:
            self.finished(attempt)
            raise RefusalError(
                "rejected_by_upstream", str(error), status=error.status
            ) from error
        except UpstreamDeclinedError as error:
            self.finished(attempt)
            LOGGER.info(
                "upstream_declined",
                upstream=attempt.place.upstream,
                code=error.code,
            )
            return None
        except UpstreamError as error:
            self.finished(attempt)
            self._on_upstream_failure(attempt.place.upstream)
            LOGGER.warning(
                "upstream_failed", upstream=attempt.place.upstream, reason=str(error)
            )
            return None
        except asyncio.CancelledError:
            self.finished(attempt)
            raise


def _headers(attempt: Attempt) -> Mapping[str, str]:
    identity = attempt.identity
    return {
        "Content-Type": "application/json",
        HEADER_RUN_ID: attempt.run_id,
        HEADER_WORKSPACE: identity.workspace,
        HEADER_WEIGHT_VERSION: identity.weight_version,
        HEADER_CACHE_SALT: cache_salt(identity.workspace, identity.weight_version),
        HEADER_PRIORITY: attempt.request.priority.value,
        HEADER_PIECES: ",".join(attempt.request.piece_hashes),
        HEADER_PROMPT_TOKENS: str(attempt.request.prompt_tokens),
    }


def _exhausted() -> RefusalError:
    return RefusalError(
        "upstreams_failed",
        "every upstream that was tried failed",
        status=502,
        outcome=RunOutcome.PARTIAL,
        retry_after_s=RETRY_AFTER_S,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()

"""Runs of model services: placement, retries before the first event, resumption."""

import asyncio
from collections.abc import Mapping

import structlog

from banyanswitch.components.routing.calls import ModelCall
from banyanswitch.components.routing.const import (
    HEADER_PIECES,
    HEADER_PROMPT_TOKENS,
    TOKEN_TIMEOUT_S,
)
from banyanswitch.components.routing.health import UpstreamHealth
from banyanswitch.components.routing.models import (
    Attempt,
    CompleteResponse,
    OpenRun,
    PrefixImporter,
    PromptServed,
    RunLostError,
    StreamTarget,
    UpstreamDeclinedError,
    UpstreamRejectedError,
)
from banyanswitch.components.routing.placement import AttemptPlacer
from banyanswitch.components.routing.retries import ServiceRetriers
from banyanswitch.components.routing.run_stream import RunStream
from banyanswitch.components.routing.upstream_client import (
    UpstreamClient,
    async_read_response,
)
from banyanswitch.components.routing.watchdog import StreamWatchdog
from banyanswitch.components.streams.verifier import VerifiedChunk
from banyanswitch.const import (
    HEADER_CACHE_SALT,
    HEADER_PRIORITY,
    HEADER_RUN_ID,
    HEADER_WEIGHT_VERSION,
    HEADER_WORKSPACE,
)
from banyanswitch.core import Kernel, callback
from banyanswitch.decisions.prefix import cache_salt
from banyanswitch.decisions.retry import FailedAttempt
from banyanswitch.exceptions import RefusalError, RunOutcome, UpstreamError
from banyanswitch.helpers.run_identity import StreamPosition
from banyanswitch.identifiers import UpstreamId

LOGGER = structlog.get_logger(__name__)
NO_UPSTREAMS: frozenset[UpstreamId] = frozenset()
FIRST_TOKEN_TIMEOUT_FACTOR = 4.0
"""Multiple of the expected time to first token that is added to `TOKEN_TIMEOUT_S`."""


class ModelRuns:
    """Start and resume runs of model services.

    Model runs are repeatable: a run that fails before any part of its response was
    sent to the caller is cancelled and started again at another upstream, within the
    retry budget.

    Parameters
    ----------
    kernel : Kernel
        Clock, bus and task lifetimes.
    placer : AttemptPlacer
        Chooses upstreams and accounts for attempts.
    client : UpstreamClient
        Sends requests to upstreams.
    health : UpstreamHealth
        Receives failures and successes of upstreams.
    retries : ServiceRetriers
        Limits the repeated attempts.
    watchdog : StreamWatchdog
        Interrupts transfers that take too long.
    """

    def __init__(
        self,
        kernel: Kernel,
        placer: AttemptPlacer,
        client: UpstreamClient,
        *,
        health: UpstreamHealth,
        retries: ServiceRetriers,
        watchdog: StreamWatchdog,
    ) -> None:
        self._watchdog = watchdog
        self._kernel = kernel
        self._placer = placer
        self._client = client
        self._health = health
        self._retries = retries
        self._importer: PrefixImporter | None = None

    @callback
    def set_importer(self, importer: PrefixImporter) -> None:
        """Set the importer used by placements that import a stored prefix first."""
        self._importer = importer

    async def async_open(self, call: ModelCall) -> OpenRun:
        """Start a run and return it after its upstream has confirmed its identity.

        Raises
        ------
        RefusalError
            If no upstream accepted the run.
        """
        self._retries.note_first_attempt(call.service.name)
        return await self._async_open(call, NO_UPSTREAMS)

    async def async_reopen(self, call: ModelCall, failed: OpenRun) -> OpenRun:
        """Start a run again at another upstream after it failed.

        The caller must not have received any part of the failed run.

        Raises
        ------
        RefusalError
            If no further attempt is allowed.
        """
        attempt = failed.attempt
        self.abort_run(failed)
        self._health.note_failure(attempt.place.upstream)
        excluded = attempt.request.excluded | {attempt.place.upstream}
        await self._async_wait_for_retry(call, excluded)
        return await self._async_open(call, excluded)

    async def async_complete(self, call: ModelCall) -> CompleteResponse:
        """Return the complete response of a run that does not stream.

        Raises
        ------
        RefusalError
            If no upstream returned a response.
        """
        run = await self.async_open(call)
        while True:
            try:
                return await self._async_read(call, run)
            except UpstreamError:
                run = await self.async_reopen(call, run)

    @callback
    def stream(self, run: OpenRun) -> RunStream:
        """Return the verified events of an open run."""
        expected_s = run.attempt.place.expected_first_token_s
        return RunStream(
            self._client,
            self._watchdog,
            _target(run.attempt),
            response=run.response,
            first_event_timeout_s=TOKEN_TIMEOUT_S
            + FIRST_TOKEN_TIMEOUT_FACTOR * expected_s,
        )

    @callback
    def resumed_stream(self, position: StreamPosition, url: str) -> RunStream:
        """Return the verified events after the last one that the caller received."""
        target = StreamTarget(url, position.run_id, position.identity)
        return RunStream(
            self._client, self._watchdog, target, next_offset=position.offset + 1
        )

    async def async_first_chunk(
        self, call: ModelCall, run: OpenRun, stream: RunStream
    ) -> VerifiedChunk | None:
        """Return the first events of a run.

        If the upstream of an interactive request sends no event for much longer than
        expected and the retry budget allows it, the wait is ended, so that the request
        can be started at another upstream.

        Raises
        ------
        RunLostError
            If the run is lost or the wait was ended.
        """
        place = run.attempt.place
        hedge_delay_s = self._retries.hedge_after_s(
            call.service.name, place.expected_first_token_s, call.priority
        )
        first_chunk = asyncio.ensure_future(stream.async_next())
        try:
            await asyncio.wait({first_chunk}, timeout=hedge_delay_s)
            if not first_chunk.done() and self._retries.try_hedge(call.service.name):
                raise RunLostError(f"upstream {place.upstream} sent no event in time")
            return await first_chunk
        finally:
            first_chunk.cancel()

    @callback
    def note_first_token(self, run: OpenRun) -> None:
        """Record that the first token of a run arrived."""
        attempt = run.attempt
        self._health.note_success(attempt.place.upstream)
        self._placer.note_first_token(attempt.place, self._kernel.now_s)
        self._kernel.bus.publish(PromptServed(attempt, run.cached_pieces))

    @callback
    def note_finished(self, attempt: Attempt) -> None:
        """Record that an attempt ended."""
        self._placer.note_finished(attempt.place, self._kernel.now_s)

    @callback
    def abort_run(self, run: OpenRun) -> None:
        """Close the response of a run and cancel the run at its upstream."""
        run.response.close()
        self._abort_attempt(run.attempt)

    async def async_cancel(self, target: StreamTarget, *, only_if_unread: bool) -> None:
        """Cancel a run whose result is no longer needed.

        Parameters
        ----------
        only_if_unread : bool
            Whether the upstream continues the run if its stream is being read, for
            example through another instance.
        """
        await self._client.async_cancel_run(target, only_if_unread=only_if_unread)

    async def _async_read(self, call: ModelCall, run: OpenRun) -> CompleteResponse:
        try:
            answer = await async_read_response(run, call.service.request_timeout_s)
        except asyncio.CancelledError:
            self.abort_run(run)
            raise
        self.note_first_token(run)
        self.note_finished(run.attempt)
        return answer

    async def _async_open(
        self, call: ModelCall, excluded: frozenset[UpstreamId]
    ) -> OpenRun:
        request = self._placer.model_request(call, self._kernel.now_s)
        while True:
            attempt = await self._placer.async_attempt(request, excluded, call.ticket)
            run = await self._async_try(call, attempt)
            if run is not None:
                return run
            excluded |= {attempt.place.upstream}
            await self._async_wait_for_retry(call, excluded)

    async def _async_wait_for_retry(
        self, call: ModelCall, excluded: frozenset[UpstreamId]
    ) -> None:
        failed = FailedAttempt(
            outcome=RunOutcome.PARTIAL, is_repeatable=True, attempts=len(excluded)
        )
        await self._retries.async_wait_for_retry(call.service.name, failed)

    async def _async_try(self, call: ModelCall, attempt: Attempt) -> OpenRun | None:
        try:
            await self._async_import_first(attempt)
            return await self._client.async_open_run(
                attempt, call.path, _headers(attempt), call.body
            )
        except UpstreamRejectedError as error:
            self.note_finished(attempt)
            raise _rejection_refusal(error) from error
        except UpstreamDeclinedError as error:
            self.note_finished(attempt)
            _log_failure(attempt, error)
        except UpstreamError as error:
            self._abort_attempt(attempt)
            self._health.note_failure(attempt.place.upstream)
            _log_failure(attempt, error)
        except asyncio.CancelledError:
            self._abort_attempt(attempt)
            raise
        return None

    async def _async_import_first(self, attempt: Attempt) -> None:
        if self._importer is None or attempt.place.import_first is None:
            return
        is_imported = await self._importer.async_import(attempt)
        LOGGER.debug("import_first", run=attempt.run_id, is_imported=is_imported)

    def _abort_attempt(self, attempt: Attempt) -> None:
        self.note_finished(attempt)
        self._kernel.create_task(
            self.async_cancel(_target(attempt), only_if_unread=False),
            f"cancel {attempt.run_id}",
        )


def _target(attempt: Attempt) -> StreamTarget:
    return StreamTarget(attempt.url, attempt.run_id, attempt.identity)


def _log_failure(attempt: Attempt, error: UpstreamError) -> None:
    LOGGER.warning(
        "upstream_failed",
        run=attempt.run_id,
        upstream=attempt.place.upstream,
        reason=str(error),
    )


def _rejection_refusal(error: UpstreamRejectedError) -> RefusalError:
    return RefusalError("rejected_by_upstream", str(error), status=error.status)


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

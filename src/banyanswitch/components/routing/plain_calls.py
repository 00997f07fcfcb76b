"""Calls of plain services. Non-repeatable calls run at most once."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from banyanswitch.components.routing.calls import PlainCall
from banyanswitch.components.routing.const import (
    MAX_PLAIN_ATTEMPTS,
    RETRY_AFTER_S,
)
from banyanswitch.components.routing.models import (
    Attempt,
    CompleteResponse,
    UpstreamDeclinedError,
    UpstreamRequest,
)
from banyanswitch.components.routing.placement import AttemptPlacer
from banyanswitch.components.routing.upstream_client import UpstreamClient
from banyanswitch.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_RUN_ID,
    HEADER_WORKSPACE,
)
from banyanswitch.exceptions import (
    PlatformError,
    RefusalError,
    RunOutcome,
    UpstreamError,
    UpstreamNotSentError,
)
from banyanswitch.helpers.digests import request_digest
from banyanswitch.identifiers import UpstreamId
from banyanswitch.interfaces import (
    ClaimResult,
    ClaimState,
    IdempotencyStore,
    StoredAnswer,
)

LOGGER = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class _HeldClaim:
    """A claim of an idempotency key that allows the call to be sent once."""

    key: str
    attempt: str


class PlainCalls:
    """Execute calls of plain services.

    Parameters
    ----------
    placer : AttemptPlacer
        Chooses upstreams and accounts for attempts.
    client : UpstreamClient
        Sends requests to upstreams.
    records : IdempotencyStore
        Records of the calls with an idempotency key.
    on_upstream_failure : callable
        Called with each upstream that failed or could not be reached.
    """

    def __init__(
        self,
        placer: AttemptPlacer,
        client: UpstreamClient,
        records: IdempotencyStore,
        on_upstream_failure: Callable[[UpstreamId], None],
    ) -> None:
        self._placer = placer
        self._client = client
        self._records = records
        self._on_upstream_failure = on_upstream_failure

    async def async_call(self, call: PlainCall) -> StoredAnswer:
        """Return the response of a call, from its record if it ran before.

        Raises
        ------
        RefusalError
            If there is no response; its outcome tells whether the call may have run.
        """
        if call.is_repeatable or call.idempotency_key is None:
            answer = await self._async_send(call)
            return _to_stored_answer(answer)
        digest = request_digest(
            call.method, f"{call.service.name}{call.path}", call.body
        )
        claim = await self._async_claim(call, call.idempotency_key, digest)
        if claim.answer is not None:
            return claim.answer
        if claim.state is not ClaimState.CLAIMED:
            raise _claim_refusal(claim)
        return await self._async_send_claimed(
            call, _HeldClaim(call.idempotency_key, claim.attempt)
        )

    async def _async_claim(self, call: PlainCall, key: str, digest: str) -> ClaimResult:
        try:
            return await self._records.async_claim(call.workspace.name, key, digest)
        except PlatformError as error:
            raise RefusalError(
                "claim_not_recorded",
                "the call can't be recorded now, so it was not sent",
                status=503,
                retry_after_s=getattr(error, "retry_after_s", None) or RETRY_AFTER_S,
            ) from error

    async def _async_send_claimed(
        self, call: PlainCall, held_claim: _HeldClaim
    ) -> StoredAnswer:
        workspace = call.workspace.name
        try:
            answer = _to_stored_answer(await self._async_send(call, held_claim))
        except RefusalError as refusal:
            await self._async_close_claim(call, held_claim, refusal.outcome)
            raise
        try:
            await self._records.async_complete(
                workspace, held_claim.key, held_claim.attempt, answer
            )
        except PlatformError as error:
            LOGGER.error("answer_not_recorded", workspace=workspace, reason=str(error))
        return answer

    async def _async_check_claim(self, call: PlainCall, held_claim: _HeldClaim) -> None:
        try:
            await self._records.async_check_claim(
                call.workspace.name, held_claim.key, held_claim.attempt
            )
        except PlatformError as error:
            raise RefusalError(
                "claim_lapsed",
                "the claim lapsed before the call was sent",
                status=503,
                retry_after_s=RETRY_AFTER_S,
            ) from error

    async def _async_close_claim(
        self, call: PlainCall, held_claim: _HeldClaim, outcome: RunOutcome
    ) -> None:
        close = self._records.async_abandon
        if outcome is RunOutcome.NOT_RUN:
            close = self._records.async_release
        try:
            await close(call.workspace.name, held_claim.key, held_claim.attempt)
        except PlatformError as error:
            LOGGER.warning(
                "claim_not_closed",
                workspace=call.workspace.name,
                reason=str(error),
            )

    async def _async_send(
        self, call: PlainCall, held_claim: _HeldClaim | None = None
    ) -> CompleteResponse:
        request = self._placer.plain_request(call.workspace, call.service, _now_s())
        excluded: frozenset[UpstreamId] = frozenset()
        while len(excluded) < MAX_PLAIN_ATTEMPTS:
            attempt = await self._placer.async_attempt(request, excluded, call.ticket)
            try:
                if held_claim is not None:
                    # It may have expired in the queue or during earlier attempts.
                    await self._async_check_claim(call, held_claim)
                return await self._async_send_once(call, attempt)
            except (UpstreamNotSentError, UpstreamDeclinedError) as error:
                self._note_failure(attempt, error)
            except UpstreamError as error:
                self._note_failure(attempt, error)
                if not call.is_repeatable:
                    raise _unknown_outcome_refusal(error) from error
            finally:
                self._placer.note_finished(attempt.place, _now_s())
            excluded |= {attempt.place.upstream}
        raise RefusalError(
            "upstreams_failed",
            "no upstream took the call",
            status=503,
            retry_after_s=RETRY_AFTER_S,
        )

    async def _async_send_once(
        self, call: PlainCall, attempt: Attempt
    ) -> CompleteResponse:
        headers = {
            "Content-Type": call.content_type,
            HEADER_RUN_ID: attempt.run_id,
            HEADER_WORKSPACE: call.workspace.name,
        }
        if call.idempotency_key is not None:
            headers[HEADER_IDEMPOTENCY_KEY] = call.idempotency_key
        upstream_request = UpstreamRequest(
            call.method, attempt.url + call.path, headers, call.body
        )
        return await self._client.async_call_once(
            attempt, upstream_request, call.service.request_timeout_s
        )

    def _note_failure(self, attempt: Attempt, error: UpstreamError) -> None:
        upstream = attempt.place.upstream
        LOGGER.warning("upstream_failed", upstream=upstream, reason=str(error))
        if not isinstance(error, UpstreamDeclinedError):
            self._on_upstream_failure(upstream)


def _to_stored_answer(answer: CompleteResponse) -> StoredAnswer:
    return StoredAnswer(answer.status, answer.content_type, answer.body)


def _unknown_outcome_refusal(error: UpstreamError) -> RefusalError:
    return RefusalError(
        "outcome_unknown",
        f"the call was sent and its outcome is not known: {error}",
        status=502,
        outcome=RunOutcome.UNKNOWN,
    )


def _claim_refusal(claim: ClaimResult) -> RefusalError:
    match claim.state:
        case ClaimState.PENDING:
            return RefusalError(
                "call_pending",
                "the call with this key is running",
                status=409,
                outcome=RunOutcome.UNKNOWN,
                retry_after_s=claim.retry_after_s or RETRY_AFTER_S,
            )
        case ClaimState.DIGEST_MISMATCH:
            return RefusalError(
                "idempotency_key_reused",
                "this key was used for another request; this one was not sent",
                status=422,
            )
        case ClaimState.EXPIRED:
            return RefusalError(
                "idempotency_key_expired",
                "this key was used before and its answer is no longer kept",
                status=409,
                outcome=RunOutcome.UNKNOWN,
            )
        case _:
            return RefusalError(
                "outcome_unknown",
                "the call with this key was sent and its outcome is not known",
                status=409,
                outcome=RunOutcome.UNKNOWN,
            )


def _now_s() -> float:
    return asyncio.get_running_loop().time()

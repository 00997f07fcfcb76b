"""Idempotency claims in the table service."""

import asyncio
from collections.abc import Callable

import msgspec
import structlog

from banyanswitch.components.idempotency.const import (
    MAX_INLINE_ANSWER_BYTES,
    MAX_UNSETTLED_ATTEMPTS,
    OVERDUE_POLL_S,
    OVERDUE_WAIT_S,
    PENDING_RETRY_AFTER_S,
    RELEASED_RETENTION_S,
)
from banyanswitch.components.idempotency.models import (
    AnswerObject,
    ClaimRecord,
    OpenClaim,
    RecordState,
    Settlement,
    answer_object_name,
    claim_key,
    decode_answer,
    decode_record,
    encode_answer,
    encode_record,
)
from banyanswitch.components.idempotency.settler import ClaimSettler
from banyanswitch.components.table_service.write_batcher import WriteBatcher
from banyanswitch.config.models import Retention
from banyanswitch.exceptions import (
    ConditionFailedError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from banyanswitch.helpers.wall_clock import WallClock
from banyanswitch.identifiers import WorkspaceId
from banyanswitch.interfaces import (
    ClaimResult,
    ClaimState,
    Item,
    ObjectStore,
    StoredAnswer,
    TableStore,
    Write,
    WriteClass,
)

LOGGER = structlog.get_logger(__name__)


class TableClaimStore:
    """Idempotency store on the table service; implements ``IdempotencyStore``.

    A call is claimed by a conditional write with an attempt ID that is unique
    across processes. Only the attempt in the record may send the call. Only that
    attempt may release the record, and only if it has sent nothing.

    Parameters
    ----------
    attempt_prefix : str
        Prefix of attempt IDs; unique to this process.
    claim_s : float
        Time after which the outcome of a pending claim counts as unknown, in
        seconds.
    retention : callable
        Returns the configured retention, with the lifetime of keys.
    """

    def __init__(
        self,
        *,
        table: TableStore,
        objects: ObjectStore,
        wall_clock: WallClock,
        attempt_prefix: str,
        claim_s: float,
        retention: Callable[[], Retention],
    ) -> None:
        self._table = table
        self._objects = objects
        self._wall_clock = wall_clock
        self._attempt_prefix = attempt_prefix
        self._claim_s = claim_s
        self._retention = retention
        self._attempts = 0
        self._batcher = WriteBatcher(table, WriteClass.CLAIM)
        self._settler = ClaimSettler(table, objects, self._batcher)
        self._open: dict[str, OpenClaim] = {}
        # Overdue attempts whose records stayed pending during OVERDUE_WAIT_S. This
        # process does not wait for them again.
        self._unsettled: dict[str, None] = {}

    async def async_claim(
        self, workspace: WorkspaceId, key: str, request_digest: str
    ) -> ClaimResult:
        """Claim a call before it is sent.

        Raises
        ------
        PlatformError
            If it is not confirmed that the claim was recorded; the call must not be
            sent. A claim that may be recorded is released in the background.
        """
        record_key = claim_key(workspace, key)
        claim = self._new_claim(record_key, request_digest)
        try:
            return await self._async_claim_new_key(claim)
        finally:
            if claim.may_be_stored and claim.record.attempt not in self._open:
                self._settler.start(claim, self._release_settlement(claim))

    async def async_check_claim(
        self, workspace: WorkspaceId, key: str, attempt: str
    ) -> None:
        """Check that the claim still permits sending the call.

        Raises
        ------
        PlatformUnavailableError
            If the claim is not open or has expired; the call must not be sent. Other
            processes may already treat its outcome as unknown.
        """
        claim = self._open.get(attempt)
        now_s = asyncio.get_running_loop().time()
        if claim is None or now_s >= claim.send_deadline_s:
            raise PlatformUnavailableError("claim expired before the call was sent")

    async def async_complete(
        self, workspace: WorkspaceId, key: str, attempt: str, answer: StoredAnswer
    ) -> None:
        """Record the response; wait up to ``SETTLE_WAIT_S`` until it is stored."""
        claim = self._open.pop(attempt, None)
        if claim is None:
            return
        await self._settler.async_settle(claim, _answer_settlement(claim, answer))

    async def async_release(
        self, workspace: WorkspaceId, key: str, attempt: str
    ) -> None:
        """Release a claim when no byte of the call was sent.

        The caller guarantees that nothing was sent. It may call this also after
        ``async_check_claim``, for example if the upstream could not be reached.
        """
        claim = self._open.pop(attempt, None)
        if claim is None:
            return
        await self._settler.async_settle(claim, self._release_settlement(claim))

    async def async_abandon(
        self, workspace: WorkspaceId, key: str, attempt: str
    ) -> None:
        """Record that the call was sent and its outcome is unknown."""
        claim = self._open.pop(attempt, None)
        if claim is None:
            return
        record = msgspec.structs.replace(claim.record, state=RecordState.UNKNOWN)
        await self._settler.async_settle(claim, Settlement(record))

    async def async_stop(self) -> None:
        """Wait up to ``SETTLE_WAIT_S`` for unfinished writes, then cancel them."""
        await self._settler.async_stop()

    def _new_claim(self, record_key: str, request_digest: str) -> OpenClaim:
        self._attempts += 1
        now_unix_s = self._wall_clock.now_unix_s()
        record = ClaimRecord(
            state=RecordState.PENDING,
            request_digest=request_digest,
            attempt=f"{self._attempt_prefix}/{self._attempts}",
            pending_until_unix_s=now_unix_s + self._claim_s,
            expires_at_unix_s=now_unix_s + self._retention().idempotency_s,
        )
        send_deadline_s = asyncio.get_running_loop().time() + self._claim_s
        return OpenClaim(record_key, record, None, send_deadline_s)

    async def _async_claim_new_key(self, claim: OpenClaim) -> ClaimResult:
        try:
            return await self._async_write_claim(claim, expected_revision=0)
        except ConditionFailedError:
            item = await self._async_read(claim.record_key)
        except PlatformOutcomeUnknownError:
            item = await self._async_read(claim.record_key)
            if item is None:
                raise
        if item is None:
            raise PlatformUnavailableError(
                "claim record changed while it was being read", PENDING_RETRY_AFTER_S
            )
        return await self._async_claim_known_key(claim, item)

    async def _async_claim_known_key(self, claim: OpenClaim, item: Item) -> ClaimResult:
        found = decode_record(item.value)
        if found.attempt == claim.record.attempt:
            return self._register_claim(claim, item.revision)
        if self._is_overdue(found):
            item = await self._async_wait_until_settled(item, found)
            found = decode_record(item.value)
        if found.state is RecordState.RELEASED:
            return await self._async_take_over(claim, item.revision)
        return await self._async_result_of(found, claim.record.request_digest)

    def _is_overdue(self, record: ClaimRecord) -> bool:
        if record.state is not RecordState.PENDING:
            return False
        return self._wall_clock.now_unix_s() >= record.pending_until_unix_s

    async def _async_wait_until_settled(self, item: Item, found: ClaimRecord) -> Item:
        """Wait for another revision of an overdue record, up to ``OVERDUE_WAIT_S``.

        A claim write may be applied long after the call was refused as not run. The
        claimant then releases the key within this time, if its process still runs and
        the table service accepts its writes.
        """
        if found.attempt in self._unsettled:
            return item
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + OVERDUE_WAIT_S
        while loop.time() < deadline_s:
            await asyncio.sleep(OVERDUE_POLL_S)
            latest = await self._async_read(item.key)
            if latest is None or latest.revision != item.revision:
                return latest or item
        self._remember_unsettled(found.attempt)
        return item

    def _remember_unsettled(self, attempt: str) -> None:
        if len(self._unsettled) >= MAX_UNSETTLED_ATTEMPTS:
            del self._unsettled[next(iter(self._unsettled))]
        self._unsettled[attempt] = None
        LOGGER.warning("claimant_silent", attempt=attempt, waited_s=OVERDUE_WAIT_S)

    async def _async_take_over(self, claim: OpenClaim, revision: int) -> ClaimResult:
        """Claim a call whose previous attempt released its record."""
        try:
            return await self._async_write_claim(claim, expected_revision=revision)
        except ConditionFailedError as error:
            raise PlatformUnavailableError(
                "claim record changed while it was being read", PENDING_RETRY_AFTER_S
            ) from error

    async def _async_write_claim(
        self, claim: OpenClaim, expected_revision: int
    ) -> ClaimResult:
        content = encode_record(claim.record)
        write = Write(claim.record_key, content, expected_revision)
        claim.replaced_revision = expected_revision
        try:
            revision = await self._batcher.async_write(write)
        except (ConditionFailedError, PlatformUnavailableError):
            raise
        except BaseException:
            claim.may_be_stored = True
            raise
        return self._register_claim(claim, revision)

    def _register_claim(self, claim: OpenClaim, revision: int) -> ClaimResult:
        claim.revision = revision
        self._open[claim.record.attempt] = claim
        return ClaimResult(ClaimState.CLAIMED, claim.record.attempt)

    async def _async_read(self, record_key: str) -> Item | None:
        items = await self._table.async_get([record_key])
        return items[0] if items else None

    async def _async_result_of(
        self, record: ClaimRecord, request_digest: str
    ) -> ClaimResult:
        now_unix_s = self._wall_clock.now_unix_s()
        if now_unix_s >= record.expires_at_unix_s:
            return ClaimResult(ClaimState.EXPIRED, record.attempt)
        if record.request_digest != request_digest:
            return ClaimResult(ClaimState.DIGEST_MISMATCH, record.attempt)
        if record.state is RecordState.ANSWERED:
            return await self._async_stored_answer(record)
        is_pending = record.state is RecordState.PENDING
        if is_pending and now_unix_s < record.pending_until_unix_s:
            return ClaimResult(
                ClaimState.PENDING, record.attempt, None, PENDING_RETRY_AFTER_S
            )
        return ClaimResult(ClaimState.OUTCOME_UNKNOWN, record.attempt)

    async def _async_stored_answer(self, record: ClaimRecord) -> ClaimResult:
        if record.answer is not None:
            return ClaimResult(ClaimState.ANSWERED, record.attempt, record.answer)
        content = None
        if record.answer_object is not None:
            content = await self._objects.async_get_object(record.answer_object)
        if content is None:
            LOGGER.error("stored_answer_missing", attempt=record.attempt)
            return ClaimResult(ClaimState.OUTCOME_UNKNOWN, record.attempt)
        answer = decode_answer(content)
        return ClaimResult(ClaimState.ANSWERED, record.attempt, answer)

    def _release_settlement(self, claim: OpenClaim) -> Settlement:
        now_unix_s = self._wall_clock.now_unix_s()
        record = msgspec.structs.replace(
            claim.record,
            state=RecordState.RELEASED,
            expires_at_unix_s=now_unix_s + RELEASED_RETENTION_S,
        )
        return Settlement(record)


def _answer_settlement(claim: OpenClaim, answer: StoredAnswer) -> Settlement:
    if len(answer.body) <= MAX_INLINE_ANSWER_BYTES:
        record = msgspec.structs.replace(
            claim.record, state=RecordState.ANSWERED, answer=answer
        )
        return Settlement(record)
    name = answer_object_name(claim.record_key, claim.record.attempt)
    record = msgspec.structs.replace(
        claim.record, state=RecordState.ANSWERED, answer_object=name
    )
    return Settlement(record, AnswerObject(name, encode_answer(answer)))

"""Claims on calls that may not be repeated, kept in the table service."""

import asyncio
from collections.abc import Callable

import msgspec
import structlog

from banyanswitch.components.idempotency.const import (
    MAX_INLINE_ANSWER_BYTES,
    MAX_REMEMBERED_OVERDUE,
    OVERDUE_POLL_S,
    OVERDUE_WAIT_S,
    PENDING_RETRY_AFTER_S,
    RELEASED_KEPT_S,
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
    """Implements ``IdempotencyStore``.

    A call is claimed by a conditional write under an attempt that no other process
    can have. Only the attempt in the record may send the call, and only that
    attempt may release the record, as long as it sent nothing.

    Parameters
    ----------
    attempt_prefix : str
        Text that no other process uses, with which attempts begin.
    claim_s : float
        Time after which a claim without a result counts as unknown, in seconds.
    retention : callable
        Returns how long a key is honoured.
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
        # Attempts whose records stayed pending although they were waited for.
        self._silent: dict[str, None] = {}

    async def async_claim(
        self, workspace: WorkspaceId, key: str, request_digest: str
    ) -> ClaimResult:
        """Claim a call before it is sent.

        Raises
        ------
        PlatformError
            If the claim could not be recorded; the call must not be sent.
        """
        record_key = claim_key(workspace, key)
        claim = self._new_claim(record_key, request_digest)
        try:
            return await self._async_claim_absent(claim)
        finally:
            if claim.may_stand and claim.record.attempt not in self._open:
                self._settler.start(claim, self._release_settlement(claim))

    async def async_mark_sent(
        self, workspace: WorkspaceId, key: str, attempt: str
    ) -> None:
        """Note locally that the first byte is about to be sent.

        Raises
        ------
        PlatformUnavailableError
            If others already count the call's outcome as unknown; the call must not
            be sent any more.
        """
        claim = self._open.get(attempt)
        now_s = asyncio.get_running_loop().time()
        if claim is None or now_s >= claim.lapses_at_s:
            raise PlatformUnavailableError("the claim lapsed before the call was sent")

    async def async_complete(
        self, workspace: WorkspaceId, key: str, attempt: str, answer: StoredAnswer
    ) -> None:
        """Record the answer; waits a bounded time until it is kept."""
        claim = self._open.pop(attempt, None)
        if claim is None:
            return
        await self._settler.async_settle(claim, _answered(claim, answer))

    async def async_release(
        self, workspace: WorkspaceId, key: str, attempt: str
    ) -> None:
        """Give a claim back when no byte of the call was sent.

        The caller vouches for that, also after ``async_mark_sent``: an upstream that
        could not be reached got nothing.
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
        """Wait a bounded time for the writes that are on their way."""
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
        lapses_at_s = asyncio.get_running_loop().time() + self._claim_s
        return OpenClaim(record_key, record, None, lapses_at_s)

    async def _async_claim_absent(self, claim: OpenClaim) -> ClaimResult:
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
                "the claim changed while it was read", PENDING_RETRY_AFTER_S
            )
        return await self._async_claim_present(claim, item)

    async def _async_claim_present(self, claim: OpenClaim, item: Item) -> ClaimResult:
        found = decode_record(item.value)
        if found.attempt == claim.record.attempt:
            return self._register_claim(claim, item.revision)
        if self._is_overdue(found):
            item = await self._async_wait_for_end(item, found)
            found = decode_record(item.value)
        if found.state is RecordState.RELEASED:
            return await self._async_take_over(claim, item.revision)
        return await self._async_answer_of(found, claim.record.request_digest)

    def _is_overdue(self, record: ClaimRecord) -> bool:
        if record.state is not RecordState.PENDING:
            return False
        return self._wall_clock.now_unix_s() >= record.pending_until_unix_s

    async def _async_wait_for_end(self, item: Item, found: ClaimRecord) -> Item:
        """Return the record once it is no longer pending, or after a bounded time.

        The write of a claim may land long after its call was refused as not run. Its
        claimant then releases the key within the time waited here.
        """
        if found.attempt in self._silent:
            return item
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + OVERDUE_WAIT_S
        while loop.time() < deadline_s:
            await asyncio.sleep(OVERDUE_POLL_S)
            latest = await self._async_read(item.key)
            if latest is None or latest.revision != item.revision:
                return latest or item
        self._remember_silent(found.attempt)
        return item

    def _remember_silent(self, attempt: str) -> None:
        if len(self._silent) >= MAX_REMEMBERED_OVERDUE:
            del self._silent[next(iter(self._silent))]
        self._silent[attempt] = None
        LOGGER.warning("claimant_silent", attempt=attempt, waited_s=OVERDUE_WAIT_S)

    async def _async_take_over(self, claim: OpenClaim, revision: int) -> ClaimResult:
        """Replace the record of an attempt that ended unsent."""
        try:
            return await self._async_write_claim(claim, expected_revision=revision)
        except ConditionFailedError as error:
            raise PlatformUnavailableError(
                "the claim changed while it was read", PENDING_RETRY_AFTER_S
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
            claim.may_stand = True
            raise
        return self._register_claim(claim, revision)

    def _register_claim(self, claim: OpenClaim, revision: int) -> ClaimResult:
        claim.revision = revision
        self._open[claim.record.attempt] = claim
        return ClaimResult(ClaimState.CLAIMED, claim.record.attempt)

    async def _async_read(self, record_key: str) -> Item | None:
        items = await self._table.async_get([record_key])
        return items[0] if items else None

    async def _async_answer_of(
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
            expires_at_unix_s=now_unix_s + RELEASED_KEPT_S,
        )
        return Settlement(record)


def _answered(claim: OpenClaim, answer: StoredAnswer) -> Settlement:
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

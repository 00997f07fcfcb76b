"""Recording of the results of claimed calls."""

import asyncio

import structlog

from banyanswitch.components.idempotency.const import (
    MAX_PENDING_SETTLEMENTS,
    MAX_SETTLE_RETRY_DELAY_S,
    SETTLE_RETRY_DELAY_S,
    SETTLE_RETRY_PERIOD_S,
    SETTLE_WAIT_S,
)
from banyanswitch.components.idempotency.models import (
    OpenClaim,
    RecordState,
    Settlement,
    decode_record,
    encode_record,
)
from banyanswitch.components.table_service.write_batcher import WriteBatcher
from banyanswitch.exceptions import ConditionFailedError, PlatformError
from banyanswitch.interfaces import ObjectStore, TableStore, Write

LOGGER = structlog.get_logger(__name__)


class ClaimSettler:
    """Write the results of this process's attempts to their records.

    A failed write is retried for up to ``SETTLE_RETRY_PERIOD_S``, also after the
    caller got its response, so that a result survives a short outage of the table
    service.

    Parameters
    ----------
    table : TableStore
        Table that records are read back from after a failed write.
    objects : ObjectStore
        Store for responses that are too large for a record.
    batcher : WriteBatcher
        Writer of the records.
    """

    def __init__(
        self, table: TableStore, objects: ObjectStore, batcher: WriteBatcher
    ) -> None:
        self._table = table
        self._objects = objects
        self._batcher = batcher
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_settle(self, claim: OpenClaim, settlement: Settlement) -> None:
        """Settle a claim; wait up to ``SETTLE_WAIT_S`` for the write.

        After that time the write continues in the background.
        """
        task = self.start(claim, settlement)
        if task is not None:
            await asyncio.wait({task}, timeout=SETTLE_WAIT_S)

    def start(
        self, claim: OpenClaim, settlement: Settlement
    ) -> asyncio.Task[None] | None:
        """Settle a claim in the background.

        Returns ``None`` and drops the result if too many claims are being settled.
        """
        if len(self._tasks) >= MAX_PENDING_SETTLEMENTS:
            LOGGER.error("claim_not_settled", record=claim.record_key)
            return None
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._async_settle_with_retries(claim, settlement))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def async_stop(self) -> None:
        """Wait up to ``SETTLE_WAIT_S`` for pending settlements, then cancel them."""
        tasks = tuple(self._tasks)
        if not tasks:
            return
        await asyncio.wait(tasks, timeout=SETTLE_WAIT_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_settle_with_retries(
        self, claim: OpenClaim, settlement: Settlement
    ) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + SETTLE_RETRY_PERIOD_S
        retry_delay_s = SETTLE_RETRY_DELAY_S
        while loop.time() < deadline_s:
            try:
                return await self._async_settle_once(claim, settlement)
            except PlatformError as error:
                LOGGER.warning("claim_settled_later", reason=str(error))
            await asyncio.sleep(retry_delay_s)
            retry_delay_s = min(MAX_SETTLE_RETRY_DELAY_S, 2.0 * retry_delay_s)
        LOGGER.error("claim_not_settled", record=claim.record_key)
        return None

    async def _async_settle_once(
        self, claim: OpenClaim, settlement: Settlement
    ) -> None:
        if claim.revision is None:
            claim.revision = await self._async_read_revision(claim, settlement)
        if claim.revision is None:
            return
        answer_object = settlement.answer_object
        if answer_object is not None:
            await self._objects.async_put(answer_object.name, answer_object.content)
        content = encode_record(settlement.record)
        write = Write(claim.record_key, content, claim.revision)
        try:
            await self._batcher.async_write(write)
        except ConditionFailedError as error:
            claim.revision = None
            raise PlatformError(
                "claim record has another revision than expected"
            ) from error
        except PlatformError:
            claim.revision = None
            raise

    async def _async_read_revision(
        self, claim: OpenClaim, settlement: Settlement
    ) -> int | None:
        """Return the revision to replace, or ``None`` if nothing is left to write.

        A claim write that is not visible yet may still be applied later. A released
        record is therefore written over the revision that the claim write expects, so
        that the condition of the claim write fails.
        """
        items = await self._table.async_get([claim.record_key])
        revision = items[0].revision if items else 0
        found = decode_record(items[0].value) if items else None
        if found == settlement.record:
            return None
        if found is not None and found.attempt == claim.record.attempt:
            return revision
        is_release = settlement.record.state is RecordState.RELEASED
        if is_release and revision == claim.replaced_revision:
            return revision
        return None

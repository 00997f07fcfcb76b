"""Removal of expired idempotency records."""

import asyncio

import msgspec
import structlog

from banyanswitch.components.idempotency.const import (
    CLAIM_PREFIX,
    EXPIRED_RETENTION_S,
    MAX_EXPIRED_BYTES,
    SWEEP_INTERVAL_S,
    SWEEP_LEASE,
    SWEEP_PAGE_ITEMS,
    SWEEP_STEP_WRITES,
)
from banyanswitch.components.idempotency.models import (
    ClaimRecord,
    RecordState,
    decode_record,
    encode_record,
)
from banyanswitch.components.table_service.write_batcher import WriteBatcher
from banyanswitch.exceptions import ConditionFailedError, PlatformError
from banyanswitch.helpers.wall_clock import WallClock
from banyanswitch.interfaces import (
    Item,
    LeaseManager,
    ObjectStore,
    TableStore,
    Write,
    WriteClass,
)

LOGGER = structlog.get_logger(__name__)


class ClaimSweeper:
    """Remove large responses from expired records, and delete the records later.

    An expired record is retained without its large response, so that a reused key is
    not treated as a new call. One instance sweeps at a time. A second one would do no
    harm, because all table writes are conditional.
    """

    def __init__(
        self,
        *,
        table: TableStore,
        objects: ObjectStore,
        wall_clock: WallClock,
        leases: LeaseManager,
    ) -> None:
        self._table = table
        self._objects = objects
        self._wall_clock = wall_clock
        self._leases = leases
        self._batcher = WriteBatcher(table, WriteClass.CLAIM)
        self._after = CLAIM_PREFIX

    async def async_run(self) -> None:
        """Sweep page by page until cancelled, while this instance holds the lease."""
        self._leases.campaign(SWEEP_LEASE)
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if self._leases.held(SWEEP_LEASE) is None:
                continue
            try:
                await self.async_sweep_page()
            except PlatformError as error:
                LOGGER.warning("claims_not_swept", reason=str(error))

    async def async_sweep_page(self) -> None:
        """Clean up the next page of records with up to ``SWEEP_STEP_WRITES`` writes."""
        items = await self._table.async_query(
            CLAIM_PREFIX, after=self._after, limit=SWEEP_PAGE_ITEMS
        )
        due: list[Item] = []
        next_after = CLAIM_PREFIX
        if len(items) == SWEEP_PAGE_ITEMS:
            next_after = items[-1].key
        for item in items:
            if not self._is_due(item):
                continue
            if len(due) == SWEEP_STEP_WRITES:
                next_after = due[-1].key
                break
            due.append(item)
        await asyncio.gather(*(self._async_clean(item) for item in due))
        self._after = next_after

    def _is_due(self, item: Item) -> bool:
        try:
            record = decode_record(item.value)
        except PlatformError as error:
            LOGGER.error("claim_not_readable", record=item.key, reason=str(error))
            return False
        if self._wall_clock.now_unix_s() < record.expires_at_unix_s:
            return False
        return _has_large_answer(record) or self._is_deletable(record)

    def _is_deletable(self, record: ClaimRecord) -> bool:
        if record.state is RecordState.RELEASED:
            return True
        delete_at_unix_s = record.expires_at_unix_s + EXPIRED_RETENTION_S
        return self._wall_clock.now_unix_s() >= delete_at_unix_s

    async def _async_clean(self, item: Item) -> None:
        record = decode_record(item.value)
        if record.answer_object is not None:
            await self._objects.async_delete_object(record.answer_object)
        content = None
        if not self._is_deletable(record):
            content = encode_record(_without_answer(record))
        try:
            await self._batcher.async_write(Write(item.key, content, item.revision))
        except ConditionFailedError:
            return


def _has_large_answer(record: ClaimRecord) -> bool:
    if record.answer_object is not None:
        return True
    return record.answer is not None and len(record.answer.body) > MAX_EXPIRED_BYTES


def _without_answer(record: ClaimRecord) -> ClaimRecord:
    return msgspec.structs.replace(record, answer=None, answer_object=None)

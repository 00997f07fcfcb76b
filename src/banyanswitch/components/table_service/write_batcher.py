"""Batching of independent conditional writes into shared transactions."""

import asyncio
from dataclasses import dataclass

from banyanswitch.components.table_service.const import (
    MAX_BATCH_BYTES,
    MAX_BATCH_DELAY_S,
    MAX_BATCH_WRITES,
    MAX_PENDING_WRITES,
)
from banyanswitch.exceptions import (
    ConditionFailedError,
    PlatformError,
    WriteBudgetExceededError,
)
from banyanswitch.interfaces import TableStore, Write, WriteClass


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    """Queued write and the future of its revision."""

    write: Write
    result: asyncio.Future[int]


class WriteBatcher:
    """Collect writes while a transaction is in flight and send them together.

    A write without others in flight is sent at once. If the table service names the
    writes whose condition failed, the rest of the batch is sent again without them.
    If it names none of the batch, all writes of the batch fail.

    Parameters
    ----------
    table : TableStore
        Table service that the transactions are sent to.
    write_class : WriteClass
        Budget class of all writes.
    """

    def __init__(self, table: TableStore, write_class: WriteClass) -> None:
        self._table = table
        self._write_class = write_class
        self._pending: list[_PendingWrite] = []
        self._sender: asyncio.Task[None] | None = None

    async def async_write(self, write: Write) -> int:
        """Apply one write and return the new revision of its item.

        Raises
        ------
        ConditionFailedError
            If the item has another revision than expected.
        PlatformUnavailableError
            If nothing was written.
        PlatformOutcomeUnknownError
            If the write may have been applied.
        PlatformError
            If the service refuses the request or the transaction is aborted.
        """
        if len(self._pending) >= MAX_PENDING_WRITES:
            raise WriteBudgetExceededError(MAX_BATCH_DELAY_S)
        loop = asyncio.get_running_loop()
        pending = _PendingWrite(write, loop.create_future())
        self._pending.append(pending)
        if self._sender is None:
            self._sender = loop.create_task(self._async_send_all())
        return await pending.result

    async def _async_send_all(self) -> None:
        try:
            while self._pending:
                await self._async_send_batch()
        finally:
            self._sender = None

    async def _async_send_batch(self) -> None:
        batch: dict[str, _PendingWrite] = {}
        self._fill(batch)
        deadline_s = asyncio.get_running_loop().time() + MAX_BATCH_DELAY_S
        while batch:
            writes = [pending.write for pending in batch.values()]
            try:
                revisions = await self._table.async_transact(writes, self._write_class)
            except ConditionFailedError as error:
                _drop_failed(batch, error)
            except WriteBudgetExceededError as error:
                if not await _async_wait_for_budget(error, deadline_s):
                    return _fail(batch, error)
                self._fill(batch)
            except PlatformError as error:
                return _fail(batch, error)
            except BaseException as error:
                _fail(batch, PlatformError(f"transaction aborted by {error!r}"))
                raise
            else:
                return _succeed(batch, revisions)
        return None

    def _fill(self, batch: dict[str, _PendingWrite]) -> None:
        """Move queued writes into the batch, at most one write per item."""
        size_bytes = sum(len(w.write.value or b"") for w in batch.values())
        left: list[_PendingWrite] = []
        for pending in self._pending:
            if pending.result.done():
                continue
            is_full = len(batch) >= MAX_BATCH_WRITES or size_bytes >= MAX_BATCH_BYTES
            if is_full or pending.write.key in batch:
                left.append(pending)
                continue
            batch[pending.write.key] = pending
            size_bytes += len(pending.write.value or b"")
        self._pending = left


async def _async_wait_for_budget(
    error: WriteBudgetExceededError, deadline_s: float
) -> bool:
    now_s = asyncio.get_running_loop().time()
    if now_s + error.retry_after_s > deadline_s:
        return False
    await asyncio.sleep(error.retry_after_s)
    return True


def _drop_failed(batch: dict[str, _PendingWrite], error: ConditionFailedError) -> None:
    failed_keys = [key for key in error.keys if key in batch] or list(batch)
    for key in failed_keys:
        _set_error(batch.pop(key), ConditionFailedError([key]))


def _fail(batch: dict[str, _PendingWrite], error: PlatformError) -> None:
    for pending in batch.values():
        _set_error(pending, error)


def _succeed(batch: dict[str, _PendingWrite], revisions: tuple[int, ...]) -> None:
    for pending, revision in zip(batch.values(), revisions, strict=True):
        if not pending.result.done():
            pending.result.set_result(revision)


def _set_error(pending: _PendingWrite, error: PlatformError) -> None:
    if not pending.result.done():
        pending.result.set_exception(error)

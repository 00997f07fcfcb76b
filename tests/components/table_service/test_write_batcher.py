"""Batching of writes into transactions."""

import asyncio

import pytest

from banyanswitch.components.table_service.const import MAX_BATCH_DELAY_S
from banyanswitch.components.table_service.write_batcher import WriteBatcher
from banyanswitch.exceptions import (
    ConditionFailedError,
    PlatformOutcomeUnknownError,
    WriteBudgetExceededError,
)
from banyanswitch.interfaces import Write, WriteClass
from tests.fakes.table import FakeTable, TableFault

pytestmark = pytest.mark.looptime


class ThrottledTable(FakeTable):
    """Table that refuses the next transactions with ``WriteBudgetExceededError``."""

    refusals = 0
    retry_after_s = 0.0

    async def async_transact(
        self, writes: list[Write], write_class: WriteClass
    ) -> tuple[int, ...]:
        if self.refusals:
            self.refusals -= 1
            raise WriteBudgetExceededError(self.retry_after_s)
        return await super().async_transact(writes, write_class)


@pytest.fixture
def table() -> ThrottledTable:
    return ThrottledTable(latency_s=0.01)


@pytest.fixture
def batcher(table: ThrottledTable) -> WriteBatcher:
    return WriteBatcher(table, WriteClass.CLAIM)


async def write_all(batcher: WriteBatcher, keys: list[str]) -> list[object]:
    writes = [Write(key, key.encode(), 0) for key in keys]
    return await asyncio.gather(
        *(batcher.async_write(write) for write in writes), return_exceptions=True
    )


async def test_each_write_gets_its_own_result(
    batcher: WriteBatcher, table: ThrottledTable
) -> None:
    table.apply([Write("b", b"taken", 0)])
    results = await write_all(batcher, ["a", "b", "c"])
    assert results[0] == results[2] == 1
    assert isinstance(results[1], ConditionFailedError)
    assert table.items["b"].value == b"taken"


async def test_writes_of_one_item_are_sent_in_sequence(
    batcher: WriteBatcher, table: ThrottledTable
) -> None:
    results = await write_all(batcher, ["a", "a"])
    assert results[0] == 1
    assert isinstance(results[1], ConditionFailedError)


async def test_unknown_outcome_affects_only_its_own_batch(
    batcher: WriteBatcher, table: ThrottledTable
) -> None:
    table.write_faults = [TableFault.LOSE_ANSWER]
    results = await write_all(batcher, ["a", "b"])
    assert all(isinstance(r, PlatformOutcomeUnknownError) for r in results)
    assert await write_all(batcher, ["c"]) == [1]


async def test_batch_waits_for_the_budget_within_its_delay(
    batcher: WriteBatcher, table: ThrottledTable
) -> None:
    table.refusals, table.retry_after_s = 2, MAX_BATCH_DELAY_S / 4
    assert await write_all(batcher, ["a", "b"]) == [1, 1]


async def test_batch_is_refused_at_once_if_the_budget_delay_is_too_long(
    batcher: WriteBatcher, table: ThrottledTable
) -> None:
    table.refusals, table.retry_after_s = 1, 2 * MAX_BATCH_DELAY_S
    started_s = asyncio.get_running_loop().time()
    results = await write_all(batcher, ["a", "b"])
    assert all(isinstance(r, WriteBudgetExceededError) for r in results)
    assert asyncio.get_running_loop().time() == started_s


async def test_cancelled_write_does_not_stop_the_others(
    batcher: WriteBatcher,
) -> None:
    first = asyncio.create_task(batcher.async_write(Write("a", b"1", 0)))
    second = asyncio.create_task(batcher.async_write(Write("b", b"1", 0)))
    await asyncio.sleep(0.001)
    first.cancel()
    assert await second == 1

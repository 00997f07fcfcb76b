"""Removal of expired idempotency records."""

import asyncio

import pytest

from banyanswitch.components.idempotency.const import (
    EXPIRED_RETENTION_S,
    MAX_EXPIRED_BYTES,
    MAX_INLINE_ANSWER_BYTES,
    SWEEP_PAGE_ITEMS,
    SWEEP_STEP_WRITES,
)
from banyanswitch.components.idempotency.sweeper import ClaimSweeper
from banyanswitch.identifiers import WorkspaceId
from banyanswitch.interfaces import ClaimState, Lease, StoredAnswer, Write
from tests.components.idempotency.conftest import RETENTION, StoreFactory
from tests.fakes.clocks import LoopWallClock
from tests.fakes.table import FakeTable

pytestmark = pytest.mark.looptime

SHOP = WorkspaceId("shop")
OBJECT_ANSWER = StoredAnswer(200, "text/plain", b"x" * (MAX_INLINE_ANSWER_BYTES + 1))
INLINE_ANSWER = StoredAnswer(200, "text/plain", b"x" * (MAX_EXPIRED_BYTES + 1))


class NoLeases:
    def campaign(self, name: str) -> None:
        return

    def held(self, name: str) -> Lease | None:
        return None


@pytest.fixture
def sweeper(table: FakeTable) -> ClaimSweeper:
    return ClaimSweeper(
        table=table, objects=table, wall_clock=LoopWallClock(), leases=NoLeases()
    )


@pytest.mark.parametrize("answer", [INLINE_ANSWER, OBJECT_ANSWER])
@pytest.mark.parametrize(
    ("age_s", "expected"),
    [
        (0.0, ClaimState.ANSWERED),
        (RETENTION.idempotency_s, ClaimState.EXPIRED),
        (RETENTION.idempotency_s + EXPIRED_RETENTION_S, ClaimState.CLAIMED),
    ],
)
async def test_record_at_each_age(
    *,
    make_store: StoreFactory,
    table: FakeTable,
    sweeper: ClaimSweeper,
    answer: StoredAnswer,
    age_s: float,
    expected: ClaimState,
) -> None:
    store = make_store("a")
    claim = await store.async_claim(SHOP, "k", "digest")
    await store.async_complete(SHOP, "k", claim.attempt, answer)
    await asyncio.sleep(age_s)
    await sweeper.async_sweep_page()
    await sweeper.async_sweep_page()
    if age_s:
        assert table.objects == {}
        assert sum(len(item.value) for item in table.items.values()) < 500
    assert (await store.async_claim(SHOP, "k", "digest")).state is expected


async def test_all_pages_are_swept(
    make_store: StoreFactory, table: FakeTable, sweeper: ClaimSweeper
) -> None:
    store = make_store("a")
    count = 2 * SWEEP_PAGE_ITEMS + 1
    await asyncio.gather(
        *(store.async_claim(SHOP, f"k{n}", "digest") for n in range(count))
    )
    await asyncio.sleep(RETENTION.idempotency_s + EXPIRED_RETENTION_S)
    for _ in range(2 * count // SWEEP_STEP_WRITES):
        await sweeper.async_sweep_page()
    assert table.items == {}


async def test_unreadable_record_does_not_stop_the_sweep(
    make_store: StoreFactory, table: FakeTable, sweeper: ClaimSweeper
) -> None:
    table.apply([Write("claim/shop/!", b"?", 0)])
    await make_store("a").async_claim(SHOP, "k", "digest")
    await asyncio.sleep(RETENTION.idempotency_s + EXPIRED_RETENTION_S)
    await sweeper.async_sweep_page()
    assert list(table.items) == ["claim/shop/!"]

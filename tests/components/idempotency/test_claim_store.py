"""Claim states and their behaviour under faults of the table service."""

import asyncio

import pytest

from banyanswitch.components.idempotency.const import (
    MAX_INLINE_ANSWER_BYTES,
    OVERDUE_POLL_S,
    OVERDUE_WAIT_S,
)
from banyanswitch.exceptions import PlatformError, PlatformUnavailableError
from banyanswitch.identifiers import WorkspaceId
from banyanswitch.interfaces import ClaimState, StoredAnswer
from tests.components.idempotency.conftest import CLAIM_S, RETENTION, StoreFactory
from tests.fakes.table import FakeTable, TableFault

pytestmark = pytest.mark.looptime

SHOP = WorkspaceId("shop")
OTHER_SHOP = WorkspaceId("other-shop")
ANSWER = StoredAnswer(201, "application/json", b'{"paid":true}')
LARGE_ANSWER = StoredAnswer(200, "text/plain", b"x" * (MAX_INLINE_ANSWER_BYTES + 1))


async def test_second_call_gets_the_stored_answer(make_store: StoreFactory) -> None:
    first, second = make_store("a"), make_store("b")
    claim = await first.async_claim(SHOP, "k", "digest")
    await first.async_check_claim(SHOP, "k", claim.attempt)
    await first.async_complete(SHOP, "k", claim.attempt, ANSWER)
    result = await second.async_claim(SHOP, "k", "digest")
    assert (claim.state, result.state) == (ClaimState.CLAIMED, ClaimState.ANSWERED)
    assert result.answer == ANSWER


async def test_workspaces_do_not_share_keys(make_store: StoreFactory) -> None:
    store = make_store("a")
    await store.async_claim(SHOP, "k", "digest")
    result = await store.async_claim(OTHER_SHOP, "k", "digest")
    assert result.state is ClaimState.CLAIMED


@pytest.mark.parametrize(
    ("digest", "after_s", "expected"),
    [
        ("digest", 0.0, ClaimState.PENDING),
        ("digest", CLAIM_S + 1.0, ClaimState.OUTCOME_UNKNOWN),
        ("other", 0.0, ClaimState.DIGEST_MISMATCH),
        ("digest", RETENTION.idempotency_s + 1.0, ClaimState.EXPIRED),
        ("other", RETENTION.idempotency_s + 1.0, ClaimState.EXPIRED),
    ],
)
async def test_state_of_a_claim_after_its_process_ended(
    make_store: StoreFactory, digest: str, after_s: float, expected: ClaimState
) -> None:
    await make_store("a").async_claim(SHOP, "k", "digest")
    await asyncio.sleep(after_s)
    result = await make_store("b").async_claim(SHOP, "k", digest)
    assert result.state is expected


async def test_expired_key_is_not_a_new_call(make_store: StoreFactory) -> None:
    store = make_store("a")
    claim = await store.async_claim(SHOP, "k", "digest")
    await store.async_complete(SHOP, "k", claim.attempt, ANSWER)
    await asyncio.sleep(RETENTION.idempotency_s + 1.0)
    assert (await store.async_claim(SHOP, "k", "digest")).state is ClaimState.EXPIRED


async def test_released_claim_can_be_claimed_again(make_store: StoreFactory) -> None:
    first, second = make_store("a"), make_store("b")
    claim = await first.async_claim(SHOP, "k", "digest")
    await first.async_release(SHOP, "k", claim.attempt)
    result = await second.async_claim(SHOP, "k", "digest")
    assert result.state is ClaimState.CLAIMED


async def test_claim_of_an_unreachable_upstream_is_released(
    make_store: StoreFactory,
) -> None:
    first, second = make_store("a"), make_store("b")
    claim = await first.async_claim(SHOP, "k", "digest")
    await first.async_check_claim(SHOP, "k", claim.attempt)
    await first.async_release(SHOP, "k", claim.attempt)
    result = await second.async_claim(SHOP, "k", "digest")
    assert result.state is ClaimState.CLAIMED


@pytest.mark.parametrize("fault", [None, *TableFault])
async def test_abandoned_call_is_never_claimed_again(
    make_store: StoreFactory, table: FakeTable, fault: TableFault | None
) -> None:
    store = make_store("a")
    claim = await store.async_claim(SHOP, "k", "digest")
    await store.async_check_claim(SHOP, "k", claim.attempt)
    table.write_faults = [fault]
    await store.async_abandon(SHOP, "k", claim.attempt)
    await store.async_release(SHOP, "k", claim.attempt)
    await asyncio.sleep(2.0 * table.late_write_delay_s)
    for process in (store, make_store("b")):
        result = await process.async_claim(SHOP, "k", "digest")
        assert result.state is ClaimState.OUTCOME_UNKNOWN


async def test_only_the_claiming_attempt_releases(make_store: StoreFactory) -> None:
    first, second = make_store("a"), make_store("b")
    claim = await first.async_claim(SHOP, "k", "digest")
    await second.async_release(SHOP, "k", claim.attempt)
    result = await second.async_claim(SHOP, "k", "digest")
    assert result.state is ClaimState.PENDING


async def test_call_is_not_sent_after_its_claim_expired(
    make_store: StoreFactory,
) -> None:
    store = make_store("a")
    claim = await store.async_claim(SHOP, "k", "digest")
    await asyncio.sleep(CLAIM_S)
    with pytest.raises(PlatformUnavailableError):
        await store.async_check_claim(SHOP, "k", claim.attempt)


async def test_late_answer_replaces_an_unknown_outcome(
    make_store: StoreFactory,
) -> None:
    first, second = make_store("a"), make_store("b", skew_s=CLAIM_S + 1.0)
    claim = await first.async_claim(SHOP, "k", "digest")
    early = await second.async_claim(SHOP, "k", "digest")
    await first.async_complete(SHOP, "k", claim.attempt, ANSWER)
    late = await second.async_claim(SHOP, "k", "digest")
    assert early.state is ClaimState.OUTCOME_UNKNOWN
    assert late.state is ClaimState.ANSWERED


async def test_claim_is_read_back_after_its_write_response_was_lost(
    make_store: StoreFactory, table: FakeTable
) -> None:
    table.write_faults = [TableFault.LOSE_ANSWER]
    result = await make_store("a").async_claim(SHOP, "k", "digest")
    assert result.state is ClaimState.CLAIMED


@pytest.mark.parametrize(
    "fault", [TableFault.REFUSE, TableFault.LOSE_REQUEST, TableFault.APPLY_LATE]
)
async def test_claim_that_was_not_recorded_is_refused(
    make_store: StoreFactory, table: FakeTable, fault: TableFault
) -> None:
    table.write_faults = [fault]
    store = make_store("a")
    with pytest.raises(PlatformError):
        await store.async_claim(SHOP, "k", "digest")
    await asyncio.sleep(2.0 * table.late_write_delay_s)
    result = await store.async_claim(SHOP, "k", "digest")
    assert result.state is ClaimState.CLAIMED


async def test_delayed_claim_write_of_a_refused_call_does_not_block_its_key(
    make_store: StoreFactory, table: FakeTable
) -> None:
    table.write_faults = [TableFault.APPLY_LATE]
    with pytest.raises(PlatformError):
        await make_store("a").async_claim(SHOP, "k", "digest")
    await asyncio.sleep(2.0 * table.late_write_delay_s + CLAIM_S)
    result = await make_store("b").async_claim(SHOP, "k", "digest")
    assert result.state is ClaimState.CLAIMED


async def test_claim_write_applied_after_its_expiry_is_waited_for(
    make_store: StoreFactory, table: FakeTable
) -> None:
    """The write is applied after the claim expired.

    Another process reads the record before the claimant releases it.
    """
    table.late_write_delay_s = CLAIM_S + 1.0
    table.write_faults = [TableFault.APPLY_LATE]
    with pytest.raises(PlatformError):
        await make_store("a").async_claim(SHOP, "k", "digest")
    table.is_down = True
    await asyncio.sleep(CLAIM_S + 0.5)
    table.is_down = False
    await asyncio.sleep(0.5)
    result = await make_store("b").async_claim(SHOP, "k", "digest")
    assert result.state is ClaimState.CLAIMED


async def test_overdue_claim_is_waited_for_once(make_store: StoreFactory) -> None:
    await make_store("a").async_claim(SHOP, "k", "digest")
    await asyncio.sleep(CLAIM_S + 1.0)
    second = make_store("b")
    loop = asyncio.get_running_loop()
    waits_s = []
    for _ in range(2):
        started_s = loop.time()
        result = await second.async_claim(SHOP, "k", "digest")
        waits_s.append(loop.time() - started_s)
        assert result.state is ClaimState.OUTCOME_UNKNOWN
    assert waits_s == [pytest.approx(OVERDUE_WAIT_S, abs=OVERDUE_POLL_S), 0.0]


async def test_delayed_claim_write_never_replaces_the_next_attempt(
    make_store: StoreFactory, table: FakeTable
) -> None:
    table.write_faults = [TableFault.APPLY_LATE]
    with pytest.raises(PlatformError):
        await make_store("a").async_claim(SHOP, "k", "digest")
    second = make_store("b")
    claim = await second.async_claim(SHOP, "k", "digest")
    await second.async_check_claim(SHOP, "k", claim.attempt)
    await asyncio.sleep(2.0 * table.late_write_delay_s)
    await second.async_complete(SHOP, "k", claim.attempt, ANSWER)
    result = await make_store("c").async_claim(SHOP, "k", "digest")
    assert result.state is ClaimState.ANSWERED


async def test_claims_are_refused_at_once_while_the_table_is_down(
    make_store: StoreFactory, table: FakeTable
) -> None:
    table.is_down = True
    store = make_store("a")
    started_s = asyncio.get_running_loop().time()
    with pytest.raises(PlatformUnavailableError) as caught:
        await store.async_claim(SHOP, "k", "digest")
    assert asyncio.get_running_loop().time() == started_s
    assert caught.value.retry_after_s is not None


@pytest.mark.parametrize("answer", [ANSWER, LARGE_ANSWER], ids=["small", "large"])
async def test_answer_is_stored_after_a_platform_outage(
    make_store: StoreFactory, table: FakeTable, answer: StoredAnswer
) -> None:
    first, second = make_store("a"), make_store("b")
    claim = await first.async_claim(SHOP, "k", "digest")
    table.is_down = True
    await first.async_complete(SHOP, "k", claim.attempt, answer)
    await asyncio.sleep(20.0)
    table.is_down = False
    await asyncio.sleep(20.0)
    result = await second.async_claim(SHOP, "k", "digest")
    assert result.answer == answer


@pytest.mark.parametrize("fault", list(TableFault))
async def test_answer_is_stored_under_each_fault(
    make_store: StoreFactory, table: FakeTable, fault: TableFault
) -> None:
    store = make_store("a")
    claim = await store.async_claim(SHOP, "k", "digest")
    table.write_faults = [fault, fault]
    await store.async_complete(SHOP, "k", claim.attempt, ANSWER)
    await asyncio.sleep(2.0 * table.late_write_delay_s)
    result = await make_store("b").async_claim(SHOP, "k", "digest")
    assert result.answer == ANSWER


async def test_large_answer_is_stored_in_the_object_store(
    make_store: StoreFactory, table: FakeTable
) -> None:
    store = make_store("a")
    claim = await store.async_claim(SHOP, "k", "digest")
    await store.async_complete(SHOP, "k", claim.attempt, LARGE_ANSWER)
    result = await make_store("b").async_claim(SHOP, "k", "digest")
    assert result.answer == LARGE_ANSWER
    assert all(len(i.value) < MAX_INLINE_ANSWER_BYTES for i in table.items.values())


async def test_cancelled_claim_does_not_block_the_key(
    make_store: StoreFactory, table: FakeTable
) -> None:
    table.latency_s = 0.5
    store = make_store("a")
    task = asyncio.create_task(store.async_claim(SHOP, "k", "digest"))
    await asyncio.sleep(0.1)
    task.cancel()
    await asyncio.sleep(5.0)
    result = await store.async_claim(SHOP, "k", "digest")
    assert result.state is ClaimState.CLAIMED


async def test_concurrent_claims_share_transactions(
    make_store: StoreFactory, table: FakeTable
) -> None:
    table.latency_s = 0.01
    store = make_store("a")
    calls = 64
    results = await asyncio.gather(
        *(store.async_claim(SHOP, f"k{i}", "digest") for i in range(calls))
    )
    assert {result.state for result in results} == {ClaimState.CLAIMED}
    assert table.counts.transactions <= calls / 8
    assert table.counts.read_items == 0


async def test_claimed_key_does_not_fail_the_rest_of_its_batch(
    make_store: StoreFactory, table: FakeTable
) -> None:
    await make_store("b").async_claim(SHOP, "k1", "digest")
    table.latency_s = 0.01
    store = make_store("a")
    results = await asyncio.gather(
        *(store.async_claim(SHOP, f"k{i}", "digest") for i in range(4))
    )
    states = [result.state for result in results]
    assert states.count(ClaimState.PENDING) == 1
    assert states.count(ClaimState.CLAIMED) == 3

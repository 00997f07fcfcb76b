"""Non-idempotent calls while entries and the table service fail."""

import asyncio
from dataclasses import dataclass, replace
from hashlib import sha256
from typing import Any

import aiohttp
import pytest
from bench.callers import Caller, RefusedError
from bench.fleet import PLAIN, Fleet
from bench.processes import wait_until

from tests.process.conftest import StartFleet, quick_plan

pytestmark = pytest.mark.process

PATH = f"{PLAIN}/purchases"
CALL_DURATION_S = 1.0
MAX_ATTEMPTS = 100


@dataclass(frozen=True)
class Purchase:
    """One non-idempotent call with its own idempotency key."""

    fleet: Fleet
    body: bytes
    key: str

    async def async_make(self, caller: Caller, entry: int) -> dict[str, Any]:
        url = self.fleet.entries[entry].url
        return await caller.async_call(url, PATH, self.body, self.key)

    def executions(self) -> int:
        digest = sha256(self.body).hexdigest()
        return self.fleet.executions().get(digest, 0)

    async def async_final_refusal(self, caller: Caller, entry: int) -> tuple[str, str]:
        """Repeat a pending call; return the refusal's ``code`` and ``run`` fields."""
        for _ in range(MAX_ATTEMPTS):
            with pytest.raises(RefusedError) as caught:
                await self.async_make(caller, entry)
            refusal = caught.value.refusal
            if refusal.code != "call_pending":
                return refusal.code, refusal.run
            await asyncio.sleep(0.1)
        raise AssertionError("the call is still pending after all attempts")


def new_purchase(fleet: Fleet, request: pytest.FixtureRequest) -> Purchase:
    return Purchase(fleet, request.node.name.encode(), request.node.name)


@pytest.fixture
def purchase(shared_fleet: Fleet, request: pytest.FixtureRequest) -> Purchase:
    return new_purchase(shared_fleet, request)


async def test_second_call_gets_the_stored_answer(
    purchase: Purchase, caller: Caller
) -> None:
    answers = [await purchase.async_make(caller, entry) for entry in (0, 1, 0)]
    assert answers[0] == answers[1] == answers[2]
    assert purchase.executions() == 1


async def test_concurrent_calls_run_once(purchase: Purchase, caller: Caller) -> None:
    results = await asyncio.gather(
        *(purchase.async_make(caller, number % 2) for number in range(20)),
        return_exceptions=True,
    )
    answers = [result for result in results if isinstance(result, dict)]
    refusals = [r.refusal.code for r in results if isinstance(r, RefusedError)]
    assert len(answers) + len(refusals) == len(results)
    assert set(refusals) <= {"call_pending", "claim_not_recorded"}
    assert answers
    assert all(answer == answers[0] for answer in answers)
    assert purchase.executions() == 1


async def test_other_request_under_the_same_key_is_refused(
    purchase: Purchase, caller: Caller
) -> None:
    await purchase.async_make(caller, 0)
    other = replace(purchase, body=b"other")
    with pytest.raises(RefusedError) as caught:
        await other.async_make(caller, 1)
    refusal = caught.value.refusal
    assert (refusal.code, refusal.run) == ("idempotency_key_reused", "not_run")
    assert (purchase.executions(), other.executions()) == (1, 0)


async def test_same_key_of_another_workspace_is_another_call(
    purchase: Purchase, caller: Caller, other_caller: Caller
) -> None:
    for each in (caller, other_caller):
        await purchase.async_make(each, 0)
    assert purchase.executions() == 2


async def test_call_whose_answer_was_lost_is_not_sent_again(
    purchase: Purchase, caller: Caller
) -> None:
    purchase.fleet.plain[0].add_fault("/purchases", "lose_answer", times=1)
    with pytest.raises(RefusedError) as caught:
        await purchase.async_make(caller, 0)
    assert caught.value.refusal.run == "unknown"
    refusal = await purchase.async_final_refusal(caller, 1)
    assert refusal == ("outcome_unknown", "unknown")
    assert purchase.executions() == 1


async def test_call_whose_entry_was_killed_is_not_sent_again(
    start_fleet: StartFleet, caller: Caller, request: pytest.FixtureRequest
) -> None:
    fleet = start_fleet(quick_plan(plain_options={"work_s": CALL_DURATION_S}))
    purchase = new_purchase(fleet, request)
    call = asyncio.create_task(purchase.async_make(caller, 0))
    await asyncio.to_thread(
        wait_until, lambda: purchase.executions() == 1, "the call runs"
    )
    fleet.entries[0].kill()
    with pytest.raises(aiohttp.ClientError):
        await call
    refusal = await purchase.async_final_refusal(caller, 1)
    assert refusal == ("outcome_unknown", "unknown")
    assert purchase.executions() == 1


@pytest.mark.parametrize("kind", ["lose_answer", "delay", "fail"])
@pytest.mark.parametrize("skip", [0, 1])
async def test_table_failure_during_a_call_never_duplicates_it(
    purchase: Purchase, caller: Caller, kind: str, skip: int
) -> None:
    entry = purchase.fleet.entries[0]
    purchase.fleet.table.add_fault(
        "/table/transact", kind, times=1, skip=skip, delay_s=1.5, caller=entry.name
    )
    answers = []
    may_have_run = False
    for attempt in range(MAX_ATTEMPTS):
        try:
            answers.append(await purchase.async_make(caller, attempt % 2))
        except RefusedError as error:
            may_have_run = may_have_run or error.refusal.run != "not_run"
            assert may_have_run or answers or purchase.executions() == 0
            await asyncio.sleep(0.1)
        if len(answers) == 3:
            break
    assert len(answers) == 3
    assert answers[0] == answers[1] == answers[2]
    assert purchase.executions() == 1

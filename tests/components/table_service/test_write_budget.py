"""Shares of the write budget per write class."""

import pytest

from banyanswitch.components.table_service.const import BUDGET_BURST_S, CLAIM_SHARE
from banyanswitch.components.table_service.write_budget import WriteBudget
from banyanswitch.exceptions import WriteBudgetExceededError
from banyanswitch.interfaces import WriteClass

WRITES_PER_S = 30.0


def admitted(
    budget: WriteBudget, write_class: WriteClass, writes: int, until_s: float
) -> int:
    """Return how many items are admitted if ten times the budget is offered.

    They are offered in transactions of ``writes`` items.
    """
    count = 0
    for step in range(int(until_s * 10 * WRITES_PER_S / writes)):
        try:
            budget.admit(write_class, writes, step * writes / (10 * WRITES_PER_S))
        except WriteBudgetExceededError:
            continue
        count += writes
    return count


@pytest.mark.parametrize("writes", [1, 16, 64])
def test_claims_stay_within_their_share(writes: int) -> None:
    seconds = 60.0
    count = admitted(WriteBudget(WRITES_PER_S, 0.0), WriteClass.CLAIM, writes, seconds)
    share = CLAIM_SHARE * WRITES_PER_S * (seconds + BUDGET_BURST_S)
    assert 0.9 * share <= count <= share + writes


@pytest.mark.parametrize("write_class", [WriteClass.LEASE, WriteClass.CONFIGURATION])
def test_claims_do_not_starve_the_others(write_class: WriteClass) -> None:
    budget = WriteBudget(WRITES_PER_S, 0.0)
    for step in range(600):
        now_s = step / 10.0
        for _ in range(10):
            try:
                budget.admit(WriteClass.CLAIM, 64, now_s)
            except WriteBudgetExceededError:
                break
        if step % 10 == 0:
            budget.admit(write_class, 1, now_s)


def test_leases_may_use_the_unused_share_of_claims() -> None:
    budget = WriteBudget(WRITES_PER_S, 0.0)
    count = 0
    while count < 50:
        budget.admit(WriteClass.LEASE, 1, 0.0)
        count += 1


def test_write_is_admitted_after_the_retry_delay_of_a_refusal() -> None:
    budget = WriteBudget(WRITES_PER_S, 0.0)
    budget.admit(WriteClass.CLAIM, 64, 0.0)
    with pytest.raises(WriteBudgetExceededError) as caught:
        budget.admit(WriteClass.CLAIM, 1, 0.0)
    budget.admit(WriteClass.CLAIM, 1, caught.value.retry_after_s + 0.001)


@pytest.mark.parametrize("instances", [1, 8, 330])
def test_share_of_one_instance(instances: int) -> None:
    total_per_s = 300.0
    seconds = 600.0
    budget = WriteBudget(total_per_s, 0.0)
    budget.set_rate(total_per_s / instances, 0.0)
    count = 0
    for step in range(int(seconds * 10)):
        try:
            budget.admit(WriteClass.CLAIM, 1, step / 10)
        except WriteBudgetExceededError:
            continue
        count += 1
    share = CLAIM_SHARE * total_per_s / instances
    assert count <= share * (seconds + BUDGET_BURST_S) + 1


def test_reduced_claim_rate_persists_after_a_change_of_the_rate() -> None:
    budget = WriteBudget(WRITES_PER_S, 0.0)
    budget.on_throttled(0.0)
    budget.set_rate(2 * WRITES_PER_S, 0.0)
    count = admitted(budget, WriteClass.CLAIM, 1, 2.0)
    assert count <= 2 * WRITES_PER_S * CLAIM_SHARE * 0.3 * 2.0 + 1

"""Instances that share a table whose rate is lower than their budgets together."""

import asyncio
from dataclasses import dataclass

import msgspec
import pytest

from banyanswitch.components.platform import HttpTableStore
from banyanswitch.components.platform.models import PlatformAnswer, RevisionsAnswer
from banyanswitch.components.platform.write_budget import WriteBudget
from banyanswitch.exceptions import PlatformUnavailableError, WriteBudgetExceededError
from banyanswitch.interfaces import Write, WriteClass
from banyanswitch_standins.rates import TokenBucket

pytestmark = pytest.mark.looptime(noop_cycles=1)

INSTANCES = 20
WRITES_PER_S = 30.0
TABLE_WRITES_PER_S = 300.0
MEASURE_S = 120.0


@dataclass
class LimitedService:
    """Answers transactions of one item, or 429; stands in for ``PlatformClient``."""

    bucket: TokenBucket
    accepted: int = 0

    async def async_write(self, method: str, path: str, body: bytes) -> PlatformAnswer:
        if not self.bucket.try_take(1):
            raise WriteBudgetExceededError(1.0)
        self.accepted += 1
        return PlatformAnswer(200, msgspec.json.encode(RevisionsAnswer([1])), None)


async def async_offer(table: HttpTableStore, kind: WriteClass, every_s: float) -> float:
    """Offer writes regularly and return the share that was taken."""
    taken = offered = 0
    deadline_s = asyncio.get_running_loop().time() + MEASURE_S
    while asyncio.get_running_loop().time() < deadline_s:
        offered += 1
        try:
            await table.async_transact([Write("k", b"")], kind)
            taken += 1
        except PlatformUnavailableError:
            pass
        await asyncio.sleep(every_s)
    return taken / offered


async def test_claims_of_all_instances_leave_room_for_leases() -> None:
    loop = asyncio.get_running_loop()
    service = LimitedService(TokenBucket(TABLE_WRITES_PER_S))
    tables = [
        HttpTableStore(service, WriteBudget(WRITES_PER_S, loop.time()))
        for _ in range(INSTANCES)
    ]
    leases = [async_offer(table, WriteClass.LEASE, 1.0) for table in tables]
    claims = [async_offer(table, WriteClass.CLAIM, 0.02) for table in tables]
    shares = await asyncio.gather(*leases, *claims)
    assert min(shares[:INSTANCES]) >= 0.9
    assert service.accepted >= 0.6 * TABLE_WRITES_PER_S * MEASURE_S

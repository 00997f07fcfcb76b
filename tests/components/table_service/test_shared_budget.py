"""Instances whose budgets together exceed the write rate of a shared table service."""

import asyncio
from dataclasses import dataclass

import msgspec
import pytest

from banyanswitch.components.table_service.models import (
    PlatformResponse,
    RevisionsResponse,
)
from banyanswitch.components.table_service.table_store import HttpTableStore
from banyanswitch.components.table_service.write_budget import WriteBudget
from banyanswitch.exceptions import PlatformUnavailableError, WriteBudgetExceededError
from banyanswitch.interfaces import Write, WriteClass
from banyanswitch_standins.rates import TokenBucket

pytestmark = pytest.mark.looptime(noop_cycles=1)

WRITES_PER_S = 30.0
SETTLE_S = 60.0
MEASURE_S = 60.0


@dataclass
class RateLimitedClient:
    """Fake ``PlatformClient``: accepts one-item transactions up to a rate, else 429."""

    bucket: TokenBucket
    accepted: int = 0

    async def async_write(
        self, method: str, path: str, body: bytes
    ) -> PlatformResponse:
        if not self.bucket.try_take(1):
            raise WriteBudgetExceededError(1.0)
        self.accepted += 1
        return PlatformResponse(200, msgspec.json.encode(RevisionsResponse([1])), None)


async def async_offer(
    table: HttpTableStore, kind: WriteClass, every_s: float, phase: float
) -> float:
    """Write periodically; return the share accepted after the settling time."""
    taken = offered = 0
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    await asyncio.sleep(phase * every_s)
    while loop.time() < started_s + SETTLE_S + MEASURE_S:
        is_measured = loop.time() >= started_s + SETTLE_S
        offered += is_measured
        try:
            await table.async_transact([Write("k", b"")], kind)
            taken += is_measured
        except PlatformUnavailableError:
            pass
        await asyncio.sleep(every_s)
    return taken / offered


@pytest.mark.parametrize(
    ("instances", "table_writes_per_s", "lease_every_s", "claim_every_s"),
    [(20, 300.0, 1.0, 0.04), (330, 400.0, 20.0, 0.5)],
)
async def test_claims_of_all_instances_leave_room_for_leases(
    instances: int,
    table_writes_per_s: float,
    lease_every_s: float,
    claim_every_s: float,
) -> None:
    loop = asyncio.get_running_loop()
    service = RateLimitedClient(TokenBucket(table_writes_per_s))
    offers = []
    for number in range(instances):
        table = HttpTableStore(service, WriteBudget(WRITES_PER_S, loop.time()))
        phase = number / instances
        offers.append(async_offer(table, WriteClass.LEASE, lease_every_s, phase))
        offers.append(async_offer(table, WriteClass.CLAIM, claim_every_s, phase))
    shares = await asyncio.gather(*offers)
    lease_shares = shares[::2]
    used = service.accepted / (SETTLE_S + MEASURE_S) / table_writes_per_s
    assert sum(lease_shares) / instances >= 0.9
    assert used >= 0.6

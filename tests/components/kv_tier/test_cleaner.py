"""Freeing of parts whose permission ends while a connection is being made."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest

from banyanswitch.components.forwarding.routing_state import WeightTarget
from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.kv_tier.cleaner import StoreCleaner
from banyanswitch.components.kv_tier.const import FREE_DELAY_S
from banyanswitch.components.weight_rollout.const import LEASE_S
from banyanswitch.identifiers import UpstreamId
from banyanswitch.platform.engines import PlatformEngines
from tests.components.forwarding.fakes import MODEL
from tests.components.kv_tier.test_coordinator import Setup as TierSetup
from tests.components.state_exchange.test_coordinator import make_nodes
from tests.components.weight_rollout.test_order_lease import Setup as LeaseSetup
from tests.components.weight_rollout.test_order_lease import now_s
from tests.fakes.http1 import FakePool, encode_response

pytestmark = pytest.mark.looptime
CONNECT_S = 0.4


class Scenario:
    """A cleaner that may free one part; connections to the store are slow to make."""

    def __init__(self) -> None:
        self.lease = LeaseSetup()
        self.tier = TierSetup()
        self.pool = FakePool(lambda _request: encode_response(202))
        (self.node,) = make_nodes(1)
        self.cleaner = StoreCleaner(
            order_lease=self.lease.order_lease,
            routing=self.node.routing,
            registry=self.node.upstreams.registry,
            tier=self.tier.tier,
            stores=PlatformEngines(HttpClient(self.pool)),
            exchange=self.node.exchange,
        )
        self.task: asyncio.Task[None] | None = None

    async def async_start(self, connect_s: float) -> None:
        """Start the cleaner, and return while the first call is being connected."""
        self.pool.connect_s = connect_s
        self.tier.store.held.append(self.tier.stored_event())
        await self.tier.async_start()
        self.node.routing.targets[MODEL] = WeightTarget(2, {2: now_s()})
        self.node.upstreams.registry.note_weights(UpstreamId("u"), MODEL, 2)
        self.task = asyncio.create_task(self.cleaner.async_run())
        while not self.pool.connecting:
            self.lease.leases.renew(1)
            await asyncio.sleep(0.01)

    def stop(self) -> None:
        self.tier.tier.stop()
        if self.task is not None:
            self.task.cancel()


@pytest.fixture
async def scenario() -> AsyncIterator[Scenario]:
    scenario = Scenario()
    yield scenario
    scenario.stop()


async def test_parts_below_the_floor_are_freed_after_the_delay(
    scenario: Scenario,
) -> None:
    await scenario.async_start(connect_s=0.02)
    await asyncio.sleep(0.1)
    ((sent_at_s, _),) = scenario.pool.sent
    assert sent_at_s >= FREE_DELAY_S


@pytest.mark.parametrize("end", ["expiry", "suspension"])
async def test_parts_are_not_freed_after_the_lease_ended(
    scenario: Scenario, end: str
) -> None:
    """Parts were freed if the lease ended while the connection was being made."""
    await scenario.async_start(CONNECT_S)
    if end == "expiry":
        lease = scenario.lease.leases.lease
        assert lease is not None
        expires_at_s = now_s() + CONNECT_S / 2
        scenario.lease.leases.lease = replace(lease, expires_at_s=expires_at_s)
    else:
        scenario.lease.clock.seconds += 6.6
    await asyncio.sleep(LEASE_S)
    assert scenario.pool.sent == []

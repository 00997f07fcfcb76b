"""Which stored parts the holder of the duty frees, and when."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest

from banyanswitch.components.forwarding.protocols import PartEvent
from banyanswitch.components.forwarding.routing_state import WeightTarget
from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.kv_tier.cleaner import StoreCleaner
from banyanswitch.components.kv_tier.const import FREE_DELAY_S
from banyanswitch.components.weight_rollout.const import LEASE_S
from banyanswitch.decisions.prefix import versioned_cache_salt
from banyanswitch.identifiers import UpstreamId
from banyanswitch.platform.engines import PlatformEngines
from tests.components.forwarding.fakes import MODEL, record
from tests.components.kv_tier.test_coordinator import NODE
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


OTHER_MODEL = "other"
SECOND_MODEL = "second"


class SharedStore:
    """A cleaner whose store keeps parts of several models."""

    def __init__(self) -> None:
        self.lease = LeaseSetup()
        (self.node,) = make_nodes(1)
        self.cleaner = StoreCleaner(
            order_lease=self.lease.order_lease,
            routing=self.node.routing,
            registry=self.node.upstreams.registry,
            tier=self.node.tier,
            stores=self.node.store,
            exchange=self.node.exchange,
        )
        self.task: asyncio.Task[None] | None = None

    def put_upstreams(self, model: str, *versions: int) -> None:
        for number, version in enumerate(versions):
            name = f"{model}-{number}"
            entry = replace(record(name), weight_versions={model: 1})
            self.node.upstreams.put(entry)
            upstream = UpstreamId(name)
            self.node.upstreams.registry.note_weights(upstream, model, version)

    def store(self, salt: str) -> None:
        for number in range(40):
            event = PartEvent(True, salt, f"part{number}", 1_000)
            self.node.store.held.append(event)

    async def async_clean(self, for_s: float) -> None:
        if self.task is None:
            self.node.tier.set_stores([NODE])
            self.task = asyncio.create_task(self.cleaner.async_run())
        ends_at_s = now_s() + for_s
        while now_s() < ends_at_s:
            self.lease.leases.renew(1)
            await asyncio.sleep(0.2)

    def freed(self, salt: str) -> int:
        return sum(key[0] == salt for _, key in self.node.store.freed)

    def stop(self) -> None:
        self.node.tier.stop()
        if self.task is not None:
            self.task.cancel()


@pytest.fixture
async def shared() -> AsyncIterator[SharedStore]:
    shared = SharedStore()
    yield shared
    shared.stop()


# Guards against new weights of one model that free the parts of another model.
async def test_parts_of_a_model_without_a_named_version_are_kept(
    shared: SharedStore,
) -> None:
    own, other = versioned_cache_salt(MODEL, 1), versioned_cache_salt(OTHER_MODEL, 1)
    shared.put_upstreams(MODEL, 2, 2, 2)
    shared.put_upstreams(OTHER_MODEL, 1, 1)
    shared.store(own)
    shared.store(other)
    shared.node.routing.targets[MODEL] = WeightTarget(2, {2: now_s()})
    await shared.async_clean(10.0)
    assert shared.freed(own) == 40
    assert shared.freed(other) == 0
    for number in range(2):
        shared.node.upstreams.remove(f"{OTHER_MODEL}-{number}")
    await shared.async_clean(10.0)
    assert shared.freed(other) == 0


# Guards against a model's floor that frees parts which another model's floor allows.
async def test_parts_are_judged_by_the_floor_of_their_own_model(
    shared: SharedStore,
) -> None:
    """Version 3 of one model is named before any upstream has its version 2."""
    first, other = versioned_cache_salt(MODEL, 1), versioned_cache_salt(OTHER_MODEL, 1)
    second = versioned_cache_salt(SECOND_MODEL, 1)
    shared.put_upstreams(MODEL, 2, 1, 1)
    shared.put_upstreams(OTHER_MODEL, 1, 1, 1)
    shared.put_upstreams(SECOND_MODEL, 2, 2, 1)
    for salt in (first, other, second):
        shared.store(salt)
    targets = shared.node.routing.targets
    targets[MODEL] = WeightTarget(2, {2: now_s()})
    targets[OTHER_MODEL] = WeightTarget(3, {3: now_s()})
    targets[SECOND_MODEL] = WeightTarget(2, {2: now_s()})
    await shared.async_clean(10.0)
    assert 0 < shared.freed(first) < 40
    assert shared.freed(second) == 40
    assert shared.freed(other) == 0


async def test_unknown_salts_are_freed_below_the_floors_of_all_models(
    shared: SharedStore,
) -> None:
    """Earlier software versions hashed the model together with the workspace."""
    earlier = "1-0123456789ab"
    shared.put_upstreams(MODEL, 2, 2)
    shared.put_upstreams(OTHER_MODEL, 1, 1)
    shared.store(earlier)
    targets = shared.node.routing.targets
    targets[MODEL] = WeightTarget(2, {2: now_s()})
    await shared.async_clean(10.0)
    assert shared.freed(earlier) == 0
    targets[OTHER_MODEL] = WeightTarget(2, {2: now_s()})
    for number in range(2):
        name = UpstreamId(f"{OTHER_MODEL}-{number}")
        shared.node.upstreams.registry.note_weights(name, OTHER_MODEL, 2)
    await shared.async_clean(10.0)
    assert shared.freed(earlier) == 40

"""Load orders whose permission ends while their connection is being made."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from banyanswitch.components.forwarding.models import (
    EngineProfile,
    ForwardedService,
    ForwardingConfiguration,
)
from banyanswitch.components.forwarding.routing_state import WeightTarget
from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.weight_rollout.const import (
    CHECK_INTERVAL_S,
    IDLE_CHECK_INTERVAL_S,
    LEASE_S,
    ORDER_WINDOW_S,
    RETRY_DELAY_S,
)
from banyanswitch.components.weight_rollout.coordinator import WeightRollout
from banyanswitch.decisions.upstream_notices import ResponseNotice
from banyanswitch.identifiers import UpstreamId
from banyanswitch.platform.engines import PlatformEngines
from tests.components.forwarding.fakes import MODEL, SERVICE
from tests.components.state_exchange.test_coordinator import make_nodes
from tests.components.weight_rollout.test_order_lease import Setup, now_s
from tests.fakes.http1 import FakePool, encode_response

pytestmark = pytest.mark.looptime
CONNECT_S = 0.4
REPORT = b'{"sequence": 0, "busy": false, "models": [{"name": "m", "version": 1}]}'
CONFIGURATION = ForwardingConfiguration(
    1,
    services={
        SERVICE: ForwardedService(
            name=SERVICE,
            max_connections=4,
            engine=EngineProfile(
                slots=4, capacity_tokens=1000, token_bytes=1, models=(MODEL,)
            ),
        )
    },
)


class Scenario:
    """A rollout to one upstream; connections for orders are slow to make."""

    def __init__(self) -> None:
        self.lease = Setup()
        self.pool = FakePool(self._respond)
        self.connect_s = CONNECT_S
        self.reported_at_s: list[float] = []
        (self.node,) = make_nodes(1)
        self.node.routing.apply(CONFIGURATION)
        self.rollout = WeightRollout(
            order_lease=self.lease.order_lease,
            routing=self.node.routing,
            registry=self.node.upstreams.registry,
            links=self.node.links,
            engines=PlatformEngines(HttpClient(self.pool)),
            exchange=self.node.exchange,
            holder="n0",
        )
        self.task: asyncio.Task[None] | None = None

    async def async_start(self, *, after_renewal_s: float = 0.0) -> None:
        """Renew the lease, and start the rollout some time later."""
        self.lease.leases.renew(1)
        await asyncio.sleep(after_renewal_s)
        self.node.routing.targets[MODEL] = WeightTarget(2, {2: now_s()})
        self.task = asyncio.create_task(self.rollout.async_run())

    async def async_until_connecting(self) -> None:
        """Wait until the connection for an order is being made."""
        while not (self.reported_at_s and self.pool.connecting):
            await asyncio.sleep(0.01)

    def order_times_s(self) -> list[float]:
        return [at_s for at_s, data in self.pool.sent if data.startswith(b"POST")]

    def stop(self) -> None:
        self.rollout.cancel_all()
        if self.task is not None:
            self.task.cancel()

    def _respond(self, request: bytes) -> bytes:
        if request.startswith(b"POST"):
            return encode_response(202)
        self.reported_at_s.append(now_s())
        self.pool.connect_s = 0.0 if self.order_times_s() else self.connect_s
        return encode_response(200, REPORT)


@pytest.fixture
async def scenario() -> AsyncIterator[Scenario]:
    scenario = Scenario()
    yield scenario
    scenario.stop()


async def test_an_order_is_sent_within_its_window(scenario: Scenario) -> None:
    await scenario.async_start()
    await asyncio.sleep(ORDER_WINDOW_S)
    assert len(scenario.order_times_s()) == 1


async def test_an_order_is_not_sent_after_its_window(scenario: Scenario) -> None:
    """An order waited for its connection longer than its fencing token was valid.

    A successor counts on the last order being sent `ORDER_WINDOW_S` after a renewal.
    """
    await scenario.async_start(after_renewal_s=ORDER_WINDOW_S - CONNECT_S / 2)
    await scenario.async_until_connecting()
    await asyncio.sleep(LEASE_S)
    assert scenario.order_times_s() == []


@pytest.mark.parametrize("end", ["stop", "suspension", "fenced"])
async def test_an_order_is_not_sent_after_its_token_ended(
    scenario: Scenario, end: str
) -> None:
    """An order whose token ended while its connection was being made was sent."""
    await scenario.async_start()
    await scenario.async_until_connecting()
    if end == "stop":
        scenario.lease.is_leaving = True
    elif end == "suspension":
        scenario.lease.clock.seconds += 6.6
    else:
        scenario.lease.order_lease.invalidate()
    await asyncio.sleep(LEASE_S)
    assert scenario.order_times_s() == []


async def test_an_order_that_was_not_sent_does_not_count_as_accepted(
    scenario: Scenario,
) -> None:
    """An upstream that could not be reached for its order was treated as loading."""
    await scenario.async_start(after_renewal_s=ORDER_WINDOW_S - CONNECT_S / 2)
    await scenario.async_until_connecting()
    scenario.connect_s = 0.0
    await asyncio.sleep(CONNECT_S)
    failed_at_s = now_s()
    assert scenario.node.upstreams.accepting(now_s()) == [UpstreamId("u")]
    while not scenario.order_times_s():
        scenario.lease.leases.renew(1)
        await asyncio.sleep(0.05)
    retry_s = scenario.order_times_s()[0] - failed_at_s
    assert retry_s <= RETRY_DELAY_S + IDLE_CHECK_INTERVAL_S + CHECK_INTERVAL_S


# Guards against upstreams without requests, as an instance that doesn't reach them
# announces loads that it can't order.
async def test_upstream_that_is_not_reached_is_not_announced_as_loading(
    scenario: Scenario,
) -> None:
    registry = scenario.node.upstreams.registry
    state = registry.state(UpstreamId("u"))
    assert state is not None
    scenario.node.links.note_not_sent(state.record, has_timed_out=True)
    await scenario.async_start()
    await asyncio.sleep(3 * RETRY_DELAY_S)
    assert scenario.reported_at_s == []
    assert registry.loading(now_s()) == {}


# Guards against reports and orders to an upstream that has asked for rest.
async def test_upstream_that_rests_is_not_ordered_to_load(scenario: Scenario) -> None:
    registry = scenario.node.upstreams.registry
    state = registry.state(UpstreamId("u"))
    assert state is not None
    notice = ResponseNotice(status=503, retry_after_s=5.0)
    registry.note_notice_at(state.record.address, notice)
    await scenario.async_start()
    for _ in range(16):
        await asyncio.sleep(0.3)
        scenario.lease.leases.renew(1)
    assert scenario.reported_at_s == []
    for _ in range(10):
        await asyncio.sleep(0.3)
        scenario.lease.leases.renew(1)
    assert scenario.reported_at_s != []

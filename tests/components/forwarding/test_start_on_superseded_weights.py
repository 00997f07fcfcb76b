"""Requests must not begin on superseded weights after the deadline; no network."""

import asyncio
import random

import pytest

from banyanswitch.components.forwarding.forwarder import Forwarder, RetryBudget
from banyanswitch.components.forwarding.loads import InFlight, Load
from banyanswitch.components.forwarding.metrics import ForwardingMetrics
from banyanswitch.components.forwarding.models import (
    EngineProfile,
    ForwardedService,
    ForwardingConfiguration,
    Repeatability,
    Route,
    ServiceShare,
)
from banyanswitch.components.forwarding.placement import Placement
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.start_limits import StartLimits
from banyanswitch.components.forwarding.wait_queue import WaitQueue
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.decisions.weight_age import WeightAgePolicy
from banyanswitch.helpers.suspension import SuspensionWatch
from banyanswitch.identifiers import FailureDomainId, UpstreamId
from banyanswitch.interfaces import Item, TableChanges
from tests.components.forwarding.fakes import (
    HOST,
    MODEL,
    RETRY_AFTER,
    SERVICE,
    FakeExchange,
    FakePool,
    FakeReply,
    FakeUpstream,
    NoFeed,
    PlainDecoder,
    PlainTranslator,
    Upstreams,
    model_request,
    record,
)
from tests.components.kv_tier.test_coordinator import FakeClock, FakeStore
from tests.components.lease.conftest import FixedPeers, make_peer

pytestmark = pytest.mark.looptime
WEIGHTS_DEADLINE_S = 4.0
PROMPT_TOKENS = 17_000
CAPACITY_TOKENS = 100_000
MAY_RUN_AGAIN = [Repeatability.REPEATABLE, Repeatability.RESUMABLE_STREAM]
EVENTS = "id: 1\ndata: {0}\n\nid: 2\ndata: {0}\n\n"


def by_value(repeatability: Repeatability) -> str:
    return repeatability.value


def make_configuration() -> ForwardingConfiguration:
    routes = tuple(
        Route(
            name=repeatability.value,
            host=HOST,
            prefix=f"/{repeatability.value}/",
            shares=(ServiceShare(SERVICE, 1.0),),
            repeatability=repeatability,
            timeout_s=60.0,
            target_latency_s=1.0,
            max_attempts=2,
            is_streaming=repeatability is Repeatability.RESUMABLE_STREAM,
        )
        for repeatability in Repeatability
    )
    engine = EngineProfile(
        slots=4, capacity_tokens=CAPACITY_TOKENS, token_bytes=18_432, models=(MODEL,)
    )
    service = ForwardedService(name=SERVICE, max_connections=100, engine=engine)
    return ForwardingConfiguration(1, routes=routes, services={SERVICE: service})


def make_forwarder(
    routing: RoutingState, upstreams: Upstreams, pool: FakePool
) -> Forwarder:
    generator = random.Random(1)
    tier = PartTier(
        FakeStore(),
        lambda _model: None,
        SuspensionWatch(FakeClock()),
        upstreams.loads,
        ReaderAssignment(FixedPeers(make_peer("a"), [])),
    )
    policy = WeightAgePolicy(deadline_s=WEIGHTS_DEADLINE_S)
    start_limits = StartLimits(routing, policy)
    placement = Placement(
        routing=routing,
        registry=upstreams.registry,
        tier=tier,
        pool=pool,
        failure_domain=FailureDomainId("z1"),
        start_limits=start_limits,
        instance_count=lambda: 1,
        generator=generator,
    )
    wait_queue = WaitQueue()
    upstreams.loads.on_large_prefill_change = wait_queue.notify
    return Forwarder(
        translator=PlainTranslator(),
        routing=routing,
        placement=placement,
        registry=upstreams.registry,
        start_limits=start_limits,
        pool=pool,
        metrics=ForwardingMetrics(),
        retry_budget=RetryBudget(ratio=0.2, slack=50.0, window_s=10.0),
        instance_count=lambda: 1,
        is_refusing=lambda: False,
        generator=generator,
        wait_queue=wait_queue,
        on_replaced=lambda _name: None,
    )


class Instance:
    """Forwarder in front of fake upstreams, with the targets that a test names."""

    def __init__(self) -> None:
        self.upstreams = Upstreams()
        self._pool = FakePool()
        self._operator = TableMirror("op", NoFeed(), random.Random(1))
        self.routing = RoutingState(self._operator, PlainDecoder(), "config")
        self.routing.apply(make_configuration())
        self._forwarder = make_forwarder(self.routing, self.upstreams, self._pool)

    def add(
        self,
        name: str,
        version: int,
        *,
        queue_s: float | None = 0.0,
        response_s: float = 0.0,
    ) -> FakeUpstream:
        upstream = FakeUpstream(name, queue_s, response_s)
        entry = record(name, version=version)
        self._pool.upstreams[entry.address] = upstream
        self.upstreams.put(entry)
        return upstream

    def name_target(self, version: int) -> float:
        """Make a version the target and return the loop time."""
        row = Item("op/target", version, str(version).encode())
        self._operator.apply_changes(TableChanges(version, (row,), ()))
        return now_s()

    def fill_memory(self, upstream: FakeUpstream) -> None:
        """Let an answered request use nearly all memory of an upstream."""
        name = UpstreamId(upstream.name)
        number = self.upstreams.loads.begin(
            InFlight(name, 0, CAPACITY_TOKENS - 1_000, now_s())
        )
        self.upstreams.loads.note_answered(number)

    def queue_prefills(self, upstream: FakeUpstream, tokens: int) -> None:
        """Let another instance report requests that wait for their prefill."""
        loads = {upstream.name: Load(4, tokens, CAPACITY_TOKENS - 1_000)}
        self.upstreams.loads.note_remote("other", loads, now_s())

    def retry_budget_left(self) -> float:
        return self._forwarder._retrier(SERVICE).budget_left(now_s())

    def send(
        self, repeatability: Repeatability, *, time_left_s: float = 30.0
    ) -> tuple[FakeReply, asyncio.Task[None]]:
        request = model_request(
            f"/{repeatability.value}/",
            prompt_tokens=PROMPT_TOKENS,
            time_left_s=time_left_s,
        )
        reply = FakeReply()
        handling = self._forwarder.async_handle(request, reply)
        return reply, asyncio.create_task(handling)


def now_s() -> float:
    return asyncio.get_running_loop().time()


def only_exchange(upstream: FakeUpstream) -> FakeExchange:
    (exchange,) = upstream.exchanges
    return exchange


def assert_withdrawn_before(upstream: FakeUpstream, limit_s: float) -> None:
    exchange = only_exchange(upstream)
    assert exchange.begun_at_s is None
    assert exchange.closed_at_s is not None
    assert exchange.closed_at_s < limit_s


def assert_answered_by(reply: FakeReply, upstream: FakeUpstream) -> None:
    assert reply.status == 200
    assert reply.body.decode() == EVENTS.format(upstream.name)
    assert not reply.is_aborted


# Guards against a begin after the deadline on weights that were superseded before.
@pytest.mark.parametrize("repeatability", MAY_RUN_AGAIN, ids=by_value)
async def test_queued_request_moves_to_newest_weights_before_the_deadline(
    repeatability: Repeatability,
) -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    superseded_at_s = instance.name_target(2)
    await asyncio.sleep(1.0)
    reply, handling = instance.send(repeatability)
    await asyncio.sleep(0.5)
    new = instance.add("new", 2)
    await handling
    assert_withdrawn_before(old, superseded_at_s + WEIGHTS_DEADLINE_S)
    assert_answered_by(reply, new)


# Guards against a late begin, a second run, and a promise that it has not run.
async def test_queued_request_that_may_run_once_is_withdrawn_and_not_repeated() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    superseded_at_s = instance.name_target(2)
    await asyncio.sleep(1.0)
    reply, handling = instance.send(Repeatability.ONCE)
    await asyncio.sleep(0.5)
    new = instance.add("new", 2)
    await handling
    assert_withdrawn_before(old, superseded_at_s + WEIGHTS_DEADLINE_S)
    assert new.exchanges == []
    assert reply.status == 502
    assert RETRY_AFTER not in reply.headers


# Guards against a late begin on weights that were the newest at sending.
async def test_deadline_applies_to_weights_superseded_while_the_request_waits() -> None:
    instance = Instance()
    instance.name_target(1)
    old = instance.add("old", 1, queue_s=None)
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.sleep(5.0)
    assert only_exchange(old).closed_at_s is None
    superseded_at_s = instance.name_target(2)
    new = instance.add("new", 2)
    await handling
    assert_withdrawn_before(old, superseded_at_s + WEIGHTS_DEADLINE_S)
    assert_answered_by(reply, new)


# Guards against a deadline that still counts from this instance's own late notice.
async def test_earlier_target_time_shortens_the_wait_of_a_queued_request() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    await asyncio.sleep(2.0)
    noticed_at_s = instance.name_target(2)
    superseded_at_s = noticed_at_s - 1.5
    await asyncio.sleep(0.5)
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.sleep(0.5)
    instance.routing.note_target_time(MODEL, 2, superseded_at_s)
    new = instance.add("new", 2)
    await handling
    assert_withdrawn_before(old, superseded_at_s + WEIGHTS_DEADLINE_S)
    assert_answered_by(reply, new)


# Guards against the withdrawal of a request that began in time.
@pytest.mark.parametrize("repeatability", list(Repeatability), ids=by_value)
async def test_response_that_began_before_the_deadline_is_not_disturbed(
    repeatability: Repeatability,
) -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=1.0, response_s=5.0)
    superseded_at_s = instance.name_target(2)
    await asyncio.sleep(1.0)
    reply, handling = instance.send(repeatability)
    await asyncio.sleep(0.5)
    new = instance.add("new", 2)
    await handling
    exchange = only_exchange(old)
    assert exchange.closed_at_s is None
    assert exchange.ended_at_s is not None
    assert exchange.ended_at_s > superseded_at_s + WEIGHTS_DEADLINE_S
    assert new.exchanges == []
    assert_answered_by(reply, old)


# Guards against sending a request to a queue that it may leave after the deadline.
@pytest.mark.parametrize("repeatability", list(Repeatability), ids=by_value)
async def test_large_request_is_refused_rather_than_sent_to_a_full_old_upstream(
    repeatability: Repeatability,
) -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    instance.fill_memory(old)
    instance.name_target(2)
    await asyncio.sleep(2.0)
    called_at_s = now_s()
    reply, handling = instance.send(repeatability, time_left_s=4.8)
    await handling
    assert old.exchanges == []
    assert reply.status == 503
    assert float(reply.headers[RETRY_AFTER]) > 0.0
    assert reply.ended_at_s is not None
    assert reply.ended_at_s - called_at_s < 1.4


# Guards against a choice of full superseded upstreams at the end of the local wait.
async def test_large_request_prefers_newest_weights_to_a_full_old_upstream() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    new = instance.add("new", 2)
    instance.fill_memory(old)
    instance.name_target(2)
    await asyncio.sleep(2.0)
    instance.queue_prefills(new, 30_000)
    reply, handling = instance.send(Repeatability.REPEATABLE, time_left_s=4.8)
    await handling
    assert old.exchanges == []
    assert_answered_by(reply, new)


# Guards against the refusal of a request that can only begin before the deadline.
async def test_large_request_that_ends_before_the_deadline_is_still_sent() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=0.5)
    instance.fill_memory(old)
    instance.name_target(2)
    await asyncio.sleep(0.5)
    reply, handling = instance.send(Repeatability.REPEATABLE, time_left_s=2.0)
    await handling
    assert_answered_by(reply, old)

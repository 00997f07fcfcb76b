"""Fetches of instances that don't hear the holder of the duty, and parts it frees."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from banyanswitch.components.forwarding.routing_state import WeightTarget
from banyanswitch.components.kv_tier.cleaner import StoreCleaner
from banyanswitch.components.kv_tier.const import (
    CLEAN_INTERVAL_S,
    MAX_PERMIT_S,
    MAX_TICK_GAP_S,
    PERMIT_LIFETIME_S,
    REPORT_INTERVAL_S,
)
from banyanswitch.components.kv_tier.fetch_permit import FetchPermit, PermitReport
from banyanswitch.decisions.fetch_limit import FETCH_TIMEOUT_S
from banyanswitch.decisions.prefix import versioned_cache_salt
from banyanswitch.helpers.suspension import SuspensionWatch
from banyanswitch.identifiers import UpstreamId
from banyanswitch.interfaces import Peer
from tests.components.forwarding.fakes import MODEL, record
from tests.components.kv_tier.test_coordinator import (
    NODE,
    PARTS,
    FakeClock,
)
from tests.components.kv_tier.test_coordinator import Setup as TierSetup
from tests.components.state_exchange.test_coordinator import Node, make_nodes
from tests.components.weight_rollout.test_order_lease import Setup as LeaseSetup
from tests.components.weight_rollout.test_order_lease import now_s

pytestmark = pytest.mark.looptime
CHECK_INTERVAL_S = 0.05
UPSTREAMS = ("u", "v", "w")


class Fleet:
    """Instances during a rollout of version 2; the first one holds the duty."""

    def __init__(self, count: int) -> None:
        self.lease = LeaseSetup()
        self.nodes = make_nodes(count)
        self.holder = self.nodes[0]
        self.cleaner = StoreCleaner(
            order_lease=self.lease.order_lease,
            routing=self.holder.routing,
            registry=self.holder.upstreams.registry,
            tier=self.holder.tier,
            stores=self.holder.store,
            exchange=self.holder.exchange,
        )
        self.planned_at_s = float("-inf")
        self._tasks: list[asyncio.Task[None]] = []

    async def async_start(self) -> None:
        self.lease.leases.renew(1)
        permit = self.holder.tier.permit
        permit.issuing_token = self.lease.order_lease.taken_over_token
        held = TierSetup().stored_event()
        for node in self.nodes:
            node.newest = 2
            node.routing.targets[MODEL] = WeightTarget(2, {2: now_s()})
            for name in UPSTREAMS:
                node.upstreams.put(record(name))
                upstream = UpstreamId(name)
                node.upstreams.registry.note_weights(upstream, MODEL, 1)
            node.store.held.append(held)
            node.tier.set_stores([NODE])
            self._start(self._async_report(node))
        self._start(self.cleaner.async_run())
        self._start(self._async_renew())

    async def async_pass(self, for_s: float) -> None:
        """Let time pass while all instances but the holder plan fetches."""
        ends_at_s = now_s() + for_s
        while now_s() < ends_at_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if any([self.fetches(node) for node in self.nodes[1:]]):
                self.planned_at_s = now_s()

    def fetches(self, node: Node) -> bool:
        salt = versioned_cache_salt(MODEL, 1)
        plan = node.tier.plan(PARTS, salt, MODEL, 1, 18_432)
        return bool(plan.fetches[0])

    def load(self, name: str) -> None:
        """Let the holder see that an upstream has loaded version 2."""
        registry = self.holder.upstreams.registry
        registry.note_weights(UpstreamId(name), MODEL, 2)

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.tier.stop()

    def _start(self, work: object) -> None:
        assert asyncio.iscoroutine(work)
        self._tasks.append(asyncio.create_task(work))

    async def _async_report(self, node: Node) -> None:
        while True:
            node.exchange.report_now()
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _async_renew(self) -> None:
        while True:
            self.lease.leases.renew(1)
            await asyncio.sleep(0.5)


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet(3)
    yield fleet
    fleet.stop()


# Guards against parts freed under fetches of instances that hear only each other.
async def test_parts_are_freed_after_the_fetches_of_those_cut_off_from_the_holder(
    fleet: Fleet,
) -> None:
    await fleet.async_start()
    await fleet.async_pass(10.0)
    assert all(fleet.fetches(node) for node in fleet.nodes)
    fleet.holder.transport.is_cut_off = True
    fleet.load("u")
    fleet.load("v")
    await fleet.async_pass(10.0)
    ((freed_at_s, _),) = fleet.holder.store.freed
    assert freed_at_s - fleet.planned_at_s >= FETCH_TIMEOUT_S


async def test_permits_pass_through_other_instances(fleet: Fleet) -> None:
    """One instance hears the holder only through another one."""
    await fleet.async_start()
    last = fleet.nodes[2]
    fleet.holder.exchange._peers = _Only(fleet.holder, "n1")
    await fleet.async_pass(5.0)
    assert fleet.fetches(last)
    fleet.load("u")
    fleet.load("v")
    await fleet.async_pass(1.0)
    assert not fleet.fetches(last)


# Guards against permits of the previous holder that the new one doesn't know.
async def test_new_holder_frees_after_the_longest_permit(fleet: Fleet) -> None:
    await fleet.async_start()
    fleet.load("u")
    fleet.load("v")
    await fleet.async_pass(10.0)
    ((freed_at_s, _),) = fleet.holder.store.freed
    assert freed_at_s >= MAX_PERMIT_S + FETCH_TIMEOUT_S


# Guards against an instance that is cut off and counts only itself: its membership
# drops the others before its next request.
async def test_lost_instances_count_as_not_heard(fleet: Fleet) -> None:
    await fleet.async_start()
    last = fleet.nodes[2]
    await fleet.async_pass(5.0)
    last.transport.is_cut_off = True
    last.exchange._peers = _Only(last)
    await asyncio.sleep(2.0)
    assert not last.exchange.hears_most()


class _Only:
    """Peer directory with only some of the others."""

    def __init__(self, node: Node, *names: str) -> None:
        self._node = node
        self._names = {*names, node.this_instance().instance}

    def this_instance(self) -> Peer:
        return self._node.this_instance()

    def peers(self) -> tuple[Peer, ...]:
        return tuple(p for p in self._node.peers() if p.instance in self._names)


class Receiver:
    """A permit that is received, with a clock of suspensions."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.watch = SuspensionWatch(self.clock)
        self.permit = FetchPermit(self.watch)
        self.watch.subscribe(lambda: self.permit.withdraw(now_s()))

    def note(self, number: int, token: int = 1) -> None:
        report = PermitReport(token, number, PERMIT_LIFETIME_S)
        self.permit.note(report, now_s())

    def is_valid(self) -> bool:
        return self.permit.left_s(now_s()) > 0.0


async def test_permit_that_is_passed_on_again_is_not_prolonged() -> None:
    receiver = Receiver()
    receiver.note(1)
    for _ in range(10):
        await asyncio.sleep(PERMIT_LIFETIME_S / 10)
        receiver.note(1)
    assert not receiver.is_valid()
    receiver.note(2)
    assert receiver.is_valid()


@pytest.mark.parametrize("pause", ["suspended", "stopped"])
async def test_permits_that_arrived_during_a_pause_are_ignored(pause: str) -> None:
    """Datagrams wait in the socket while the process is paused."""
    receiver = Receiver()
    receiver.permit.tick(now_s())
    receiver.note(1)
    if pause == "suspended":
        receiver.clock.seconds += 3.0
    else:
        await asyncio.sleep(MAX_TICK_GAP_S + 0.1)
    receiver.note(2)
    assert not receiver.is_valid()
    receiver.permit.tick(now_s())
    await asyncio.sleep(PERMIT_LIFETIME_S)
    receiver.permit.tick(now_s())
    receiver.note(3)
    assert receiver.is_valid()


async def test_ticks_of_the_cleaner_are_no_pause() -> None:
    receiver = Receiver()
    for number in range(1, 8):
        receiver.permit.tick(now_s())
        receiver.note(number)
        await asyncio.sleep(CLEAN_INTERVAL_S)
        assert receiver.is_valid()


async def test_lower_fencing_tokens_count_after_the_store_has_gone_back() -> None:
    receiver = Receiver()
    receiver.note(1, token=9)
    receiver.note(2, token=7)
    await asyncio.sleep(PERMIT_LIFETIME_S)
    assert not receiver.is_valid()
    await asyncio.sleep(MAX_PERMIT_S)
    receiver.note(1, token=7)
    assert receiver.is_valid()


# Guards against fetches of an instance that can't hear of newer weights.
async def test_instance_cut_off_from_all_does_not_fetch(fleet: Fleet) -> None:
    await fleet.async_start()
    last = fleet.nodes[2]
    last.newest = 1
    await fleet.async_pass(5.0)
    last.transport.is_cut_off = True
    await fleet.async_pass(1.0)
    assert not fleet.fetches(last)
    last.tier.targets_confirmed_at_s = now_s
    assert fleet.fetches(last)


async def test_newest_parts_are_fetched_while_no_instance_holds_the_duty(
    fleet: Fleet,
) -> None:
    """No instance can hold it in an outage of the store."""
    fleet.lease.is_leaving = True
    await fleet.async_start()
    for node in fleet.nodes:
        node.newest = 1
        node.tier.hears_most = node.exchange.hears_most
    await fleet.async_pass(10.0)
    assert all(fleet.fetches(node) for node in fleet.nodes)
    fleet.nodes[2].transport.is_cut_off = True
    await fleet.async_pass(2.0)
    assert not fleet.fetches(fleet.nodes[2])
    assert fleet.fetches(fleet.nodes[1])


async def test_fetch_ends_a_limited_time_after_the_permit(fleet: Fleet) -> None:
    await fleet.async_start()
    last = fleet.nodes[2]
    last.newest = 1
    await fleet.async_pass(5.0)
    last.transport.is_cut_off = True
    salt = versioned_cache_salt(MODEL, 1)
    while fleet.fetches(last):
        plan = last.tier.plan(PARTS, salt, MODEL, 1, 18_432)
        ends_at_s = now_s() + plan.fetch_limit_s
        assert ends_at_s <= last.tier.permit.ends_at_s + FETCH_TIMEOUT_S + 0.001
        await asyncio.sleep(CHECK_INTERVAL_S)

"""Loads that the upstreams' homes keep, between instances without a network."""

import asyncio
import random

import msgspec
import pytest

from banyanswitch.components.forwarding.loads import InFlight, LoadTracker
from banyanswitch.components.load_homes.const import (
    HOME_COOLDOWN_S,
    LOOKUP_TIMEOUT_S,
    MAX_REPORTING_INSTANCES,
    MAX_UPSTREAMS_PER_MESSAGE,
    SHARE_INTERVAL_S,
    SHARE_LIFETIME_S,
)
from banyanswitch.components.load_homes.homes import LoadHomes
from banyanswitch.components.load_homes.keeper import LoadKeeper
from banyanswitch.components.load_homes.lookup import LoadLookup
from banyanswitch.components.load_homes.models import LoadAnswer, ShareReport
from banyanswitch.components.load_homes.share_reporter import ShareReporter
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.upstream_slowness.coordinator import UpstreamSlowness
from banyanswitch.decisions.load_shares import NO_LOAD, Load
from banyanswitch.decisions.slowness import SlownessReport
from banyanswitch.identifiers import FailureDomainId, InstanceId, UpstreamId
from banyanswitch.interfaces import Peer
from tests.components.peers.in_memory_transport import InMemoryTransport

pytestmark = pytest.mark.looptime

UPSTREAM = UpstreamId("u")
UPSTREAMS = [UpstreamId(f"u{number}") for number in range(40)]


class Fleet:
    """Live instances, as all of them know them."""

    def __init__(self, count: int) -> None:
        self.transports: dict[str, InMemoryTransport] = {}
        self.members = [
            Peer(
                InstanceId(f"n{number}"),
                FailureDomainId(f"z{number % 5}"),
                f"n{number}:1",
                "",
                1,
            )
            for number in range(count)
        ]
        self.live = tuple(self.members)
        self.nodes = [Node(self, peer) for peer in self.members]

    def declare_dead(self, *names: str) -> None:
        self.live = tuple(p for p in self.live if p.instance not in names)

    def node(self, name: str) -> "Node":
        return next(node for node in self.nodes if node.peer.instance == name)

    def home_of(self, upstream: UpstreamId) -> "Node":
        home = self.nodes[0].homes.home(upstream)
        assert home is not None
        return self.node(home.instance)

    def not_home_of(self, *upstreams: UpstreamId) -> list["Node"]:
        homes = [self.home_of(name) for name in upstreams]
        return [node for node in self.nodes if node not in homes]


class Node:
    """Load homes of one instance."""

    def __init__(self, fleet: Fleet, peer: Peer) -> None:
        self.peer = peer
        self._fleet = fleet
        self.transport = InMemoryTransport(peer.instance, fleet.transports)
        fleet.transports[peer.peer_address] = self.transport
        self.loads = LoadTracker()
        self.slowness = UpstreamSlowness()
        self.homes = LoadHomes(self, ReaderAssignment(self))
        self.keeper = LoadKeeper(self.transport, self.slowness)
        self.reporter = ShareReporter(
            transport=self.transport,
            peers=self,
            homes=self.homes,
            keeper=self.keeper,
            loads=self.loads,
            slowness=self.slowness,
        )
        self.lookup = LoadLookup(
            transport=self.transport,
            peers=self,
            homes=self.homes,
            keeper=self.keeper,
            loads=self.loads,
            slowness=self.slowness,
        )
        self._task = asyncio.create_task(self.reporter.async_run())

    def this_instance(self) -> Peer:
        return self.peer

    def peers(self) -> tuple[Peer, ...]:
        return self._fleet.live

    def end(self) -> None:
        """End without a word, as by a kill, a freeze or a cut."""
        self._task.cancel()
        del self._fleet.transports[self.peer.peer_address]

    def begin(self, upstream: UpstreamId, *, is_large: bool = True) -> int:
        request = InFlight(upstream, 300, 400, now_s(), is_large_prefill=is_large)
        return self.loads.begin(request)

    async def async_total(self, upstream: UpstreamId) -> Load:
        await self.lookup.async_refresh([upstream])
        return self.loads.total(upstream, now_s())


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def test_load_of_all_instances_counts_once_and_at_once() -> None:
    fleet = Fleet(20)
    for node in fleet.nodes:
        node.begin(UPSTREAM)
    for node in fleet.nodes:
        assert await node.async_total(UPSTREAM) == Load(20, 6_000, 8_000)


async def test_short_prompts_are_reported_together_a_little_later() -> None:
    fleet = Fleet(20)
    node, asking = fleet.not_home_of(UPSTREAM)[:2]
    for _ in range(10):
        node.begin(UPSTREAM, is_large=False)
    assert node.transport.sent == 0
    await asyncio.sleep(0.02)
    assert node.transport.sent == 1
    assert await asking.async_total(UPSTREAM) == Load(10, 3_000, 4_000)


async def test_ended_requests_leave_no_load() -> None:
    fleet = Fleet(20)
    node, asking = fleet.not_home_of(UPSTREAM)[:2]
    number = node.begin(UPSTREAM)
    node.loads.note_answered(number)
    assert await asking.async_total(UPSTREAM) == Load(1, 0, 400)
    node.loads.end(number)
    assert await asking.async_total(UPSTREAM) == NO_LOAD


async def test_lost_end_of_a_request_is_reported_again() -> None:
    fleet = Fleet(20)
    node, asking = fleet.not_home_of(UPSTREAM)[:2]
    number = node.begin(UPSTREAM)
    home = fleet.home_of(UPSTREAM)
    address = home.peer.peer_address
    lost = fleet.transports.pop(address)
    node.loads.end(number)
    fleet.transports[address] = lost
    await asyncio.sleep(1.2 * SHARE_INTERVAL_S)
    assert await asking.async_total(UPSTREAM) == NO_LOAD


async def test_work_of_an_instance_that_died_expires() -> None:
    fleet = Fleet(20)
    node, asking = fleet.not_home_of(UPSTREAM)[:2]
    node.begin(UPSTREAM)
    node.end()
    await asyncio.sleep(SHARE_LIFETIME_S + 0.01)
    assert await asking.async_total(UPSTREAM) == NO_LOAD


async def test_no_work_is_lost_when_the_home_changes() -> None:
    fleet = Fleet(20)
    home = fleet.home_of(UPSTREAM)
    others = fleet.not_home_of(UPSTREAM)
    for node in others:
        node.begin(UPSTREAM)
    home.end()
    fleet.declare_dead(home.peer.instance)
    await asyncio.sleep(0.25 * SHARE_INTERVAL_S)
    assert await others[0].async_total(UPSTREAM) == Load(19, 5_700, 7_600)


async def test_silent_home_delays_a_request_once() -> None:
    """Its end is not known yet; its upstream is left out as long as others answer."""
    fleet = Fleet(20)
    upstreams = UPSTREAMS[:4]
    asking = fleet.not_home_of(*upstreams)[0]
    fleet.home_of(upstreams[0]).end()
    silent = {u for u in upstreams if fleet.home_of(u) is fleet.home_of(upstreams[0])}
    began_at_s = now_s()
    known = await asking.lookup.async_refresh(upstreams)
    assert known == set(upstreams) - silent
    assert now_s() - began_at_s == pytest.approx(LOOKUP_TIMEOUT_S, abs=0.001)
    began_at_s = now_s()
    assert await asking.lookup.async_refresh(upstreams) == known
    assert now_s() == began_at_s
    await asyncio.sleep(HOME_COOLDOWN_S)
    await asking.lookup.async_refresh(upstreams)
    assert now_s() - began_at_s > HOME_COOLDOWN_S


async def test_homes_of_a_whole_domain_are_replaced_at_once() -> None:
    fleet = Fleet(195)
    dead = [node for node in fleet.nodes if node.peer.failure_domain == "z0"]
    alive = [node for node in fleet.nodes if node not in dead]
    for upstream in UPSTREAMS:
        for node in alive[:3]:
            node.begin(upstream)
    for node in dead:
        node.end()
    fleet.declare_dead(*(node.peer.instance for node in dead))
    await asyncio.sleep(0.25 * SHARE_INTERVAL_S)
    known = await alive[10].lookup.async_refresh(UPSTREAMS)
    assert known == set(UPSTREAMS)
    for upstream in UPSTREAMS:
        assert alive[10].loads.total(upstream, now_s()) == Load(3, 900, 1_200)


async def test_instances_that_disagree_find_each_other_again() -> None:
    """One still believes in the previous home and reports there."""
    fleet = Fleet(20)
    home = fleet.home_of(UPSTREAM)
    late, asking = fleet.not_home_of(UPSTREAM)[:2]
    everyone = fleet.live
    late.peers = lambda: everyone  # type: ignore[method-assign]
    fleet.declare_dead(home.peer.instance)
    late.begin(UPSTREAM)
    assert await asking.async_total(UPSTREAM) == NO_LOAD
    del late.peers  # type: ignore[method-assign]
    await asyncio.sleep(0.25 * SHARE_INTERVAL_S)
    assert await asking.async_total(UPSTREAM) == Load(1, 300, 400)


@pytest.mark.parametrize("instances", [91, 195, 330])
async def test_messages_of_a_request_do_not_grow_with_the_fleet(instances: int) -> None:
    fleet = Fleet(instances)
    generator = random.Random(1)
    requests = 40
    for _ in range(requests):
        node = generator.choice(fleet.nodes)
        names = generator.sample(UPSTREAMS, 4)
        await node.lookup.async_refresh(names)
        number = node.begin(names[0])
        node.loads.note_answered(number)
        node.loads.end(number)
    sent = sum(node.transport.sent for node in fleet.nodes)
    sent_bytes = sum(node.transport.sent_bytes for node in fleet.nodes)
    assert sent <= requests * (4 + 4 + 3)
    assert sent_bytes <= sent * 200


async def test_small_fleet_sends_nothing() -> None:
    fleet = Fleet(MAX_REPORTING_INSTANCES)
    for node in fleet.nodes:
        node.begin(UPSTREAM)
    await asyncio.sleep(SHARE_INTERVAL_S)
    assert not any(node.lookup.is_needed() for node in fleet.nodes)
    assert not any(node.transport.sent for node in fleet.nodes)


async def test_answers_that_were_not_asked_for_are_ignored() -> None:
    """Of an unknown question, and of an instance that is not the upstream's home."""
    fleet = Fleet(20)
    asking, other = fleet.not_home_of(UPSTREAM)[:2]
    answer = {UPSTREAM: Load(9, 9, 9)}
    for number in (0, 1, 7):
        message = LoadAnswer(number, other.peer.peer_address, answer)
        other.transport.send(asking.peer.peer_address, message)
    assert await asking.async_total(UPSTREAM) == NO_LOAD
    fleet.home_of(UPSTREAM).end()
    lookup = asyncio.create_task(asking.lookup.async_refresh([UPSTREAM]))
    await asyncio.sleep(0)
    for number in range(4):
        message = LoadAnswer(number, other.peer.peer_address, answer)
        other.transport.send(asking.peer.peer_address, message)
    assert await lookup == frozenset()
    assert asking.loads.total(UPSTREAM, now_s()) == NO_LOAD


async def test_report_of_too_many_upstreams_is_dropped() -> None:
    fleet = Fleet(20)
    home = fleet.home_of(UPSTREAM)
    sender, asking = fleet.not_home_of(UPSTREAM)[:2]
    loads: dict[str, Load] = dict.fromkeys(UPSTREAMS, Load(1, 1, 1))
    loads |= {f"x{n}": Load(1, 1, 1) for n in range(MAX_UPSTREAMS_PER_MESSAGE)}
    report = ShareReport(sender.peer.instance, {**loads, UPSTREAM: Load(1, 1, 1)})
    sender.transport.send(home.peer.peer_address, report)
    assert await asking.async_total(UPSTREAM) == NO_LOAD


async def test_forged_cut_and_repeated_reports_are_dropped() -> None:
    fleet = Fleet(20)
    home = fleet.home_of(UPSTREAM)
    sender, asking = fleet.not_home_of(UPSTREAM)[:2]
    address = home.peer.peer_address
    report = ShareReport(sender.peer.instance, {UPSTREAM: Load(1, 1, 1)})
    frame = sender.transport.frame(address, report)
    home.transport.deliver(frame[:-1])
    home.transport.deliver(frame[:-1] + bytes([frame[-1] ^ 1]))
    assert await asking.async_total(UPSTREAM) == NO_LOAD
    home.transport.deliver(frame)
    sender.transport.send(
        address, ShareReport(sender.peer.instance, {UPSTREAM: NO_LOAD})
    )
    home.transport.deliver(frame)
    assert await asking.async_total(UPSTREAM) == NO_LOAD
    assert home.transport.dropped_frames == 3


# Guards against an instance of many that sees an upstream's response every few seconds
# and doesn't learn what the upstream reported to the others.
async def test_reported_slowness_reaches_those_who_ask_the_home() -> None:
    fleet = Fleet(100)
    home = fleet.home_of(UPSTREAM)
    node, asking = fleet.not_home_of(UPSTREAM)[:2]
    number = node.begin(UPSTREAM)
    node.slowness.note_response(UPSTREAM, 4.0, now_s())
    node.loads.note_answered(number)
    assert home.slowness.slowness(UPSTREAM, now_s()) == 4.0
    await asyncio.sleep(0.1)
    assert asking.slowness.slowness(UPSTREAM, now_s()) == 1.0
    await asking.lookup.async_refresh([UPSTREAM])
    assert asking.slowness.age_s(UPSTREAM, now_s()) == pytest.approx(0.1, abs=0.002)
    assert asking.slowness.slowness(UPSTREAM, now_s()) > 3.0


class EarlierAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer as version 219cf6e sends and reads it."""

    number: int
    peer_address: str
    loads: dict[str, Load]


class EarlierShareReport(msgspec.Struct, frozen=True, array_like=True):
    """The report as version 219cf6e sends and reads it."""

    instance: str
    loads: dict[str, Load]


# Guards against loads that are dropped between two versions during a release.
def test_messages_of_two_versions_are_read_by_each_other() -> None:
    slowness = {UPSTREAM: SlownessReport(400, 10)}
    loads = {str(UPSTREAM): Load(1, 2, 3)}
    pairs = (
        (LoadAnswer(1, "a:1", loads, slowness), EarlierAnswer(1, "a:1", loads)),
        (ShareReport("a", loads, slowness), EarlierShareReport("a", loads)),
    )
    for present, earlier in pairs:
        encoded = msgspec.msgpack.encode(present)
        assert msgspec.msgpack.decode(encoded, type=type(earlier)) == earlier
        encoded = msgspec.msgpack.encode(earlier)
        read = msgspec.msgpack.decode(encoded, type=type(present))
        assert read == msgspec.structs.replace(present, slowness={})


class EarlierLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load as version 219cf6e sends and reads it."""

    requests: int = 0
    prefill_tokens: int = 0
    memory_tokens: int = 0


def test_loads_of_two_versions_are_read_by_each_other() -> None:
    encoded = msgspec.msgpack.encode(Load(1, 2, 3, 40))
    assert msgspec.msgpack.decode(encoded, type=EarlierLoad) == EarlierLoad(1, 2, 3)
    encoded = msgspec.msgpack.encode(EarlierLoad(1, 2, 3))
    assert msgspec.msgpack.decode(encoded, type=Load) == Load(1, 2, 3, 0)


# Guards against instances that know the number of the others' requests alone.
async def test_predicted_work_in_flight_reaches_those_who_ask() -> None:
    fleet = Fleet(20)
    node, asking = fleet.not_home_of(UPSTREAM)[:2]
    numbers = [
        node.loads.begin(InFlight(UPSTREAM, 0, 0, now_s(), work_s=0.9004, run_s=0.4004))
        for _ in range(2)
    ]
    await asyncio.sleep(0.02)
    assert (await asking.async_total(UPSTREAM)).work_ms == 1801
    node.loads.note_answered(numbers[0])
    await asyncio.sleep(0.02)
    assert (await asking.async_total(UPSTREAM)).work_ms == 1301

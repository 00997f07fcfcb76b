"""Reports between instances: their effects and their rate."""

import asyncio
import random

import msgspec
import pytest

from banyanswitch.components.forwarding.loads import InFlight
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.load_homes.homes import LoadHomes
from banyanswitch.components.part_quarantine.coordinator import PartQuarantine
from banyanswitch.components.peers.const import BURST_BYTES
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.state_exchange.const import (
    BROADCAST_BYTES_PER_S,
    SAMPLED_RECIPIENTS,
    URGENT_REPORTS_PER_S,
)
from banyanswitch.components.state_exchange.coordinator import StateExchange
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.upstream_links.coordinator import UpstreamLinks
from banyanswitch.components.upstream_links.peer_links import PeerLinkTable
from banyanswitch.decisions.load_shares import Load
from banyanswitch.helpers.suspension import SuspensionWatch
from banyanswitch.identifiers import FailureDomainId, InstanceId, UpstreamId
from banyanswitch.interfaces import Peer
from tests.components.forwarding.fakes import (
    MODEL,
    NoFeed,
    PlainDecoder,
    Upstreams,
    record,
)
from tests.components.kv_tier.test_coordinator import FakeClock, FakeStore
from tests.components.peers.in_memory_transport import InMemoryTransport

pytestmark = pytest.mark.looptime


class Node:
    def __init__(
        self, name: str, names: list[str], transports: dict[str, InMemoryTransport]
    ) -> None:
        self.transport = InMemoryTransport(name, transports)
        transports[self.transport.address] = self.transport
        self.upstreams = Upstreams()
        self.upstreams.put(record("u"))
        self._peers = tuple(
            Peer(InstanceId(n), FailureDomainId("z"), f"{n}:1", "", 1) for n in names
        )
        self._name = name
        mirror = TableMirror("op", NoFeed(), random.Random(1))
        self.routing = RoutingState(mirror, PlainDecoder(), "config")
        self.store = FakeStore()
        self.newest = 1
        self.tier = PartTier(
            self.store,
            lambda _model: self.newest,
            SuspensionWatch(FakeClock()),
            self.upstreams.loads,
            ReaderAssignment(self),
        )
        self.links = UpstreamLinks(
            self.upstreams.registry,
            ConnectionPool(),
            PeerLinkTable(self, random.Random(1)),
        )
        self.exchange = StateExchange(
            transport=self.transport,
            peers=self,
            registry=self.upstreams.registry,
            tier=self.tier,
            mirrors={"servers": self.upstreams.mirror},
            routing=self.routing,
            quarantine=PartQuarantine(self),
            links=self.links,
            homes=LoadHomes(self, ReaderAssignment(self)),
            request_address=f"{name}:2",
            generator=random.Random(1),
        )

    def this_instance(self) -> Peer:
        return next(peer for peer in self._peers if peer.instance == self._name)

    def peers(self) -> tuple[Peer, ...]:
        return self._peers


def make_nodes(count: int, known: int | None = None) -> list[Node]:
    names = [f"n{number}" for number in range(known or count)]
    transports: dict[str, InMemoryTransport] = {}
    return [Node(name, names, transports) for name in names[:count]]


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def test_work_in_flight_weight_loads_and_versions_are_exchanged() -> None:
    first, second = make_nodes(2)
    name = UpstreamId("u")
    first.upstreams.loads.begin(InFlight(name, 300, 400, now_s()))
    first.exchange.announce_loading([name], 2)
    assert second.upstreams.loads.total(name, now_s()) == Load(1, 300, 400)
    assert second.upstreams.accepting(now_s()) == []
    first.exchange.announce_weights(name, MODEL, 2, now_s())
    assert second.upstreams.accepting(now_s()) == ["u"]
    state = second.upstreams.registry.state(name)
    assert state is not None
    assert state.weight_versions[MODEL] == 2


async def test_replaced_upstream_is_not_used_by_other_instances() -> None:
    first, second = make_nodes(2)
    first.exchange.announce_replaced(UpstreamId("u"))
    assert second.upstreams.accepting(now_s()) == []


async def test_age_of_target_weights_reaches_a_restarted_instance() -> None:
    first, second = make_nodes(2)
    first.routing.note_target_time(MODEL, 2, now_s() - 30.0)
    first.exchange.report_now()
    target = second.routing.targets[MODEL]
    assert now_s() - target.target_since_s[2] == pytest.approx(30.0, abs=0.01)


# Guards against target times that become earlier with each report between instances.
async def test_reports_do_not_move_target_times() -> None:
    first, second = make_nodes(2)
    at_s = now_s() - 0.0307
    for node in (first, second):
        node.routing.note_target_time(MODEL, 2, at_s)
    for _ in range(200):
        await asyncio.sleep(0.0123)
        first.exchange.report_now()
        second.exchange.report_now()
    for node in (first, second):
        assert node.routing.targets[MODEL].target_since_s[2] == at_s


@pytest.mark.parametrize("instances", [8, 91, 330])
async def test_rate_of_urgent_reports_is_bounded(instances: int) -> None:
    """Long prompts start or end 50 times a second, each with an urgent report."""
    (node,) = make_nodes(1, instances)
    began_at_s = now_s()
    for _ in range(500):
        node.exchange.report_soon()
        await asyncio.sleep(0.02)
    elapsed_s = now_s() - began_at_s
    # The first report is sent at once, without a gap to an earlier one.
    assert node.transport.sent <= URGENT_REPORTS_PER_S * elapsed_s + instances
    assert node.transport.sent > 0


async def test_loads_that_start_together_share_one_report() -> None:
    """15 of 45 upstreams get load orders at once; each report goes to 90 instances."""
    (node,) = make_nodes(1, 91)
    names = [UpstreamId(f"u{number}") for number in range(15)]
    node.exchange.announce_loading(names, 2)
    await asyncio.sleep(node.exchange.broadcast_time_s())
    assert node.transport.sent == 90
    for _ in range(5):
        for name in names:
            node.exchange.renew_loading(name, 2)
        await asyncio.sleep(0.2)
    for name in names:
        node.exchange.announce_weights(name, MODEL, 2, now_s())
    await asyncio.sleep(1.0)
    assert node.transport.sent <= 90 + URGENT_REPORTS_PER_S * 2.0


async def test_reports_to_many_instances_do_not_fill_the_link() -> None:
    """When 90 reports were sent at once over 10 Mbit/s, the last ones were lost."""
    (node,) = make_nodes(1, 91)
    for number in range(20):
        call = InFlight(UpstreamId(f"upstream-{number}"), 12_800, 17_000, now_s())
        node.upstreams.loads.begin(call)
    sent = []
    for _ in range(100):
        node.exchange.report_soon()
        node.exchange.report_now()
        sent.append(node.transport.sent_bytes)
        await asyncio.sleep(0.02)
    in_half_a_second = [
        late - early for early, late in zip(sent, sent[25:], strict=False)
    ]
    assert max(in_half_a_second) <= BURST_BYTES + 0.5 * BROADCAST_BYTES_PER_S * 1.1
    assert node.transport.sent >= 2 * 90


@pytest.mark.parametrize("instances", [91, 195, 330])
async def test_quiet_large_fleet_sends_few_reports_without_loads(
    instances: int,
) -> None:
    (node,) = make_nodes(1, instances)
    running = asyncio.create_task(node.exchange.async_run())
    for _ in range(50):
        call = InFlight(UpstreamId("u"), 12_800, 17_000, now_s())
        node.upstreams.loads.begin(call)
        await asyncio.sleep(0.2)
    running.cancel()
    assert SAMPLED_RECIPIENTS <= node.transport.sent <= 12.0 * 10.0
    assert node.transport.sent_bytes < 300 * node.transport.sent


async def test_observation_reaches_all_instances_of_a_large_fleet() -> None:
    nodes = make_nodes(91)
    nodes[0].exchange.announce_replaced(UpstreamId("u"))
    await asyncio.sleep(nodes[0].exchange.broadcast_time_s() + 0.01)
    assert not any(node.upstreams.accepting(now_s()) for node in nodes[1:])


async def test_lost_observation_is_repeated_in_a_large_fleet() -> None:
    nodes = make_nodes(91)
    address = nodes[5].transport.address
    lost = nodes[0].transport._transports.pop(address)
    running = asyncio.create_task(nodes[0].exchange.async_run())
    nodes[0].exchange.announce_replaced(UpstreamId("u"))
    await asyncio.sleep(0.5)
    nodes[0].transport._transports[address] = lost
    assert nodes[5].upstreams.accepting(now_s()) == ["u"]
    await asyncio.sleep(2.0)
    running.cancel()
    assert nodes[5].upstreams.accepting(now_s()) == []


async def test_load_of_the_earlier_version_counts_in_a_large_fleet() -> None:
    """It reports its load to all instances, whatever their number."""
    first, second = make_nodes(2, 91)
    report = first.exchange._make_report()
    assert report.loads == {}
    earlier = msgspec.structs.replace(report, loads={"u": Load(1, 300, 400)})
    first.transport.send(second.transport.address, earlier)
    assert second.upstreams.loads.total(UpstreamId("u"), now_s()) == Load(1, 300, 400)


async def test_order_of_recipients_varies() -> None:
    nodes = make_nodes(20)
    first_recipients = set()
    for _ in range(40):
        nodes[0].transport.recipients.clear()
        nodes[0].exchange.report_now()
        first_recipients.add(nodes[0].transport.recipients[0])
        await asyncio.sleep(1.0)
    assert len(first_recipients) >= 10


# Guards against a small fleet whose instances learn only from their own responses.
async def test_reported_slowness_is_exchanged_with_its_age() -> None:
    first, second = make_nodes(2)
    name = UpstreamId("u")
    first.upstreams.registry.slowness.note_response(name, 4.0, now_s())
    await asyncio.sleep(0.1)
    first.exchange.report_now()
    known = second.upstreams.registry.slowness
    assert known.age_s(name, now_s()) == pytest.approx(0.1, abs=0.002)
    assert known.slowness(name, now_s()) > 3.0
    await asyncio.sleep(0.2)
    first.exchange.report_now()
    assert known.age_s(name, now_s()) == pytest.approx(0.3, abs=0.002)

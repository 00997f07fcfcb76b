"""Links to upstreams that go down and come back."""

import asyncio
import random
from collections.abc import AsyncIterator

import pytest

from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.components.upstream_links.const import (
    PEER_COOLDOWN_S,
    REPORT_LIFETIME_S,
)
from banyanswitch.components.upstream_links.coordinator import UpstreamLinks
from banyanswitch.components.upstream_links.peer_links import PeerLinkTable
from banyanswitch.exceptions import UpstreamNotSentError
from banyanswitch.identifiers import InstanceId, UpstreamId
from tests.components.forwarding.fakes import SERVICE, Upstreams, record
from tests.components.forwarding.scripted_connections import ScriptedTransport
from tests.components.lease.conftest import FixedPeers, make_peer

pytestmark = pytest.mark.looptime
NAMES = ("a", "b", "c")


class CutPool(ConnectionPool):
    """Pool that can't connect to some addresses."""

    def __init__(self) -> None:
        super().__init__()
        self.cut: set[str] = set()
        self.opened: list[str] = []

    async def async_open(self, address: str) -> UpstreamConnection:
        self.opened.append(address)
        if address in self.cut:
            await asyncio.sleep(0.5)
            raise UpstreamNotSentError(f"can't connect to {address}")
        return ScriptedTransport([]).connection


class Fixture:
    def __init__(self) -> None:
        self.upstreams = Upstreams()
        for name in NAMES:
            self.upstreams.put(record(name))
        self.pool = CutPool()
        peers = FixedPeers(make_peer("me"), [make_peer("p"), make_peer("q", True)])
        self.peers = PeerLinkTable(peers, random.Random(1))
        self.links = UpstreamLinks(self.upstreams.registry, self.pool, self.peers)
        self.changes = 0
        self.links.on_change = self.count_change

    def count_change(self) -> None:
        self.changes += 1

    def fail(self, name: str, *, has_timed_out: bool = False) -> None:
        self.pool.cut.add(record(name).address)
        self.links.note_not_sent(record(name), has_timed_out=has_timed_out)

    def usable(self) -> list[str]:
        states = self.upstreams.registry.of_service(SERVICE)
        return [state.record.name for state in self.links.usable(states)]


@pytest.fixture
async def fixture() -> AsyncIterator[Fixture]:
    fixture = Fixture()
    task = asyncio.create_task(fixture.links.async_run())
    yield fixture
    task.cancel()


async def test_link_is_used_again_when_a_check_has_succeeded(fixture: Fixture) -> None:
    fixture.fail("a")
    assert fixture.usable() == ["b", "c"]
    assert fixture.links.report() == ["a"]
    await asyncio.sleep(2.0)
    assert fixture.usable() == ["b", "c"]
    assert set(fixture.pool.opened) == {record("a").address}
    fixture.pool.cut.clear()
    await asyncio.sleep(1.2)
    assert fixture.usable() == list(NAMES)
    assert fixture.changes == 2
    opened = len(fixture.pool.opened)
    await asyncio.sleep(5.0)
    assert len(fixture.pool.opened) == opened


# Guards against connections to a failure domain to which nothing may be sent.
async def test_links_to_an_evacuated_failure_domain_are_not_checked(
    fixture: Fixture,
) -> None:
    evacuated = {record("a").failure_domain}
    fixture.links.is_evacuated = lambda domain: domain in evacuated
    fixture.fail("a")
    await asyncio.sleep(3.0)
    assert fixture.pool.opened == []
    evacuated.clear()
    fixture.pool.cut.clear()
    await asyncio.sleep(1.2)
    assert fixture.usable() == list(NAMES)


async def test_all_links_are_checked_after_the_second_lost_one(
    fixture: Fixture,
) -> None:
    fixture.fail("a")
    fixture.pool.cut.add(record("c").address)
    fixture.fail("b")
    await asyncio.sleep(0.7)
    assert fixture.links.report() == ["a", "b", "c"]
    assert fixture.usable() == []


async def test_upstreams_are_usable_through_an_instance_that_reaches_them(
    fixture: Fixture,
) -> None:
    for name in NAMES:
        fixture.fail(name)
    fixture.peers.note_report("p", "p:1", ["c"])
    fixture.peers.note_report("q", "q:1", [])
    assert fixture.usable() == ["a", "b"]
    chosen = fixture.peers.choose(UpstreamId("a"))
    assert chosen is not None
    assert chosen.instance == "p"
    fixture.peers.note_declined(InstanceId("p"))
    assert fixture.usable() == []
    await asyncio.sleep(PEER_COOLDOWN_S)
    assert fixture.usable() == ["a", "b"]
    await asyncio.sleep(REPORT_LIFETIME_S)
    assert fixture.usable() == []


# Guards against requests to an instance of an earlier version, which takes none.
async def test_instance_without_an_address_takes_no_requests(fixture: Fixture) -> None:
    fixture.fail("a")
    fixture.peers.note_report("p", "p:1", [])
    fixture.peers.note_report("p", "", [])
    assert fixture.peers.available() == []


# Guards against open connections that go on while new ones are refused, unused.
async def test_open_connections_are_used_unless_new_ones_hang(
    fixture: Fixture,
) -> None:
    for name in NAMES:
        address = record(name).address
        connection = await fixture.pool.async_open(address)
        fixture.pool.release(address, connection)
    fixture.fail("a")
    assert fixture.usable() == list(NAMES)
    fixture.fail("a", has_timed_out=True)
    assert fixture.usable() == ["b", "c"]


async def test_removed_upstream_is_forgotten(fixture: Fixture) -> None:
    fixture.fail("a")
    fixture.upstreams.remove("a")
    await asyncio.sleep(1.0)
    assert fixture.links.report() == []

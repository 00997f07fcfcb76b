"""Origins of streams survive the end of instances; no network, no waiting."""

import asyncio
from dataclasses import replace

import pytest

from banyanswitch.components.stream_origins.const import (
    ASK_ROUND_S,
    ASK_ROUNDS,
    KEEPERS,
    MAX_STREAM_BYTES,
    STREAM_LIFETIME_S,
)
from banyanswitch.components.stream_origins.exchange import OriginExchange
from banyanswitch.decisions.stream_resumption import OriginSearch, StreamOrigin
from banyanswitch.identifiers import FailureDomainId, InstanceId, ServiceName
from banyanswitch.interfaces import Peer
from tests.components.peers.in_memory_transport import InMemoryTransport

pytestmark = pytest.mark.looptime
ORIGIN = StreamOrigin(ServiceName("llm"), "v1")
FOUND = OriginSearch(ORIGIN)
NOT_FOUND = OriginSearch()
OTHER_ORIGIN = StreamOrigin(ServiceName("llm"), "v2")


class NoArchive:
    """Implements ``OriginArchive`` for services with one software version."""

    def note(self, stream: bytes, origin: StreamOrigin) -> None:
        return

    async def async_find(self, stream: bytes) -> OriginSearch:
        return OriginSearch()


class Fleet:
    """Instances that all know each other, also after some of them have ended."""

    def __init__(self, count: int) -> None:
        self.transports: dict[str, InMemoryTransport] = {}
        self.peers = tuple(
            Peer(InstanceId(f"n{n}"), FailureDomainId("z"), f"n{n}:1", "", 1)
            for n in range(count)
        )
        self.exchanges = [self.start(number) for number in range(count)]

    def start(self, number: int) -> OriginExchange:
        """Start an instance that remembers nothing."""
        transport = InMemoryTransport(f"n{number}", self.transports)
        self.transports[transport.address] = transport
        directory = _Directory(self, number)
        return OriginExchange(transport, directory, lambda: True, NoArchive())

    def end(self, number: int) -> None:
        self.transports.pop(f"n{number}:1", None)

    def leave(self, numbers: set[int]) -> None:
        """Let instances accept no new callers, as all others know."""
        self.peers = tuple(
            replace(peer, is_leaving=number in numbers)
            for number, peer in enumerate(self.peers)
        )

    def keepers(self, number: int) -> set[int]:
        """Return the instances to which an instance has sent something."""
        recipients = self.transports[f"n{number}:1"].recipients
        return {int(address[1:].partition(":")[0]) for address in recipients}


class _Directory:
    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self._number = number

    def this_instance(self) -> Peer:
        return self._fleet.peers[self._number]

    def peers(self) -> tuple[Peer, ...]:
        return self._fleet.peers


def now_s() -> float:
    return asyncio.get_running_loop().time()


@pytest.mark.parametrize("count", [2, 3, 8, 40])
async def test_every_instance_finds_an_origin_after_its_instance_has_ended(
    count: int,
) -> None:
    fleet = Fleet(count)
    fleet.exchanges[0].note(b"s1", ORIGIN)
    fleet.end(0)
    for number in range(1, count):
        assert await fleet.exchanges[number].async_find(b"s1") == FOUND
    assert now_s() == 0.0


async def test_an_origin_is_found_while_one_keeper_is_left() -> None:
    fleet = Fleet(8)
    fleet.exchanges[0].note(b"s1", ORIGIN)
    keepers = sorted(fleet.keepers(0))
    assert len(keepers) == KEEPERS
    for number in (0, *keepers[1:]):
        fleet.end(number)
        fleet.exchanges[number] = fleet.start(number)
    for number in range(8):
        assert await fleet.exchanges[number].async_find(b"s1") == FOUND


# Guards against the loss of origins while many instances are being replaced.
async def test_keepers_that_are_leaving_are_asked() -> None:
    fleet = Fleet(8)
    fleet.exchanges[0].note(b"s1", ORIGIN)
    keepers = fleet.keepers(0)
    fleet.end(0)
    fleet.leave(keepers)
    others = set(range(1, 8)) - keepers
    for number in others:
        assert await fleet.exchanges[number].async_find(b"s1") == FOUND
        fleet.transports[f"n{number}:1"].recipients.clear()
        fleet.exchanges[number].note(b"s2", ORIGIN)
        assert fleet.keepers(number).isdisjoint(keepers)


async def test_messages_of_a_stream_do_not_grow_with_the_fleet() -> None:
    fleet = Fleet(100)
    for number in range(50):
        fleet.exchanges[0].note(b"s%d" % number, ORIGIN)
    assert fleet.transports["n0:1"].sent == 50 * KEEPERS
    assert len(fleet.keepers(0)) > 50


async def test_unknown_origin_is_known_to_be_unknown_at_once() -> None:
    fleet = Fleet(8)
    assert await fleet.exchanges[0].async_find(b"s1") == NOT_FOUND
    assert now_s() == 0.0


# Guards against a guess while an instance that may know the origin is cut off.
async def test_search_without_all_answers_is_not_complete() -> None:
    fleet = Fleet(3)
    fleet.end(1)
    assert await fleet.exchanges[0].async_find(b"s1") == OriginSearch(is_complete=False)


# Guards against a caller that is held while ended instances don't answer.
async def test_search_ends_in_time_without_answers() -> None:
    fleet = Fleet(8)
    for number in range(1, 8):
        fleet.end(number)
    assert await fleet.exchanges[0].async_find(b"s1") == OriginSearch(is_complete=False)
    assert now_s() == pytest.approx(ASK_ROUNDS * ASK_ROUND_S, abs=0.01)


async def test_question_is_repeated_after_a_lost_datagram() -> None:
    fleet = Fleet(2)
    fleet.exchanges[0].note(b"s1", ORIGIN)
    lost = fleet.transports.pop("n0:1")
    fleet.exchanges[1] = fleet.start(1)
    search = asyncio.create_task(fleet.exchanges[1].async_find(b"s1"))
    await asyncio.sleep(0.5 * ASK_ROUND_S)
    fleet.transports["n0:1"] = lost
    assert await search == FOUND
    assert now_s() < 2 * ASK_ROUND_S


# Guards against streams of callers without an identifier that share one origin, and
# against messages of any size.
@pytest.mark.parametrize("stream", [b"", b"x" * (MAX_STREAM_BYTES + 1)])
async def test_unusable_identifiers_are_neither_noted_nor_searched(
    stream: bytes,
) -> None:
    fleet = Fleet(3)
    fleet.exchanges[0].note(stream, ORIGIN)
    search = await fleet.exchanges[0].async_find(stream)
    assert search == OriginSearch(is_complete=False)
    assert fleet.transports["n0:1"].sent == 0


async def test_two_callers_share_a_search() -> None:
    fleet = Fleet(2)
    fleet.exchanges[0].note(b"s1", ORIGIN)
    fleet.exchanges[1] = fleet.start(1)
    exchange = fleet.exchanges[1]
    found = await asyncio.gather(exchange.async_find(b"s1"), exchange.async_find(b"s1"))
    assert found == [FOUND, FOUND]


async def test_first_origin_of_a_stream_is_kept() -> None:
    fleet = Fleet(2)
    fleet.exchanges[0].note(b"s1", ORIGIN)
    fleet.exchanges[0].note(b"s1", OTHER_ORIGIN)
    assert await fleet.exchanges[0].async_find(b"s1") == FOUND
    assert await fleet.exchanges[1].async_find(b"s1") == FOUND


async def test_origin_is_forgotten_after_the_lifetime_of_a_stream() -> None:
    fleet = Fleet(2)
    fleet.exchanges[0].note(b"s1", ORIGIN)
    fleet.exchanges[0].note(b"s2", ORIGIN)
    await asyncio.sleep(0.9 * STREAM_LIFETIME_S)
    fleet.exchanges[0].note(b"s2", ORIGIN)
    await asyncio.sleep(0.2 * STREAM_LIFETIME_S)
    assert await fleet.exchanges[0].async_find(b"s1") == NOT_FOUND
    assert await fleet.exchanges[1].async_find(b"s2") == FOUND

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import pynng
import pytest

from banyanswitch.components.peers.replay_guard import ReplayGuard
from banyanswitch.components.peers.transport import NngPeerTransport
from banyanswitch.exceptions import PeerError
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.identifiers import InstanceId
from tests.components.peers.in_memory_transport import InMemoryTransport

OLD = b"old-key-0123456789"
NEW = b"new-key-0123456789"


@dataclass(frozen=True, slots=True)
class Note:
    number: int
    text: str = ""


@dataclass(frozen=True, slots=True)
class OtherNote:
    number: int


class Instances:
    def __init__(self) -> None:
        self.started: list[NngPeerTransport] = []

    async def async_start(
        self, name: str, keys: SigningKeys, incarnation: int = 1, max_dialers: int = 64
    ) -> NngPeerTransport:
        transport = NngPeerTransport(
            instance=InstanceId(name),
            incarnation=incarnation,
            listen_address="tcp://127.0.0.1:0",
            advertised_address=None,
            keys=keys,
            max_dialers=max_dialers,
        )
        await transport.async_start()
        self.started.append(transport)
        return transport


@pytest.fixture
async def instances() -> AsyncIterator[Instances]:
    instances = Instances()
    yield instances
    for transport in instances.started:
        await transport.async_stop()


async def async_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():  # noqa: ASYNC110 - sockets have no event here
            await asyncio.sleep(0.005)


async def test_messages_arrive_once_in_order(instances: Instances) -> None:
    a = await instances.async_start("a", SigningKeys(OLD))
    b = await instances.async_start("b", SigningKeys(OLD))
    received: list[Note] = []
    b.subscribe(Note, received.append)
    for number in range(50):
        await a.async_send(b.address, Note(number))
    await async_until(lambda: len(received) >= 50)
    assert [note.number for note in received] == list(range(50))


@pytest.mark.parametrize(
    ("sender_keys", "is_accepted"),
    [
        (SigningKeys(OLD), True),
        (SigningKeys(NEW, OLD), True),
        (SigningKeys(b"other-key-01234567"), False),
    ],
)
async def test_only_known_keys_are_accepted(
    instances: Instances, sender_keys: SigningKeys, is_accepted: bool
) -> None:
    a = await instances.async_start("a", sender_keys)
    b = await instances.async_start("b", SigningKeys(OLD, NEW))
    received: list[Note] = []
    b.subscribe(Note, received.append)
    await a.async_send(b.address, Note(1))
    await async_until(lambda: bool(received) or b.dropped_frames > 0)
    assert bool(received) == is_accepted


async def test_replayed_and_redirected_frames_are_dropped(
    instances: Instances,
) -> None:
    a = await instances.async_start("a", SigningKeys(OLD))
    b = await instances.async_start("b", SigningKeys(OLD))
    c = await instances.async_start("c", SigningKeys(OLD))
    received: list[Note] = []
    b.subscribe(Note, received.append)
    c.subscribe(Note, received.append)
    frame = a.frame(b.address, Note(7))
    with pynng.Push0(dial=b.address) as to_b, pynng.Push0(dial=c.address) as to_c:
        await to_b.asend(frame)
        await to_b.asend(frame)
        await to_c.asend(frame)
        await to_c.asend(b"short")
        await async_until(lambda: b.dropped_frames == 1 and c.dropped_frames == 2)
    assert received == [Note(7)]


async def test_messages_of_a_restarted_instance_are_accepted(
    instances: Instances,
) -> None:
    a = await instances.async_start("a", SigningKeys(OLD))
    b = await instances.async_start("b", SigningKeys(OLD))
    received: list[Note] = []
    a.subscribe(Note, received.append)
    await b.async_send(a.address, Note(1))
    await async_until(lambda: len(received) == 1)
    restarted = await instances.async_start("b", SigningKeys(OLD), incarnation=2)
    await restarted.async_send(a.address, Note(2))
    await async_until(lambda: len(received) == 2)
    await b.async_send(a.address, Note(3))
    await async_until(lambda: a.dropped_frames == 1)
    assert received == [Note(1), Note(2)]


async def test_connections_are_limited_and_reopened(instances: Instances) -> None:
    a = await instances.async_start("a", SigningKeys(OLD), max_dialers=2)
    others = [await instances.async_start(f"o{n}", SigningKeys(OLD)) for n in range(4)]
    received: list[Note] = []
    for other in others:
        other.subscribe(Note, received.append)
    for number in range(3):
        for index, other in enumerate(others):
            await a.async_send(other.address, Note(number))
            expected = number * len(others) + index + 1
            await async_until(lambda count=expected: len(received) == count)
    assert len(received) == 12


async def test_unreachable_peer_raises_without_blocking(
    instances: Instances,
) -> None:
    a = await instances.async_start("a", SigningKeys(OLD))
    with pytest.raises(PeerError):
        for number in range(1000):
            await a.async_send("tcp://127.0.0.1:9", Note(number))
    with pytest.raises(PeerError):
        await a.async_send("nonsense", Note(1))
    with pytest.raises(PeerError):
        await a.async_send("tcp://127.0.0.1:9", Note(1, "x" * 2_000_000))


def test_replay_guard_removes_the_least_recent_sender() -> None:
    guard = ReplayGuard(max_senders=2)
    assert guard.accept("a", "Note", 1, 1)
    assert not guard.accept("a", "Note", 1, 1)
    assert not guard.accept("a", "Note", 0, 9)
    assert guard.accept("b", "Note", 1, 1)
    assert guard.accept("c", "Note", 1, 1)
    assert guard.accept("a", "Note", 1, 1)
    assert not guard.accept("c", "Note", 1, 1)


def test_replay_guard_removes_all_types_of_a_sender() -> None:
    guard = ReplayGuard(max_senders=1)
    assert guard.accept("a", "Note", 1, 5)
    assert guard.accept("a", "OtherNote", 1, 4)
    assert not guard.accept("a", "OtherNote", 1, 4)
    assert not guard.accept("a", "Note", 1, 5)
    assert guard.accept("b", "Note", 1, 1)
    assert guard.accept("a", "OtherNote", 1, 4)


# Guards against reports that are lost because a short message of another type overtook
# them on the way.
def test_message_that_one_of_another_type_overtook_is_delivered() -> None:
    transports: dict[str, InMemoryTransport] = {}
    sender = InMemoryTransport("a", transports)
    receiver = InMemoryTransport("b", transports)
    received: list[object] = []
    receiver.subscribe(Note, received.append)
    receiver.subscribe(OtherNote, received.append)
    frames = [
        sender.frame(receiver.address, message)
        for message in (Note(1), OtherNote(2), Note(3))
    ]
    for number in (1, 0, 2, 0, 1):
        receiver.deliver(frames[number])
    assert received == [OtherNote(2), Note(1), Note(3)]
    assert receiver.dropped_frames == 2


# Guards against an older report that replaces a newer one.
def test_older_message_of_the_same_type_is_dropped() -> None:
    transports: dict[str, InMemoryTransport] = {}
    sender = InMemoryTransport("a", transports)
    receiver = InMemoryTransport("b", transports)
    received: list[Note] = []
    receiver.subscribe(Note, received.append)
    frames = [sender.frame(receiver.address, Note(number)) for number in (1, 2)]
    for frame in reversed(frames):
        receiver.deliver(frame)
    assert received == [Note(2)]

"""Upstreams with older weights than they had, and refusals of the least loaded."""

import asyncio

import pytest

from banyanswitch.components.forwarding.const import (
    MAX_ENTRY_AGE_S,
    MAX_MISDIRECTED_COOLDOWN_S,
    REFUSAL_COOLDOWN_S,
)
from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.identifiers import UpstreamId
from tests.components.forwarding.fakes import (
    MODEL,
    FakeUpstream,
    Upstreams,
    record,
)
from tests.components.forwarding.instance import Instance, now_s
from tests.components.state_exchange.test_coordinator import make_nodes

pytestmark = pytest.mark.looptime
REFUSALS = {
    "421 with weights": b"HTTP/1.1 421 X\r\nWeights: 2\r\nContent-Length: 0\r\n\r\n",
    "421 without weights": b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
    "503": b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
}


def weights(upstreams: Upstreams, name: str) -> int:
    state = upstreams.registry.state(UpstreamId(name))
    assert state is not None
    return state.weight_versions[MODEL]


# Guards against requests that all go first to the upstreams that refuse them, which
# seem idle, and are refused in spite of others that are idle as well.
@pytest.mark.parametrize("interval_s", [REFUSAL_COOLDOWN_S / 2, 0.4])
@pytest.mark.parametrize("refusal", REFUSALS.values(), ids=REFUSALS)
async def test_upstreams_that_refuse_all_requests_do_not_take_them_from_others(
    refusal: bytes, interval_s: float
) -> None:
    instance = Instance()
    instance.name_target(3)
    sound = [instance.add(name, 3, response_s=600.0) for name in "cdef"]
    running = [instance.send(Repeatability.RESUMABLE_STREAM)[1] for _ in range(8)]
    await asyncio.sleep(1.0)
    for upstream in sound:
        upstream.response_s = 0.0
    refusing: list[FakeUpstream] = []
    for name in "ab":
        refusing.append(instance.add(name, 3))
        refusing[-1].raw_response = refusal
    statuses = []
    for _ in range(20):
        await asyncio.sleep(interval_s)
        reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
        await handling
        statuses.append(reply.status)
    for handling in running:
        handling.cancel()
    assert statuses.count(503) <= 1
    assert statuses.count(200) >= 19
    if b"421" in refusal:
        # The cooldown reaches its maximum after four refusals.
        tries = 4 + 20 * interval_s / MAX_MISDIRECTED_COOLDOWN_S
        assert all(len(upstream.exchanges) <= tries for upstream in refusing)


# Guards against weights that count as the newest though the upstream has older ones.
async def test_entries_that_stay_at_older_weights_are_believed() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a", version=3, sequence=1))
    await asyncio.sleep(MAX_ENTRY_AGE_S / 2)
    upstreams.put(record("a", version=2, sequence=2))
    assert weights(upstreams, "a") == 3
    await asyncio.sleep(MAX_ENTRY_AGE_S / 2)
    upstreams.put(record("a", version=2, sequence=3))
    assert weights(upstreams, "a") == 2


# Guards against weights that are never corrected since the entry, which was read soon
# after the higher ones were seen, is not written again.
@pytest.mark.parametrize("is_connected", [True, False])
async def test_entry_that_is_not_written_again_is_believed_in_the_end(
    is_connected: bool,
) -> None:
    upstreams = Upstreams()
    upstreams.mirror.is_connected = is_connected
    upstreams.put(record("a", version=1, sequence=1))
    upstreams.registry.note_weights(UpstreamId("a"), MODEL, 3)
    await asyncio.sleep(0.5)
    upstreams.put(record("a", version=2, sequence=2))
    await asyncio.sleep(MAX_ENTRY_AGE_S - 1.0)
    upstreams.registry.confirm_entries(now_s())
    assert weights(upstreams, "a") == 3
    await asyncio.sleep(1.0)
    upstreams.registry.confirm_entries(now_s())
    assert weights(upstreams, "a") == (2 if is_connected else 3)


# Guards against weights that are only known where a request has shown them, and not to
# the instance that orders loads.
async def test_fall_that_a_response_shows_is_announced() -> None:
    instance = Instance()
    announced = []
    instance.notes.on_fallen = lambda *seen: announced.append(seen)
    instance.name_target(3)
    instance.add("a", 3).raw_response = REFUSALS["421 with weights"]
    await asyncio.sleep(1.0)
    sent_at_s = now_s()
    for _ in range(2):
        _, handling = instance.send(Repeatability.ONCE)
        await handling
    assert announced == [("a", MODEL, 2, sent_at_s)]


# Guards against the weights of an entry that is read a second time in a new era.
async def test_same_entry_is_no_later_observation() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a", version=2, sequence=1))
    upstreams.registry.note_weights(UpstreamId("a"), MODEL, 3)
    await asyncio.sleep(2 * MAX_ENTRY_AGE_S)
    upstreams.begin_era(2)
    upstreams.put(record("a", version=2, sequence=1))
    assert weights(upstreams, "a") == 3


# Guards against reports from before the weights fell, and against ignoring later ones.
@pytest.mark.parametrize(("age_s", "expected"), [(1.0, 2), (0.01, 3)])
async def test_reported_weights_count_by_their_age(age_s: float, expected: int) -> None:
    first, second = make_nodes(2)
    name = UpstreamId("u")
    registry = second.upstreams.registry
    registry.note_weights(name, MODEL, 3)
    await asyncio.sleep(1.0)
    registry.note_weights(name, MODEL, 2, begun_at_s=now_s())
    await asyncio.sleep(0.5)
    first.exchange.announce_weights(name, MODEL, 3, now_s() - age_s)
    assert weights(second.upstreams, "u") == expected

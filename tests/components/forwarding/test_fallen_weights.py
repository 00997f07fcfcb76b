"""Upstreams with older weights than they had."""

import asyncio

import pytest

from banyanswitch.components.forwarding.const import (
    MAX_ENTRY_AGE_S,
)
from banyanswitch.identifiers import UpstreamId
from tests.components.forwarding.fakes import (
    MODEL,
    Upstreams,
    record,
)
from tests.components.forwarding.instance import now_s
from tests.components.state_exchange.test_coordinator import make_nodes

pytestmark = pytest.mark.looptime


def weights(upstreams: Upstreams, name: str) -> int:
    state = upstreams.registry.state(UpstreamId(name))
    assert state is not None
    return state.weight_versions[MODEL]


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

"""Prompts of many parts that wait for capacity; no network."""

import asyncio
from typing import Any

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.components.forwarding.placement import Placement
from tests.components.forwarding.fakes import SHARED_PARTS
from tests.components.forwarding.instance import Instance

pytestmark = pytest.mark.looptime
REQUESTS = 5
WAIT_S = 2.0


# Guards against prompts that are planned anew, in all their parts, at each change.
@pytest.mark.parametrize(("parts", "most"), [(1500, 60), (2, None)])
async def test_waiting_prompts_of_many_parts_are_placed_seldom(
    monkeypatch: pytest.MonkeyPatch, parts: int, most: int | None
) -> None:
    instance = Instance()
    upstream = instance.add("a", 1)
    instance.fill_memory(upstream)
    instance.queue_prefills(upstream, 1_000_000)
    places = 0
    place = Placement.place

    def count_place(*arguments: Any) -> Any:
        nonlocal places
        places += 1
        return place(*arguments)

    monkeypatch.setattr(Placement, "place", count_place)
    headers = ((SHARED_PARTS, b"p" * parts),)
    handlings = [
        instance.send(Repeatability.RESUMABLE_STREAM, headers=headers)[1]
        for _ in range(REQUESTS)
    ]
    for _ in range(int(WAIT_S / 0.005)):
        await asyncio.sleep(0.005)
        instance.upstreams.loads.on_large_prefill_change()
    if most is None:
        # Short prompts answer to changes as fast as before.
        assert places >= REQUESTS * WAIT_S / 0.03
    else:
        assert places <= most
    for handling in handlings:
        handling.cancel()
    await asyncio.gather(*handlings, return_exceptions=True)

"""Requests whose callers leave before an upstream gets them; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from tests.components.forwarding.fakes import record
from tests.components.forwarding.instance import Instance

pytestmark = pytest.mark.looptime


# Guards against work for callers who left while the process was held up.
@pytest.mark.parametrize("kind", Repeatability)
async def test_request_of_a_caller_who_has_left_is_not_sent(
    kind: Repeatability,
) -> None:
    instance = Instance()
    upstream = instance.add("a", 1)
    reply, handling = instance.send(kind)
    reply.has_caller_left = True
    await handling
    assert upstream.exchanges == []
    assert reply.is_aborted
    assert instance.upstreams.loads.total(record("a").name, 0.0).requests == 0


# Guards against a second attempt for a caller who left during the first one.
async def test_request_is_not_repeated_for_a_caller_who_has_left() -> None:
    instance = Instance()
    upstreams = [instance.add(name, 1) for name in "ab"]
    for upstream in upstreams:
        upstream.crashes, upstream.queue_s = True, 1.0
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.sleep(0.5)
    reply.has_caller_left = True
    await handling
    assert sum(len(upstream.exchanges) for upstream in upstreams) == 1

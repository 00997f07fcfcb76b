"""Slowness that upstreams report in their responses, on the request path."""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.identifiers import UpstreamId
from tests.components.forwarding.instance import Instance, now_s

pytestmark = pytest.mark.looptime


# Guards against reported figures that no part of the request path reads.
async def test_slowness_in_a_response_is_known_afterwards() -> None:
    instance = Instance()
    instance.name_target(1)
    upstream = instance.add("u", 1)
    upstream.slowness = 4.0
    _, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.wait_for(handling, 1.0)
    known = instance.upstreams.registry.slowness
    assert known.slowness(UpstreamId("u"), now_s()) == 4.0


# Guards against a reported slowness that the choice of an upstream does not get.
async def test_next_request_avoids_the_slow_upstream() -> None:
    instance = Instance()
    instance.name_target(1)
    upstreams = [instance.add(name, 1) for name in ("u", "v")]
    for upstream in upstreams:
        upstream.slowness = 4.0
    _, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.wait_for(handling, 1.0)
    slow, other = sorted(upstreams, key=lambda u: len(u.exchanges), reverse=True)
    other.slowness = 1.0
    for _ in range(5):
        _, handling = instance.send(Repeatability.REPEATABLE)
        await asyncio.wait_for(handling, 1.0)
    assert (len(slow.exchanges), len(other.exchanges)) == (1, 5)


# Guards against work that is predicted but never learned from the requests served.
async def test_work_of_served_requests_is_learned_and_counted() -> None:
    instance = Instance()
    instance.name_target(1)
    upstream = instance.add("u", 1, response_s=0.3)
    for _ in range(30):
        _, handling = instance.send(Repeatability.REPEATABLE)
        await asyncio.wait_for(handling, 1.0)
    upstream.response_s = 5.0
    _, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.sleep(0.1)
    load = instance.upstreams.loads.local(UpstreamId("u"))
    assert load.work_ms == pytest.approx(300, rel=0.1)
    handling.cancel()

"""Slowness that upstreams report in their responses, on the request path."""

import asyncio

import pytest
import structlog

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.identifiers import UpstreamId
from tests.components.forwarding.fakes import SERVICE
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


# Guards against a choice whose inputs can't be told afterwards.
async def test_inputs_of_the_choice_are_logged_and_counted() -> None:
    instance = Instance()
    instance.name_target(1)
    instance.add("u", 1, response_s=0.3).slowness = 4.0
    with structlog.testing.capture_logs() as lines:
        for _ in range(2):
            _, handling = instance.send(Repeatability.REPEATABLE)
            await asyncio.wait_for(handling, 1.0)
    placed = [line for line in lines if line["event"] == "request_placed"]
    assert [line["slowness"] for line in placed] == [1.0, pytest.approx(2.78, abs=0.01)]
    assert [line["slowness_age_s"] for line in placed] == [None, 0.3]
    assert placed[1]["work_s"] > 0.0
    assert placed[1]["work_ahead_s"] == 0.0
    assert placed[1]["is_work_learned"] is False
    metrics = instance._forwarder._metrics.render().decode()
    assert f'banyanswitch_work_ratio_count{{service="{SERVICE}"}} 2.0' in metrics
    assert f'banyanswitch_upstream_slowness_count{{service="{SERVICE}"}} 1.0' in metrics
    assert "banyanswitch_upstream_slowness_age_seconds_count 1.0" in metrics

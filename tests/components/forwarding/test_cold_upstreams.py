"""Requests with large prefills are placed past cold upstreams; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import ForwardedService, Repeatability
from banyanswitch.decisions.stable_senders import SETTLING_S
from tests.components.forwarding.fakes import SERVICE, record
from tests.components.forwarding.instance import Instance

pytestmark = pytest.mark.looptime(noop_cycles=1)


async def async_instance() -> Instance:
    instance = Instance()
    service = ForwardedService(
        name=SERVICE, max_connections=100, cold_s=3.0, cold_per_s=13.0
    )
    instance.upstreams.services[SERVICE] = service
    instance.upstreams.registry.limits.report(3.0)
    await asyncio.sleep(SETTLING_S + 1.0)
    return instance


def make_cold(instance: Instance, name: str) -> None:
    entry = record(name, sequence=1, cold_remaining_s=3.0)
    instance.upstreams.put(entry)
    instance.upstreams.registry.limits.may_send(
        entry, asyncio.get_running_loop().time()
    )


# Guards against long prompts at an idle upstream that is warming up.
async def test_large_prefill_goes_to_a_busy_warm_upstream() -> None:
    instance = await async_instance()
    cold, warm = instance.add("a", 1), instance.add("b", 1)
    make_cold(instance, "a")
    instance.queue_prefills(warm, 4_000)
    await asyncio.sleep(1.0)
    reply, task = instance.send(Repeatability.REPEATABLE)
    await task
    assert reply.status == 200
    assert (len(cold.exchanges), len(warm.exchanges)) == (0, 1)
    counter = 'banyanswitch_placements_avoiding_cold_total{service="llm"} 1.0'
    assert counter in instance.metrics_text()


async def test_large_prefill_goes_to_a_cold_upstream_if_there_is_no_other() -> None:
    instance = await async_instance()
    cold = instance.add("a", 1)
    make_cold(instance, "a")
    await asyncio.sleep(1.0)
    _, task = instance.send(Repeatability.REPEATABLE)
    await task
    assert len(cold.exchanges) == 1

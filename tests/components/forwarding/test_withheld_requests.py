"""Requests that crashed upstreams reach no further one; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from tests.components.forwarding.fakes import RETRY_AFTER
from tests.components.forwarding.instance import Instance

pytestmark = pytest.mark.looptime
KINDS = (Repeatability.ONCE, Repeatability.REPEATABLE)
SETTLED_S = 1.0


async def async_break_off(instance: Instance, kind: Repeatability) -> None:
    """Let three upstreams end under requests with one content within 0.3 s."""
    for name in "abc":
        instance.add(name, 1, queue_s=0.05, crashes=True)
        _, handling = instance.send(kind, body=b"bad")
        await handling
        instance.remove(name)
    await asyncio.sleep(SETTLED_S)


# Guards against a request without a prompt that ends one upstream after the other.
@pytest.mark.parametrize("kind", KINDS)
async def test_request_that_ended_three_upstreams_is_refused(
    kind: Repeatability,
) -> None:
    instance = Instance()
    await async_break_off(instance, kind)
    upstream = instance.add("d", 1)
    refused, handling = instance.send(kind, body=b"bad")
    await handling
    assert refused.status == 503
    assert float(refused.headers[RETRY_AFTER]) > 0.0
    assert upstream.exchanges == []


# Guards against requests that are refused since another one with their path crashes.
async def test_request_with_another_body_is_served() -> None:
    instance = Instance()
    await async_break_off(instance, Repeatability.REPEATABLE)
    instance.add("d", 1)
    served, handling = instance.send(Repeatability.REPEATABLE, body=b"sound")
    await handling
    assert served.status == 200

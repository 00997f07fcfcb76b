"""Requests that crashed upstreams reach no further one; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.decisions.part_quarantine import Combination, QuarantinePolicy
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


# Guards against a sound request that is refused for an hour since its answer is an
# error, after it was under way at three upstreams that ended.
async def test_request_that_is_answered_with_an_error_is_sound() -> None:
    instance = Instance()

    permits = iter([True])

    async def async_permit(parts: Combination) -> bool:
        return next(permits, False)

    instance.quarantine.async_permit_trial = async_permit
    await async_break_off(instance, Repeatability.REPEATABLE)
    upstream = instance.add("d", 1)
    upstream.raw_response = b"HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\nno"
    await asyncio.sleep(QuarantinePolicy().first_trial_s)
    statuses = []
    for _ in range(3):
        reply, handling = instance.send(Repeatability.REPEATABLE, body=b"bad")
        await handling
        statuses.append(reply.status)
    assert statuses == [404, 404, 404]

"""Requests whose response has not come when their instance stops; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from tests.components.forwarding.fakes import RETRY_AFTER, FakeReply
from tests.components.forwarding.instance import Instance

pytestmark = pytest.mark.looptime
WORK_S = 5.0


async def async_stop_after(
    instance: Instance, wait_s: float, *, is_awaited: bool = True
) -> FakeReply:
    """Send a request, and cancel it as a stopping server does."""
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    reply.is_awaited = is_awaited
    await asyncio.sleep(wait_s)
    handling.cancel()
    with pytest.raises(asyncio.CancelledError):
        await handling
    return reply


# Guards against requests that end without an answer, and against a false "not run".
async def test_request_at_an_upstream_is_answered_with_an_unknown_outcome() -> None:
    instance = Instance()
    instance.add("a", 1, queue_s=WORK_S)
    reply = await async_stop_after(instance, 1.0)
    assert (reply.status, reply.is_aborted, reply.is_declined) == (502, False, False)
    assert RETRY_AFTER not in reply.headers


async def test_request_that_waits_is_answered_as_not_run() -> None:
    instance = Instance()
    upstream = instance.add("a", 1)
    instance.fill_memory(upstream)
    instance.queue_prefills(upstream, 1_000_000)
    reply = await async_stop_after(instance, 0.1)
    assert (reply.status, reply.is_declined) == (503, True)
    assert float(reply.headers[RETRY_AFTER]) == 0.0
    assert not upstream.exchanges


# Guards against a broken stream that appears complete.
async def test_stream_that_has_begun_is_aborted() -> None:
    instance = Instance()
    instance.add("a", 1, response_s=WORK_S)
    reply = await async_stop_after(instance, 1.0)
    assert reply.is_aborted
    assert reply.status == 200


async def test_caller_that_has_left_gets_nothing() -> None:
    instance = Instance()
    instance.add("a", 1, queue_s=WORK_S)
    reply = await async_stop_after(instance, 1.0, is_awaited=False)
    assert (reply.status, reply.is_aborted) == (None, False)

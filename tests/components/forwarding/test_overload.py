"""Requests with a large prefill while all upstreams are overloaded; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.const import (
    MAX_QUEUE_WAIT_S,
    MAX_RETRY_AFTER_SHARE,
)
from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.decisions.stream_resumption import StreamOrigin
from tests.components.forwarding.fakes import (
    LAST_EVENT,
    RESUMES,
    RETRY_AFTER,
    SERVICE,
)
from tests.components.forwarding.instance import Instance, now_s

pytestmark = pytest.mark.looptime


def make_overloaded() -> Instance:
    instance = Instance()
    instance.name_target(1)
    upstream = instance.add("u", 1, queue_s=0.5)
    instance.queue_prefills(upstream, 60_000)
    return instance


async def keep_overloaded(instance: Instance) -> None:
    upstream = next(iter(instance._pool.upstreams.values()))
    while True:
        instance.queue_prefills(upstream, 60_000)
        await asyncio.sleep(0.5)


# Guards against work for callers who leave before the first event.
@pytest.mark.parametrize("repeatability", list(Repeatability))
async def test_request_is_refused_after_its_wait_and_not_sent(
    repeatability: Repeatability,
) -> None:
    overloaded = make_overloaded()
    load = asyncio.create_task(keep_overloaded(overloaded))
    began_at_s = now_s()
    reply, handling = overloaded.send(repeatability, time_left_s=10.0)
    await handling
    load.cancel()
    assert reply.status == 503
    assert now_s() - began_at_s == pytest.approx(MAX_QUEUE_WAIT_S, abs=0.1)
    left_s = 10.0 - MAX_QUEUE_WAIT_S
    assert 0.0 < float(reply.headers[RETRY_AFTER]) <= MAX_RETRY_AFTER_SHARE * left_s
    assert all(not u.exchanges for u in overloaded._pool.upstreams.values())


# Guards against streams that are lost midway, whose first part the caller has.
async def test_stream_that_its_caller_takes_up_is_sent_all_the_same() -> None:
    overloaded = make_overloaded()
    load = asyncio.create_task(keep_overloaded(overloaded))
    overloaded.origins.note(b"a0", StreamOrigin(SERVICE, "v1"))
    headers = [(LAST_EVENT.lower(), b"1"), (RESUMES, b"a0")]
    reply, handling = overloaded.send(
        Repeatability.RESUMABLE_STREAM, time_left_s=10.0, headers=headers
    )
    await handling
    load.cancel()
    assert reply.status == 200


async def test_request_is_sent_as_soon_as_there_is_room() -> None:
    """The other instances' reports expire after 1.5 s."""
    overloaded = make_overloaded()
    reply, handling = overloaded.send(Repeatability.REPEATABLE, time_left_s=10.0)
    await handling
    assert reply.status == 200

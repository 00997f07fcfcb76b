"""Late second answers to polls of loads.

The tests use sockets, since the HTTP library reads from its own transports.
"""

import asyncio
import json

import aiohttp
import pytest

from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.upstream_load.poller import HttpLoadPoller
from banyanswitch.config.models import Upstream
from banyanswitch.identifiers import FailureDomainId, ServiceName, UpstreamId
from tests.fakes.second_answers import (
    PAUSE_S,
    Arrival,
    TwiceAnsweringUpstream,
    make_answer,
)


def make_load(*, is_leaving: bool) -> bytes:
    load = {
        "upstream": "u",
        "running_requests": 0,
        "queued_requests": 0,
        "queued_prefill_tokens": 0,
        "is_leaving": is_leaving,
    }
    return make_answer(json.dumps(load).encode())


# Guards against a former load that is stored as a new one.
@pytest.mark.parametrize("arrival", Arrival)
async def test_load_is_not_that_of_a_late_second_answer(arrival: Arrival) -> None:
    before, now = make_load(is_leaving=False), make_load(is_leaving=True)
    async with (
        TwiceAnsweringUpstream([before, now], before, arrival) as url,
        aiohttp.ClientSession(connector=LimitedConnector()) as session,
    ):
        poller = HttpLoadPoller(session)
        upstream = Upstream(
            name=UpstreamId("u"),
            service=ServiceName("chat"),
            url=url,
            failure_domain=FailureDomainId("d"),
        )
        assert not (await poller.async_poll(upstream, 0.0)).is_leaving
        await asyncio.sleep(3 * PAUSE_S)
        assert (await poller.async_poll(upstream, 1.0)).is_leaving

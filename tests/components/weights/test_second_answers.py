"""Late second answers to load orders.

The tests use sockets, since the HTTP library reads from its own transports.
"""

import asyncio
import time

import aiohttp
import pytest

from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.weights.models import LoadOrder, OrderResult
from banyanswitch.components.weights.order_sender import HttpOrderSender
from banyanswitch.identifiers import InstanceId, UpstreamId, WeightVersion
from tests.fakes.second_answers import (
    PAUSE_S,
    Arrival,
    TwiceAnsweringUpstream,
    make_answer,
)

TIMEOUT_S = 1.0
ACCEPTED = make_answer(status="202 Accepted")
STALE = make_answer(status="409 Conflict")


# Guards against an order of a lapsed lease that is taken for an accepted one.
@pytest.mark.parametrize("arrival", Arrival)
async def test_order_is_not_accepted_by_a_late_second_answer(arrival: Arrival) -> None:
    upstream = TwiceAnsweringUpstream([ACCEPTED, STALE], ACCEPTED, arrival)
    order = LoadOrder(UpstreamId("u"), WeightVersion("v2"), 5, time.time() + 60.0)
    async with (
        upstream as url,
        aiohttp.ClientSession(connector=LimitedConnector()) as session,
    ):
        sender = HttpOrderSender(session, InstanceId("i1"))
        assert await sender.async_send(url, order, TIMEOUT_S) is OrderResult.ACCEPTED
        await asyncio.sleep(3 * PAUSE_S)
        result = await sender.async_send(url, order, TIMEOUT_S)
    assert result is OrderResult.STALE_FENCING_TOKEN

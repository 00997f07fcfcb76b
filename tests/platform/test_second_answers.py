"""Calls to model servers and KV stores that answer twice, the second time late.

No answer to these calls names its request.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from banyanswitch.components.forwarding.protocols import LoadOrder
from banyanswitch.components.http1.client import HttpClient
from banyanswitch.exceptions import FencedError
from banyanswitch.identifiers import UpstreamId
from banyanswitch.platform.engines import PlatformEngines
from tests.fakes.http1 import encode_response
from tests.fakes.stuttering import (
    PAUSE_S,
    Cut,
    StutteringPool,
    cut_at,
    in_one_read,
    own_in_a_later_read,
)

pytestmark = pytest.mark.looptime
ADDRESS = "u:1"
REPORT = encode_response(200, b'{"sequence":3,"busy":false,"models":[]}')
EVENTS = encode_response(
    200, b'{"bootEpoch":7,"next":4,"lost":true,"events":[[4,"-","s","b",0,"m"]]}'
)
PART_LIST = encode_response(
    200, b'{"bootEpoch":7,"next":5,"held":[["s","a",16,"m"]],"partialEntries":[]}'
)
SECOND_ANSWERS = [REPORT, EVENTS, encode_response(202), encode_response(200)]
CUTS: list[Cut] = [
    in_one_read,
    own_in_a_later_read,
    *(cut_at(number) for number in range(1, max(map(len, SECOND_ANSWERS)) + 40)),
]
Call = Callable[[PlatformEngines], Awaitable[object]]


async def async_order(engines: PlatformEngines) -> bool:
    order = LoadOrder(
        upstream=UpstreamId("u"),
        model="m",
        version=2,
        holder="n",
        fencing_token=1,
        orders_accepted=3,
        send_by_s=lambda: float("inf"),
    )
    return await engines.async_order_load(ADDRESS, order)


async def async_free(engines: PlatformEngines) -> bool:
    return await engines.async_free(ADDRESS, 7, [("s", "b")], lambda: float("inf"))


async def async_after(
    earlier: Call, earlier_answer: bytes, own: bytes, cut: Cut
) -> PlatformEngines:
    """Return a client after a call whose second answer comes with the next answer."""
    answers = [earlier_answer, own]
    engines = PlatformEngines(
        HttpClient(StutteringPool(lambda _request: answers.pop(0), cut))
    )
    await earlier(engines)
    await asyncio.sleep(3 * PAUSE_S)
    return engines


EARLIER = {
    "report": (lambda engines: engines.async_report(ADDRESS), REPORT),
    "events": (lambda engines: engines.async_events(ADDRESS, 7, 3, 1.0), EVENTS),
    "order": (async_order, encode_response(202)),
    "free": (async_free, encode_response(200)),
}


# Guards against an order that counts as accepted by the second answer to another call.
@pytest.mark.parametrize("earlier", ["report", "order"])
async def test_refused_order_is_not_accepted_by_a_second_answer(earlier: str) -> None:
    for cut in CUTS:
        engines = await async_after(*EARLIER[earlier], encode_response(409), cut)
        assert not await async_order(engines)


# Guards against a holder that never learns that it was fenced off.
@pytest.mark.parametrize("earlier", ["report", "order"])
async def test_fenced_order_is_not_accepted_by_a_second_answer(earlier: str) -> None:
    for cut in CUTS:
        engines = await async_after(*EARLIER[earlier], encode_response(412), cut)
        with pytest.raises(FencedError):
            await async_order(engines)


# Guards against parts that stay in a store but are taken for freed.
@pytest.mark.parametrize("earlier", ["events", "free"])
async def test_refused_free_is_not_accepted_by_a_second_answer(earlier: str) -> None:
    for cut in CUTS:
        engines = await async_after(*EARLIER[earlier], encode_response(409), cut)
        assert not await async_free(engines)


# Guards against a store that is taken for empty, as events contain no list.
@pytest.mark.parametrize("earlier", ["events", "free"])
async def test_list_is_not_that_of_a_second_answer(earlier: str) -> None:
    for cut in CUTS:
        engines = await async_after(*EARLIER[earlier], PART_LIST, cut)
        listed = await engines.async_list(ADDRESS)
        assert [event.part for event in listed.events] == ["a"]


# Guards against reports that are lost after each order.
async def test_report_is_not_the_second_answer_to_an_order() -> None:
    for cut in CUTS:
        engines = await async_after(*EARLIER["order"], REPORT, cut)
        assert (await engines.async_report(ADDRESS)).orders_accepted == 3


def respond_with_events(request: bytes) -> bytes:
    """Return one event after the number in the request."""
    number = int(request.split(b"since=")[1].split(b" ")[0]) + 1
    return encode_response(
        200,
        b'{"bootEpoch":7,"next":%d,"lost":false,"events":[[%d,"+","s","p%d",16,"m"]]}'
        % (number, number, number),
    )


# Guards against events that are applied twice, or go to a later call than their own.
async def test_events_are_not_those_of_a_second_answer() -> None:
    for cut in CUTS:
        pool = StutteringPool(respond_with_events, cut)
        engines = PlatformEngines(HttpClient(pool))
        for since in range(4):
            found = await engines.async_events(ADDRESS, 7, since, 1.0)
            assert found.next_event == since + 1
            assert [event.part for event in found.events] == [f"p{since + 1}"]


# Guards against a restart of the store that is taken for a second answer, and missed.
async def test_events_of_a_later_epoch_are_returned() -> None:
    events = encode_response(200, b'{"bootEpoch":8,"next":0,"lost":false,"events":[]}')
    pool = StutteringPool(lambda _request: events, in_one_read)
    found = await PlatformEngines(HttpClient(pool)).async_events(ADDRESS, 7, 4, 1.0)
    assert (found.epoch, len(pool.sent)) == (8, 1)


# Guards against calls without end to a store whose numbers go back.
async def test_events_that_go_back_are_requested_twice_at_most() -> None:
    pool = StutteringPool(lambda _request: EVENTS, lambda _second, own: (own,))
    engines = PlatformEngines(HttpClient(pool))
    found = await engines.async_events(ADDRESS, 7, 9, 1.0)
    assert (found.next_event, len(pool.sent)) == (4, 2)

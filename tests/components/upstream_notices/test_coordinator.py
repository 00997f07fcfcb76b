"""Rests and departures that upstreams announce."""

import asyncio
from dataclasses import replace

import pytest

from banyanswitch.components.upstream_notices.coordinator import (
    MAX_NOTICES,
    UpstreamNotices,
)
from banyanswitch.decisions.upstream_notices import ResponseNotice
from tests.components.forwarding.fakes import Upstreams, record
from tests.components.forwarding.instance import SERVICE

pytestmark = pytest.mark.looptime
REST = ResponseNotice(status=503, retry_after_s=3.0)
LEAVING = ResponseNotice(status=200, is_leaving=True)


def may_send(notices: UpstreamNotices, name: str = "a") -> bool:
    now_s = asyncio.get_running_loop().time()
    return notices.may_send(record(name), now_s)


async def test_upstream_rests_for_as_long_as_it_asked() -> None:
    notices = UpstreamNotices()
    notices.note_response(record("a"), REST)
    assert not may_send(notices)
    assert may_send(notices, "b")
    await asyncio.sleep(2.9)
    assert not may_send(notices)
    await asyncio.sleep(0.2)
    assert may_send(notices)


# Guards against a rest that ends with the answer to a request sent before it.
@pytest.mark.parametrize(
    "later",
    [
        ResponseNotice(status=200),
        ResponseNotice(status=503, retry_after_s=0.1),
        ResponseNotice(status=503),
        ResponseNotice(status=200, retry_after_s=9.0),
    ],
)
async def test_later_responses_neither_shorten_nor_extend_a_rest(
    later: ResponseNotice,
) -> None:
    notices = UpstreamNotices()
    notices.note_response(record("a"), REST)
    notices.note_response(record("a"), later)
    await asyncio.sleep(2.9)
    assert not may_send(notices)
    await asyncio.sleep(0.2)
    assert may_send(notices)


async def test_longer_rest_extends_a_rest() -> None:
    notices = UpstreamNotices()
    notices.note_response(record("a"), REST)
    await asyncio.sleep(1.0)
    notices.note_response(record("a"), REST)
    await asyncio.sleep(2.9)
    assert not may_send(notices)


# Guards against requests to an upstream that has said in any response that it leaves.
async def test_leaving_upstream_gets_nothing_until_it_starts_again() -> None:
    notices = UpstreamNotices()
    notices.note_response(record("a"), LEAVING)
    notices.note_response(record("a"), ResponseNotice(status=200))
    await asyncio.sleep(600.0)
    assert not may_send(notices)
    now_s = asyncio.get_running_loop().time()
    started = replace(record("a"), started_at_ms=record("a").started_at_ms + 1)
    assert notices.may_send(started, now_s)


async def test_registry_offers_no_leaving_upstream_after_its_entry_returned() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a"))
    upstreams.registry.note_notice_at(record("a").address, LEAVING)
    assert upstreams.registry.accepting(SERVICE, 0.0) == []
    upstreams.remove("a")
    upstreams.put(record("a"))
    assert upstreams.registry.accepting(SERVICE, 0.0) == []


async def test_notices_are_bounded() -> None:
    notices = UpstreamNotices()
    for number in range(MAX_NOTICES + 10):
        notices.note_response(record(f"u{number}"), REST)
    assert len(notices._notices) == MAX_NOTICES

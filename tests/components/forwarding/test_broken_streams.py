"""Streams that end inside an event are never completed; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from tests.components.forwarding.fakes import EVENTS
from tests.components.forwarding.instance import Instance

pytestmark = pytest.mark.looptime
FRAMINGS = pytest.mark.parametrize("is_unframed", [True, False], ids=["end", "chunks"])


# Guards against a broken stream without a length that reaches its caller as complete.
@FRAMINGS
async def test_stream_that_ends_inside_an_event_is_not_completed(
    is_unframed: bool,
) -> None:
    instance = Instance()
    instance.add("a", 1, is_unframed=is_unframed, breaks_off=True)
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await handling
    assert reply.is_aborted
    assert reply.body == b"id: 1\ndata: a\n\n"


# Guards against a lost rest of a broken stream that another upstream can continue.
@FRAMINGS
async def test_stream_that_ends_inside_an_event_is_resumed(is_unframed: bool) -> None:
    instance = Instance()
    broken = instance.add(
        "a", 1, response_s=1.0, is_unframed=is_unframed, breaks_off=True
    )
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await asyncio.sleep(0.5)
    other = instance.add("b", 1, is_unframed=is_unframed)
    await handling
    assert len(broken.exchanges) == 1
    assert len(other.exchanges) == 1
    assert not reply.is_aborted
    assert reply.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


# Guards against the failure of complete streams that have no length and no chunks.
async def test_stream_without_a_length_is_complete_after_its_last_event() -> None:
    instance = Instance()
    instance.add("a", 1, is_unframed=True)
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await handling
    assert not reply.is_aborted
    assert reply.body.count(b"id: ") == EVENTS

"""Streams that end inside an event are never completed; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.components.http1.models import BodyFraming
from tests.components.forwarding.fakes import EVENTS
from tests.components.forwarding.instance import Instance

pytestmark = pytest.mark.looptime
TEXT = b"the text of an error\n\n"
NEXT_ANSWERS = {
    "error": b"HTTP/1.1 500 X\r\nContent-Length: 22\r\n\r\n" + TEXT,
    "not_found": b"HTTP/1.1 404 X\r\nContent-Length: 22\r\n\r\n" + TEXT,
    "refusal": b"HTTP/1.1 503 X\r\nContent-Length: 22\r\n\r\n" + TEXT,
    "not_run": b"HTTP/1.1 503 X\r\nnot-run: 1\r\nContent-Length: 22\r\n\r\n" + TEXT,
    "no_content": b"HTTP/1.1 204 X\r\n\r\n",
    "part": b"HTTP/1.1 206 X\r\nContent-Length: 22\r\n\r\n" + TEXT,
    "redirect": b"HTTP/1.1 302 X\r\nContent-Length: 22\r\n\r\n" + TEXT,
    "plain_text": b"HTTP/1.1 200 X\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 22\r\n\r\n" + TEXT,
    "whole_head": b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n"
    b"HTTP/1.1 500 X\r\nattempt-id: a1\r\n\r\n" + TEXT,
    "no_head": TEXT,
    "half_a_head": b"HTTP/1.1 500 Int",
    "nothing": b"",
}
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


# Guards against the text or the head of an error in the middle of a stream, and against
# a stream that appears complete after an error.
@pytest.mark.parametrize("answer", NEXT_ANSWERS.values(), ids=NEXT_ANSWERS)
@FRAMINGS
async def test_error_of_the_next_upstream_is_no_part_of_a_stream(
    is_unframed: bool, answer: bytes
) -> None:
    instance = Instance()
    instance.add("a", 1, response_s=1.0, is_unframed=is_unframed, breaks_off=True)
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await asyncio.sleep(0.5)
    other = instance.add("b", 1)
    other.raw_response = answer
    await handling
    assert len(other.exchanges) == 1
    assert reply.body == b"id: 1\ndata: a\n\n"
    assert reply.is_aborted


# Guards against a last chunk behind a response that has no body.
async def test_response_without_a_body_is_no_stream() -> None:
    instance = Instance()
    instance.add("a", 1).raw_response = b"HTTP/1.1 204 X\r\n\r\n"
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await handling
    assert (reply.status, reply.framing) == (204, BodyFraming.LENGTH)

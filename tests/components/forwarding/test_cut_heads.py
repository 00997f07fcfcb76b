"""Upstreams that stop in the middle of the head of their response; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from tests.components.forwarding.instance import Instance
from tests.fakes.cut_heads import HEADS, cuts

pytestmark = pytest.mark.looptime
STEP_BYTES = 5
FRAMINGS = pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
ENDS = pytest.mark.parametrize("resets", [False, True], ids=["end", "reset"])


# Guards against a response that no upstream gave, or one that appears complete.
@FRAMINGS
@ENDS
@pytest.mark.parametrize("kind", Repeatability)
async def test_request_gets_no_response_of_an_upstream(
    head: bytes, resets: bool, kind: Repeatability
) -> None:
    for cut in cuts(head, STEP_BYTES):
        instance = Instance()
        upstreams = [instance.add(name, 1) for name in "ab"]
        for upstream in upstreams:
            upstream.raw_response, upstream.resets = cut, resets
        reply, handling = instance.send(kind)
        await handling
        assert (reply.status, reply.body) == (502, b"")
        tries = 1 if kind is Repeatability.ONCE else 2
        assert sum(len(upstream.exchanges) for upstream in upstreams) == tries


# Guards against a stream that is joined with the beginning of a head, or ends with it.
@FRAMINGS
@ENDS
@pytest.mark.parametrize("is_unframed", [False, True], ids=["chunks", "unframed"])
async def test_resumed_stream_does_not_end_with_a_cut_head(
    head: bytes, resets: bool, is_unframed: bool
) -> None:
    for cut in cuts(head, STEP_BYTES):
        instance = Instance()
        instance.add("a", 1, response_s=1.0, is_unframed=is_unframed, breaks_off=True)
        reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
        await asyncio.sleep(0.5)
        other = instance.add("b", 1)
        other.raw_response, other.resets = cut, resets
        await handling
        assert len(other.exchanges) == 1
        assert reply.body == b"id: 1\ndata: a\n\n"
        assert reply.is_aborted

"""Answers that break off before a second answer on their connection; no network."""

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from tests.components.forwarding.scripted_connections import (
    PAUSE_S,
    Exchange,
    async_send,
    with_chunks,
    with_length,
)

pytestmark = pytest.mark.looptime
EVENTS = b"id: 1\ndata: own\n\nid: 2\ndata: own\n\n" * 5
PROMPT_ANSWER_S = 1.0
"""Time within which a request must be answered that nothing delays."""
KINDS = pytest.mark.parametrize(
    "kind", [Repeatability.REPEATABLE, Repeatability.RESUMABLE_STREAM]
)
FRAMINGS = pytest.mark.parametrize(
    "is_chunked", [False, True], ids=["length", "chunks"]
)


# Guards against a body that is filled up to its length, or to that of a chunk, with a
# second answer, because its upstream broke it off and kept the connection.
@KINDS
@FRAMINGS
@pytest.mark.parametrize("attempt", [b"r0", b"r1"], ids=["foreign", "own"])
async def test_body_filled_up_with_a_second_answer(
    kind: Repeatability, attempt: bytes, is_chunked: bool
) -> None:
    encode = with_chunks if is_chunked else with_length
    own = encode(b"r1", EVENTS)
    for cut in range(own.index(b"\r\n\r\n") + 4, len(own)):
        reads = [own[:cut], with_length(attempt, b"id: 1\ndata: other\n\n" * 9)]
        exchanges = [Exchange(reads, PAUSE_S, ends=True)]
        (reply,), last_s, _ = await async_send(exchanges, kind, [b"r1"])
        is_success = reply.status == 200 and not reply.is_aborted
        assert not is_success or reply.body == EVENTS, cut
        assert reply.status == 502 or EVENTS.startswith(reply.body), cut
        assert last_s < PROMPT_ANSWER_S


# Guards against an own answer that is taken for the rest of a late second answer that
# broke off, while the request waits.
@KINDS
@FRAMINGS
async def test_late_second_answer_that_broke_off(
    kind: Repeatability, is_chunked: bool
) -> None:
    encode = with_chunks if is_chunked else with_length
    late = encode(b"r1", EVENTS * 3)
    for cut in range(late.index(b"\r\n\r\n") + 4, len(late), 7):
        exchanges = [
            Exchange([with_length(b"r1", EVENTS)]),
            Exchange([late[:cut] + with_length(b"r2", EVENTS)]),
        ]
        replies, last_s, _ = await async_send(exchanges, kind, [b"r1", b"r2"])
        assert replies[1].status == 502 or replies[1].body == EVENTS, cut
        assert last_s < PROMPT_ANSWER_S


# Guards against the failure of whole bodies that only look like a second answer.
@pytest.mark.parametrize(
    "body", [b"ends with H", b"HTTP/1.1", b"H", b"HTTP/1.1 200 OK\r\n\r\nquoted"]
)
async def test_body_that_looks_like_a_second_answer(body: bytes) -> None:
    exchanges = [Exchange([with_length(b"r1", body)])]
    (reply,), _, _ = await async_send(exchanges, Repeatability.REPEATABLE, [b"r1"])
    assert (reply.status, reply.body) == (200, body)


# Guards against the loss of a whole body because other bytes follow it.
async def test_whole_body_before_bytes_that_are_no_answer() -> None:
    exchanges = [Exchange([with_length(b"r1", EVENTS) + b"no answer"])]
    (reply,), _, _ = await async_send(exchanges, Repeatability.REPEATABLE, [b"r1"])
    assert (reply.status, reply.body) == (200, EVENTS)

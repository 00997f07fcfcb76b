"""Upstreams that answer a request twice, the second time late; no network."""

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from tests.components.forwarding.scripted_connections import (
    PAUSE_S,
    Exchange,
    async_send,
    until_close,
    with_chunks,
    with_length,
)

pytestmark = pytest.mark.looptime
PROMPT_ANSWER_S = 1.0
"""Time within which a request must be answered that nothing delays."""
EVENTS = b"id: 1\ndata: own\n\nid: 2\ndata: own\n\n"
EARLIER_EVENTS = b"id: 1\ndata: earlier\n\nid: 2\ndata: earlier\n\n"
KINDS = pytest.mark.parametrize(
    "kind", [Repeatability.REPEATABLE, Repeatability.RESUMABLE_STREAM]
)
FRAMINGS = pytest.mark.parametrize(
    "is_chunked", [False, True], ids=["length", "chunks"]
)


# Guards against an own answer that is lost or mixed because a late second answer to the
# request before it arrives in front of it, however the bytes of both are cut.
@FRAMINGS
@pytest.mark.parametrize("pause_s", [None, PAUSE_S], ids=["at_once", "reader_between"])
@KINDS
async def test_own_answer_behind_a_late_second_answer(
    kind: Repeatability, pause_s: float | None, is_chunked: bool
) -> None:
    encode = with_chunks if is_chunked else with_length
    late = encode(b"r1", EARLIER_EVENTS)
    data = late + encode(b"r2", EVENTS)
    for cut in range(1, len(data)):
        exchanges = [
            Exchange([encode(b"r1", EARLIER_EVENTS)]),
            Exchange([data[:cut], data[cut:]], pause_s),
        ]
        replies, last_s, _ = await async_send(exchanges, kind, [b"r1", b"r2"])
        assert replies[0].body == EARLIER_EVENTS
        assert (replies[1].status, replies[1].body) == (200, EVENTS), cut
        assert last_s < PROMPT_ANSWER_S


# Guards against further requests on a connection whose upstream answers twice.
async def test_connection_with_a_second_answer_carries_no_further_request() -> None:
    exchanges = [
        Exchange([with_length(b"r1", EVENTS)]),
        Exchange([with_length(b"r1", EVENTS) + with_length(b"r2", EVENTS)]),
        Exchange([with_length(b"r2", EVENTS)]),
    ]
    attempts = [b"r1", b"r2", b"r1"]
    replies, _, pool = await async_send(exchanges, Repeatability.REPEATABLE, attempts)
    assert [reply.status for reply in replies] == [200, 200, 200]
    assert pool.opened_count == 2


# Guards against a request that waits for its deadline behind a second answer whose end
# is the end of the connection.
@KINDS
async def test_second_answer_without_an_end_fails_the_request_at_once(
    kind: Repeatability,
) -> None:
    late = until_close(b"r1", EARLIER_EVENTS)
    exchanges = [
        Exchange([with_length(b"r1", EARLIER_EVENTS)]),
        Exchange([late + with_length(b"r2", EVENTS)]),
    ]
    replies, last_s, _ = await async_send(exchanges, kind, [b"r1", b"r2"])
    assert replies[1].status == 502
    assert last_s < PROMPT_ANSWER_S


# Guards against a second answer without an identifier that is taken for the own one.
@KINDS
async def test_answer_without_an_identifier_on_a_kept_connection(
    kind: Repeatability,
) -> None:
    late = with_length(b"r1", EARLIER_EVENTS).replace(b"attempt-id: r1\r\n", b"")
    exchanges = [
        Exchange([with_length(b"r1", EARLIER_EVENTS)]),
        Exchange([late + with_length(b"r2", EVENTS)]),
    ]
    replies, last_s, _ = await async_send(exchanges, kind, [b"r1", b"r2"])
    assert replies[1].status == 502
    assert last_s < PROMPT_ANSWER_S


# Guards against the failure of upstreams that send no identifiers.
async def test_answer_without_an_identifier_to_the_first_request() -> None:
    answer = with_length(b"r1", EVENTS).replace(b"attempt-id: r1\r\n", b"")
    exchanges = [Exchange([answer])]
    (reply,), _, _ = await async_send(exchanges, Repeatability.REPEATABLE, [b"r1"])
    assert (reply.status, reply.body) == (200, EVENTS)


# Guards against a connection that stops reading for good inside a long second answer.
async def test_own_answer_behind_a_long_second_answer() -> None:
    late = with_length(b"r1", b"earlier " * 100_000)
    reads = [late[start : start + 65_536] for start in range(0, len(late), 65_536)]
    exchanges = [
        Exchange([with_length(b"r1", EARLIER_EVENTS)]),
        Exchange([*reads, with_length(b"r2", EVENTS)], pause_s=None),
    ]
    replies, last_s, _ = await async_send(
        exchanges, Repeatability.REPEATABLE, [b"r1", b"r2"]
    )
    assert (replies[1].status, replies[1].body) == (200, EVENTS)
    assert last_s < PROMPT_ANSWER_S

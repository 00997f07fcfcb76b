"""Bodies that end with their connection, before a second answer; no network."""

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from tests.components.forwarding.scripted_connections import (
    PAUSE_S,
    Exchange,
    async_send,
    until_close,
    with_length,
)

pytestmark = pytest.mark.looptime
EVENTS = b"id: 1\ndata: own\n\nid: 2\ndata: own\n\n"
EARLIER_EVENTS = b"id: 1\ndata: earlier\n\nid: 2\ndata: earlier\n\n"
KINDS = pytest.mark.parametrize(
    "kind", [Repeatability.REPEATABLE, Repeatability.RESUMABLE_STREAM]
)


# Guards against a body that contains the answer to another request, or a second answer
# to its own, because the body has no length and ends with its connection.
@pytest.mark.parametrize("attempt", [b"r0", b"r1"], ids=["foreign", "own"])
@pytest.mark.parametrize("pause_s", [None, PAUSE_S], ids=["at_once", "reader_between"])
@KINDS
async def test_body_without_length_before_a_second_answer(
    kind: Repeatability, pause_s: float | None, attempt: bytes
) -> None:
    own = until_close(b"r1", EVENTS)
    second = with_length(attempt, EARLIER_EVENTS)
    for cut in range(1, len(second) + 1):
        reads = [own, second[:cut]]
        exchanges = [Exchange(reads, pause_s, ends=True)]
        (reply,), _, _ = await async_send(exchanges, kind, [b"r1"])
        is_success = reply.status == 200 and not reply.is_aborted
        assert not is_success or reply.body == EVENTS, cut
        assert reply.status == 502 or EVENTS.startswith(reply.body), cut


# Guards against the failure of bodies without a length that are whole.
@KINDS
async def test_body_without_length_is_delivered(kind: Repeatability) -> None:
    own = until_close(b"r1", EVENTS)
    for cut in range(1, len(own)):
        exchanges = [Exchange([own[:cut], own[cut:]], ends=True)]
        (reply,), _, _ = await async_send(exchanges, kind, [b"r1"])
        assert (reply.status, reply.body, reply.is_aborted) == (200, EVENTS, False)

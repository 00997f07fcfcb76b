"""Upstreams that write an earlier refusal once more on a kept connection; no network.

The connection carries a request that is refused, and would carry a second send of the
same attempt, whose response can't be told from the refusal by its identifier.
"""

import asyncio
from collections.abc import Sequence

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.components.http1.const import DEFAULT_MAX_IDLE_S
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from tests.components.forwarding.fakes import ATTEMPT, FakeReply, record
from tests.components.forwarding.instance import Instance
from tests.components.forwarding.scripted_connections import (
    PAUSE_S,
    Exchange,
    ScriptedPool,
    with_length,
)

pytestmark = pytest.mark.looptime
EVENTS = b"id: 1\ndata: own\n\nid: 2\ndata: own\n\n"
OTHER = b"other"
Reads = tuple[bytes, ...]
KINDS = pytest.mark.parametrize("kind", list(Repeatability))
STATUSES = pytest.mark.parametrize("status", [408, 421, 429, 503])


def refusal(attempt: bytes | None, status: int = 503) -> bytes:
    name = b"" if attempt is None else b"attempt-id: %b\r\n" % attempt
    return b"HTTP/1.1 %d Refused\r\n%bnot-run: 1\r\nContent-Length: 2\r\n\r\nno" % (
        status,
        name,
    )


def answer(attempt: bytes) -> bytes:
    return with_length(attempt, EVENTS)


class Pool(ScriptedPool):
    """Pool whose connections answer by a script of their own each."""

    def __init__(self, connections: Sequence[Sequence[Reads]]) -> None:
        super().__init__([])
        self._scripts = iter(connections)

    async def async_acquire(
        self, address: str, *, max_idle_s: float = DEFAULT_MAX_IDLE_S
    ) -> UpstreamConnection:
        if not self.has_idle(address):
            self._exchanges = [Exchange(reads) for reads in next(self._scripts)]
        return await super().async_acquire(address, max_idle_s=max_idle_s)


class Fleet:
    """Instance in front of one upstream.

    Parameters
    ----------
    connections : sequence of sequence of tuple of bytes
        For each connection and each request on it, the reads of the response.
    """

    def __init__(self, *connections: Sequence[Reads]) -> None:
        self.pool = Pool(connections)
        self._instance = Instance(self.pool)
        self._instance.upstreams.put(record("a"))

    async def async_send(self, kind: Repeatability, attempt: bytes) -> FakeReply:
        reply, handling = self._instance.send(kind, headers=((ATTEMPT, attempt),))
        await handling
        await asyncio.sleep(2 * PAUSE_S)
        return reply

    def idle(self) -> int:
        return int(self.pool.has_idle("a:1"))


# Guards against "not run" for a request that runs: its earlier refusal, written once
# more where its answer is expected, names the same attempt.
@STATUSES
@KINDS
async def test_second_send_of_an_attempt_does_not_meet_its_earlier_refusal(
    kind: Repeatability, status: int
) -> None:
    earlier, own = refusal(b"r1", status), answer(b"r1")
    fleet = Fleet([(earlier,), (earlier, own)], [(own,)])
    replies = [await fleet.async_send(kind, b"r1") for _ in range(2)]
    assert [reply.status for reply in replies] == [503, 200]
    assert replies[1].body == EVENTS


# Guards against a refusal written once more under the name of the next request, or
# under none, which is taken for its answer or costs it its answer.
@pytest.mark.parametrize("named", [b"r1", b"r2", OTHER, None])
@KINDS
async def test_next_request_does_not_meet_an_earlier_refusal(
    kind: Repeatability, named: bytes | None
) -> None:
    own = answer(b"r2")
    fleet = Fleet([(refusal(b"r1"),), (refusal(named), own)], [(own,)])
    replies = [await fleet.async_send(kind, attempt) for attempt in (b"r1", b"r2")]
    assert [reply.status for reply in replies] == [503, 200]


# Guards against the use of a connection on which a refusal was written twice at once.
@pytest.mark.parametrize("named", [b"r1", b"r2", OTHER, None])
@pytest.mark.parametrize("is_one_read", [True, False])
@KINDS
async def test_refusal_that_is_written_twice_at_once(
    kind: Repeatability, named: bytes | None, is_one_read: bool
) -> None:
    reads = (refusal(b"r1"), refusal(named))
    own = answer(b"r2")
    fleet = Fleet([(b"".join(reads),) if is_one_read else reads, (own,)], [(own,)])
    replies = [await fleet.async_send(kind, attempt) for attempt in (b"r1", b"r2")]
    assert [reply.status for reply in replies] == [503, 200]
    assert fleet.pool.opened_count == 2


# Guards against the refusal of a status that callers take for "not run", relayed from
# an upstream that doesn't say so, on a connection that is used again.
@STATUSES
async def test_refusal_that_does_not_say_that_nothing_ran(status: int) -> None:
    earlier = refusal(b"r1", status).replace(b"not-run: 1\r\n", b"")
    own = answer(b"r1")
    fleet = Fleet([(earlier,), (earlier, own)], [(own,)])
    replies = [await fleet.async_send(Repeatability.ONCE, b"r1") for _ in range(2)]
    assert replies[1].status == 200


# Guards against a refusal that replaces or cuts an answer, before, inside or after it.
@pytest.mark.parametrize("named", [OTHER, None])
@pytest.mark.parametrize("place", ["before", "between", "after"])
@KINDS
async def test_refusal_of_another_request_around_an_answer(
    kind: Repeatability, place: str, named: bytes | None
) -> None:
    own, second = answer(b"r2"), refusal(named)
    cut = len(own) - len(EVENTS) // 2
    reads = {
        "before": (second, own),
        "between": (own[:cut], second, own[cut:]),
        "after": (own, second),
    }[place]
    fleet = Fleet([(answer(b"r1"),), reads])
    await fleet.async_send(kind, b"r1")
    reply = await fleet.async_send(kind, b"r2")
    assert reply.status != 503
    if place == "after" or (place == "before" and named == OTHER):
        assert (reply.status, reply.body) == (200, EVENTS)
    else:
        # It is unknown whether the request has run.
        assert reply.status == 502 or reply.is_aborted
    assert fleet.idle() == 0


# Guards against one connection for each request of an upstream that answers.
async def test_connection_is_kept_after_an_answer() -> None:
    fleet = Fleet([(answer(b"r1"),)])
    await fleet.async_send(Repeatability.REPEATABLE, b"r1")
    assert fleet.idle() == 1

"""Responses whose status is none of HTTP are no responses."""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.exceptions import UpstreamBrokenError
from tests.components.forwarding.scripted_connections import Exchange, async_send
from tests.components.http1.test_endless_responses import make_connection

STATUSES = (b"000", b"099", b"101", b"600", b"999")
ENDS = {
    "length": b"Content-Length: 3\r\n\r\nabc",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "end": b"Connection: close\r\n\r\nabc",
    "upgrade": b"Connection: upgrade\r\nUpgrade: x\r\n\r\nabc",
}
OWN = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
EVENTS = b"id: 1\ndata: own\n\n"


# Guards against a body that is joined with that of a response without a valid status,
# and against a wait for another response until the deadline.
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
@pytest.mark.parametrize("is_cut", [False, True], ids=["one_read", "many_reads"])
async def test_response_with_an_unknown_status_fails(
    status: bytes, end: bytes, is_cut: bool
) -> None:
    connection, transport = make_connection()
    connection.send(b"POST / HTTP/1.1\r\n\r\n")
    data = b"HTTP/1.1 " + status + b" X\r\n" + end + OWN
    step = 1 if is_cut else len(data)
    for start in range(0, len(data), step):
        if not transport.is_aborted:
            connection.data_received(data[start : start + step])
    assert transport.is_aborted
    with pytest.raises(UpstreamBrokenError):
        await asyncio.wait_for(connection.async_head(), 1.0)
    assert not connection.is_usable


# Guards against an answer to a caller that no upstream gave.
@pytest.mark.looptime
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("kind", Repeatability)
async def test_caller_gets_no_unknown_status(
    status: bytes, kind: Repeatability
) -> None:
    head = b"HTTP/1.1 %b X\r\nattempt-id: r1\r\n" % status
    answer = head + b"Content-Length: %d\r\n\r\n" % len(EVENTS) + EVENTS
    (reply,), last_s, _ = await async_send([Exchange([answer])], kind, [b"r1"])
    assert (reply.status, reply.body) == (502, b"")
    assert last_s < 1.0

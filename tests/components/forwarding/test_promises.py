"""Statuses that promise that a request has not run; no network."""

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from tests.components.forwarding.instance import Instance

pytestmark = pytest.mark.looptime
STATUSES = (408, 429, 503)


# Guards against the promise "not run" for a call that may have run: only upstreams
# that say so have not run it.
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("says_not_run", [False, True])
async def test_call_that_may_have_run_gets_no_promise(
    status: int, says_not_run: bool
) -> None:
    instance = Instance()
    notice = b"not-run: 1\r\n" if says_not_run else b""
    upstream = instance.add("a", 1)
    upstream.raw_response = b"HTTP/1.1 %d X\r\n%bContent-Length: 2\r\n\r\nno" % (
        status,
        notice,
    )
    reply, handling = instance.send(Repeatability.ONCE)
    await handling
    assert len(upstream.exchanges) == 1
    assert reply.status == (503 if says_not_run else 502)
    assert reply.body == b""


# Guards against a changed answer to a request that may run again.
@pytest.mark.parametrize("status", STATUSES)
async def test_repeatable_request_gets_the_answer_of_its_upstream(status: int) -> None:
    instance = Instance()
    for name in "ab":
        instance.add(name, 1).raw_response = (
            b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nno" % status
        )
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await handling
    assert (reply.status, reply.body) == (status, b"no")

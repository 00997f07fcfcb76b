"""Late second answers on connections to upstreams.

The tests use sockets, since the HTTP library reads from its own transports.
"""

import asyncio
import dataclasses
from collections.abc import AsyncIterator

import pytest
from tests.components.routing.test_response_end import WORKSPACE, make_attempt
from tests.fakes.second_answers import (
    PAUSE_S,
    Arrival,
    TwiceAnsweringUpstream,
    make_answer,
)

from banyanswitch.components.routing.models import StreamTarget
from banyanswitch.components.routing.upstream_client import (
    UpstreamClient,
    async_read_response,
)
from banyanswitch.const import HEADER_RUN_ID, HEADER_WORKSPACE
from banyanswitch.identifiers import RunId

FIRST, SECOND = RunId("r1"), RunId("r2")
OWN_BODY = b'{"own": 2}'
TIMEOUT_S = 1.0


def identity(run: RunId) -> tuple[str, str]:
    return f"{HEADER_RUN_ID}: {run}", f"{HEADER_WORKSPACE}: {WORKSPACE}"


def make_run_answer(run: RunId, body: bytes, *, is_chunked: bool = False) -> bytes:
    return make_answer(body, *identity(run), is_chunked=is_chunked)


LATE = {
    "length": make_run_answer(FIRST, b'{"own": 1}'),
    "chunks": make_run_answer(FIRST, b'{"own": 1}', is_chunked=True),
    "rejected": make_answer(b"{}", *identity(FIRST), status="404 Not Found"),
    "rejected_without_identity": make_answer(b"{}", status="404 Not Found"),
    "declined": make_answer(b'{"code": "leaving"}', status="503 Unavailable"),
}
LATE_FORMS = pytest.mark.parametrize("late", LATE.values(), ids=LATE)


@pytest.fixture
async def client() -> AsyncIterator[UpstreamClient]:
    upstream_client = UpstreamClient()
    yield upstream_client
    await upstream_client.async_close()


async def async_body(client: UpstreamClient, url: str, run: RunId) -> bytes:
    attempt = dataclasses.replace(make_attempt(url), run_id=run)
    open_run = await client.async_open_run(attempt, "/v1/completions", {}, b"{}")
    return (await async_read_response(open_run, TIMEOUT_S)).body


# Guards against another run's answer, rejection or "not run" taken for the own one.
@LATE_FORMS
@pytest.mark.parametrize("arrival", Arrival)
async def test_run_gets_its_own_answer_after_a_late_second_one(
    client: UpstreamClient, late: bytes, arrival: Arrival
) -> None:
    answers = [make_run_answer(FIRST, b"{}"), make_run_answer(SECOND, OWN_BODY)]
    async with TwiceAnsweringUpstream(answers, late, arrival) as url:
        await async_body(client, url, FIRST)
        await asyncio.sleep(3 * PAUSE_S)
        assert await async_body(client, url, SECOND) == OWN_BODY


# Guards against a request that fails because the second answer arrives in parts.
@LATE_FORMS
async def test_run_gets_its_own_answer_at_each_cut(
    client: UpstreamClient, late: bytes
) -> None:
    own = make_run_answer(SECOND, OWN_BODY)
    answers = [make_run_answer(FIRST, b"{}"), own]
    for cut in range(1, len(late + own), 7):
        upstream = TwiceAnsweringUpstream(
            answers, late, Arrival.BEFORE_NEXT_ANSWER, cut
        )
        async with upstream as url:
            await async_body(client, url, FIRST)
            assert await async_body(client, url, SECOND) == OWN_BODY


# Guards against the second answer to a run taken for that to a resumed read of it.
@pytest.mark.parametrize("arrival", Arrival)
async def test_resumed_read_gets_its_own_answer(
    client: UpstreamClient, arrival: Arrival
) -> None:
    late = make_run_answer(FIRST, b'"first"')
    answers = [late, make_run_answer(FIRST, b'"resumed"')]
    async with TwiceAnsweringUpstream(answers, late, arrival) as url:
        await async_body(client, url, FIRST)
        await asyncio.sleep(3 * PAUSE_S)
        attempt = make_attempt(url)
        target = StreamTarget(url, FIRST, attempt.identity)
        response = await client.async_resume_run(target, 1)
        assert await response.read() == b'"resumed"'

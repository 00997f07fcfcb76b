"""Time limits of calls over connections that are slow to make."""

import asyncio

import pytest

from banyanswitch.components.http1.client import HttpClient, HttpResponse
from banyanswitch.exceptions import UpstreamBrokenError, UpstreamNotSentError
from tests.fakes.http1 import FakePool, encode_response

pytestmark = pytest.mark.looptime
TIMEOUT_S = 0.6


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def async_call(pool: FakePool) -> HttpResponse:
    return await HttpClient(pool).async_call("GET", "h:1", "/", timeout_s=TIMEOUT_S)


async def test_a_connection_made_after_the_timeout_sends_nothing() -> None:
    """The time limit of a call did not include making its connection."""
    pool = FakePool(lambda _request: encode_response(200))
    pool.connect_s = TIMEOUT_S + 0.2
    with pytest.raises(UpstreamNotSentError):
        await async_call(pool)
    assert now_s() == pytest.approx(TIMEOUT_S, abs=0.01)
    await asyncio.sleep(1.0)
    assert pool.sent == []


async def test_a_slow_connection_leaves_less_time_for_the_response() -> None:
    """The time limit of a call did not include making its connection."""
    pool = FakePool(lambda _request: None)
    pool.connect_s = TIMEOUT_S - 0.2
    with pytest.raises(UpstreamBrokenError):
        await async_call(pool)
    assert now_s() == pytest.approx(TIMEOUT_S, abs=0.01)
    assert len(pool.sent) == 1


async def test_a_response_within_the_timeout_is_returned() -> None:
    pool = FakePool(lambda _request: encode_response(200, b"body"))
    pool.connect_s = TIMEOUT_S - 0.2
    assert (await async_call(pool)).body == b"body"

"""Time limits of calls, and which connections later calls may use."""

import asyncio

import pytest

from banyanswitch.components.http1.client import HttpClient, HttpResponse
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.exceptions import UpstreamBrokenError, UpstreamNotSentError
from tests.fakes.http1 import FakePool, FakeTransport, encode_response

pytestmark = pytest.mark.looptime
TIMEOUT_S = 0.6


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def async_call(pool: ConnectionPool) -> HttpResponse:
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


class SlowTransport(FakeTransport):
    """Transport that delivers the first bytes of a response at once, the rest late."""

    def __init__(
        self, connection: UpstreamConnection, response: bytes, cut: int
    ) -> None:
        super().__init__(FakePool(lambda _request: response[:cut] or None), connection)
        self._rest = response[cut:]
        self._receiver = connection

    def write(self, data: bytes) -> None:
        super().write(data)
        loop = asyncio.get_running_loop()
        loop.call_later(TIMEOUT_S + 0.1, self._deliver_rest)

    def _deliver_rest(self) -> None:
        if not self.is_closing():
            self._receiver.data_received(self._rest)


class SlowPool(ConnectionPool):
    """Pool whose first connection delivers the end of its response late."""

    def __init__(self, cut: int) -> None:
        super().__init__()
        self._cut = cut

    async def async_open(self, address: str) -> UpstreamConnection:
        self.opened_count += 1
        response = encode_response(200, b"body %d" % self.opened_count)
        cut = self._cut if self.opened_count == 1 else len(response)
        connection = UpstreamConnection()
        connection.connection_made(SlowTransport(connection, response, cut))
        return connection


# Guards against a call that gets the rest of a response to a call that was given up.
@pytest.mark.parametrize("is_cancelled", [False, True])
async def test_connection_of_a_call_given_up_is_not_reused(is_cancelled: bool) -> None:
    for cut in range(len(encode_response(200, b"body 1"))):
        pool = SlowPool(cut)
        call = asyncio.create_task(async_call(pool))
        if is_cancelled:
            await asyncio.sleep(TIMEOUT_S / 2)
            call.cancel()
        with pytest.raises((UpstreamBrokenError, asyncio.CancelledError)):
            await call
        for _ in range(2):
            assert (await async_call(pool)).body == b"body 2"
            await asyncio.sleep(0.2)
        assert pool.opened_count == 2


# Guards against a late second answer that comes while no call is open.
async def test_connection_with_bytes_between_two_calls_is_not_reused() -> None:
    second = encode_response(200, b"body 1")
    for cut in range(1, len(second)):
        pool = SlowPool(len(second))
        assert (await async_call(pool)).body == b"body 1"
        (idle,) = pool._idle["h:1"]
        idle.data_received(second[:cut])
        assert (await async_call(pool)).body == b"body 2"


class RefusingPool(ConnectionPool):
    """Pool whose connections refuse their first call, and the next one once more."""

    def __init__(self, status: int) -> None:
        super().__init__()
        self._status = status

    async def async_open(self, address: str) -> UpstreamConnection:
        self.opened_count += 1
        self._change_open_count(address, 1)
        refusal = encode_response(self._status)
        connection = UpstreamConnection()
        responses = [refusal, refusal + encode_response(200)]
        pool = FakePool(lambda _request: responses.pop(0))
        connection.connection_made(FakeTransport(pool, connection))
        return connection


# Guards against a call that takes a second copy of an earlier refusal for its response.
@pytest.mark.parametrize("status", [400, 404, 408, 409, 421, 429, 500, 503])
async def test_connection_of_a_refused_call_is_not_reused(status: int) -> None:
    pool = RefusingPool(status)
    for number in range(1, 4):
        assert (await async_call(pool)).status == status
        assert pool.opened_count == number
        assert pool.open_count("h:1") == 0


# Guards against a connection for each call.
async def test_connection_of_a_call_without_an_error_is_reused() -> None:
    pool = RefusingPool(200)
    for _ in range(2):
        assert (await async_call(pool)).status == 200
    assert pool.opened_count == 1

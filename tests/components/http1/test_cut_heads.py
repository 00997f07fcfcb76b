"""An upstream or service stops in the middle of the head of its answer.

No call takes what it has sent for an answer. The process test with the same name has
the paths of callers' requests.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import pytest
import uvloop

from banyanswitch.components.forwarding.protocols import LoadOrder
from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.kv_cache.engine_client import EngineCacheClient
from banyanswitch.components.kv_cache.errors import TransferError
from banyanswitch.components.kv_cache.store_client import KvStoreClient
from banyanswitch.components.membership.platform_list import HttpInstanceList
from banyanswitch.components.routing.models import (
    OpenRun,
    StreamTarget,
    UpstreamRequest,
)
from banyanswitch.components.routing.upstream_client import UpstreamClient
from banyanswitch.components.table_service.http_client import PlatformClient
from banyanswitch.components.upstream_load.poller import HttpLoadPoller
from banyanswitch.components.weights.models import OrderResult
from banyanswitch.components.weights.order_sender import HttpOrderSender
from banyanswitch.config.models import Upstream
from banyanswitch.exceptions import PlatformError, UpstreamError
from banyanswitch.identifiers import (
    FailureDomainId,
    InstanceId,
    ServiceName,
    UpstreamId,
)
from banyanswitch.interfaces import Write, WriteClass
from banyanswitch.platform.engines import PlatformEngines
from banyanswitch.platform.tables import PlatformTables
from tests.components.http1.test_endless_responses import make_connection
from tests.components.kv_cache.test_second_answers import EXPORT, IMPORT
from tests.components.kv_cache.test_transfers import KEYS
from tests.components.routing.test_response_end import make_attempt
from tests.components.weights.test_order_sender import order_of
from tests.fakes.cut_heads import HEADS, CutServer, cuts

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
STEP_BYTES = 17
Call = Callable[[str], Awaitable[object]]


# Guards against a beginning of a head that is taken for an answer, at every byte, also
# on a connection that has carried another answer.
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("error", [None, ConnectionResetError()], ids=["end", "reset"])
async def test_connection_has_no_answer(
    head: bytes, is_kept: bool, error: ConnectionResetError | None
) -> None:
    for pieces in (1, 2):
        for cut in cuts(head):
            connection, _ = make_connection()
            if is_kept:
                connection.send(b"GET / HTTP/1.1\r\n\r\n")
                connection.data_received(WHOLE)
                assert (await connection.async_head()).status == 200
                assert await connection.async_part() == b"ok"
                assert await connection.async_part() is None
            connection.send(b"GET / HTTP/1.1\r\n\r\n")
            middle = len(cut) // 2 if pieces == 2 else 0
            for part in (cut[:middle], cut[middle:]):
                if part:
                    connection.data_received(part)
            if error is None:
                connection.eof_received()
            connection.connection_lost(error)
            with pytest.raises(UpstreamError):
                await asyncio.wait_for(connection.async_head(), 1.0)
            assert not connection.is_usable


async def async_check(server: CutServer, async_call: Call, address: str) -> None:
    """Call a server that stops in each head, in each way; no call has a result."""
    for head in HEADS.values():
        for server.resets, server.pieces in ((False, 1), (True, 1), (False, 3)):
            for server.answer in cuts(head, STEP_BYTES):
                requests = server.requests
                result: object = None
                try:
                    result = await async_call(address)
                except (UpstreamError, PlatformError, TransferError):
                    result = None
                assert result in (None, OrderResult.OUTCOME_UNKNOWN), server.answer
                assert server.requests > requests


@pytest.fixture
async def server() -> AsyncIterator[CutServer]:
    server = CutServer()
    yield server
    server.stop()


def make_order() -> LoadOrder:
    return LoadOrder(
        upstream=UpstreamId("u"),
        model="m",
        version=2,
        holder="n",
        fencing_token=1,
        orders_accepted=0,
        send_by_s=lambda: float("inf"),
    )


PLATFORM_CALLS: dict[str, Callable[[HttpClient, str], Awaitable[object]]] = {
    "store get": lambda c, a: PlatformTables(c, a, 2.0).async_get(["t/k"]),
    "store query": lambda c, a: PlatformTables(c, a, 2.0).async_query("t/"),
    "store write": lambda c, a: PlatformTables(c, a, 2.0).async_transact(
        [Write("t/k", b"v")], WriteClass.LEASE
    ),
    "store table": lambda c, a: PlatformTables(c, a, 2.0).async_read_table("t"),
    "store feed": lambda c, a: PlatformTables(c, a, 2.0).async_changes("t", 1, 0.0),
    "store history": lambda c, a: PlatformTables(c, a, 2.0).async_history("t", 1, 2),
    "report": lambda c, a: PlatformEngines(c).async_report(a),
    "order": lambda c, a: PlatformEngines(c).async_order_load(a, make_order()),
    "events": lambda c, a: PlatformEngines(c).async_events(a, 1, 1, 0.0),
    "list": lambda c, a: PlatformEngines(c).async_list(a),
}


# Guards against a call to the store, an upstream or a KV store with a made-up result.
@pytest.mark.parametrize(
    "make_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["std", "uv"]
)
@pytest.mark.parametrize("name", PLATFORM_CALLS)
def test_platform_call_has_no_result(
    name: str, make_loop: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    async def async_run() -> None:
        server = CutServer()
        address = await server.async_start()
        client = HttpClient(ConnectionPool())
        await async_check(server, lambda a: PLATFORM_CALLS[name](client, a), address)
        client.close()
        server.stop()

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(async_run())


def upstream_at(url: str) -> Upstream:
    return Upstream(
        name=UpstreamId("u"),
        service=ServiceName("chat"),
        url=url,
        failure_domain=FailureDomainId("d"),
    )


def make_table(session: aiohttp.ClientSession, url: str) -> PlatformClient:
    """Return a client without the failures of earlier calls."""
    return PlatformClient(session, url, InstanceId("i"), 2.0)


SessionCall = Callable[[aiohttp.ClientSession, str], Awaitable[object]]
OWN_CALLS: dict[str, SessionCall] = {
    "table read": lambda s, u: make_table(s, u).async_read("GET", "/x"),
    "table write": lambda s, u: make_table(s, u).async_write("POST", "/x", b"{}"),
    "instances": lambda s, u: HttpInstanceList(s, u).async_read(),
    "load": lambda s, u: HttpLoadPoller(s).async_poll(upstream_at(u), 0.0),
    "order": lambda s, u: HttpOrderSender(s, InstanceId("i")).async_send(
        u, order_of(5), 2.0
    ),
    "export": lambda s, u: EngineCacheClient(s).async_export(u, EXPORT),
    "import": lambda s, u: EngineCacheClient(s).async_import(u, IMPORT),
    "events": lambda s, u: EngineCacheClient(s).async_events(u, 0),
    "keys": lambda s, u: EngineCacheClient(s).async_keys(u),
    "manifest": lambda s, u: KvStoreClient(s).async_get_manifest(u, "m"),
    "status": lambda s, u: KvStoreClient(s).async_status(u),
}
CONFIRMED_CALLS: dict[str, SessionCall] = {
    "drop": lambda s, u: EngineCacheClient(s).async_drop(u, KEYS),
    "put": lambda s, u: KvStoreClient(s).async_put_manifest(u, "m", b"{}"),
    "delete": lambda s, u: KvStoreClient(s).async_delete_manifest(u, "m"),
    "delete block": lambda s, u: KvStoreClient(s).async_delete_block(u, "b"),
}
"""Calls that return nothing; an error tells that they were not confirmed."""


# Guards against calls of the own interface with a made-up result.
@pytest.mark.parametrize("name", [*OWN_CALLS, *CONFIRMED_CALLS])
async def test_own_call_has_no_result(server: CutServer, name: str) -> None:
    address = await server.async_start()
    async with aiohttp.ClientSession(connector=LimitedConnector()) as session:

        async def async_call(address: str) -> object:
            if name in OWN_CALLS:
                return await OWN_CALLS[name](session, f"http://{address}")
            await CONFIRMED_CALLS[name](session, f"http://{address}")
            return "confirmed"

        await async_check(server, async_call, address)


async def async_open(client: UpstreamClient, url: str) -> OpenRun:
    return await client.async_open_run(make_attempt(url), "/runs", {}, b"{}")


async def async_resume(client: UpstreamClient, url: str) -> object:
    attempt = make_attempt(url)
    target = StreamTarget(url, attempt.run_id, attempt.identity)
    return await client.async_resume_run(target, 2)


async def async_call_once(client: UpstreamClient, url: str) -> object:
    call = UpstreamRequest("POST", f"{url}/x", {}, b"{}")
    return await client.async_call_once(make_attempt(url), call, 2.0)


# Guards against runs and calls of the own interface whose upstream stops in its head.
@pytest.mark.parametrize("async_send", [async_open, async_resume, async_call_once])
async def test_own_request_has_no_answer(
    server: CutServer, async_send: Callable[[UpstreamClient, str], Awaitable[object]]
) -> None:
    address = await server.async_start()
    client = UpstreamClient()
    await async_check(
        server, lambda address: async_send(client, f"http://{address}"), address
    )
    await client.async_close()

"""Late second answers to calls to engines and stores.

The tests use sockets, since the HTTP library reads from its own transports.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec
import pytest

from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.kv_cache.engine_client import (
    EngineCacheClient,
    ExportRequest,
    ImportRequest,
)
from banyanswitch.components.kv_cache.errors import (
    StoredPrefixLostError,
    StoreUnavailableError,
    UpstreamTransferError,
)
from banyanswitch.components.kv_cache.models import PieceBlock
from banyanswitch.components.kv_cache.store_client import KvStoreClient
from banyanswitch.identifiers import WeightVersion
from tests.components.kv_cache.test_transfers import KEYS
from tests.fakes.second_answers import (
    PAUSE_S,
    Arrival,
    TwiceAnsweringUpstream,
    make_answer,
)

Call = Callable[[aiohttp.ClientSession, str], Awaitable[object]]
BLOCK = PieceBlock(key=KEYS[0], block="b", digest="d", size_bytes=1)
EXPORT = ExportRequest((KEYS[0],), "http://store", "raw", "g-")
IMPORT = ImportRequest("http://store", WeightVersion("v1"), "salt", (BLOCK,))
EXPORTED = make_answer(msgspec.json.encode({"pieces": [BLOCK]}))
IMPORTED = make_answer(
    msgspec.json.encode({"imported": [{"key": KEYS[0], "digest": "d"}]})
)
DAMAGED = make_answer(status="422 Unprocessable")
FAILED = make_answer(status="500 Error")


def call_export(session: aiohttp.ClientSession, url: str) -> Awaitable[object]:
    return EngineCacheClient(session).async_export(url, EXPORT)


def call_import(session: aiohttp.ClientSession, url: str) -> Awaitable[object]:
    return EngineCacheClient(session).async_import(url, IMPORT)


def call_drop(session: aiohttp.ClientSession, url: str) -> Awaitable[object]:
    return EngineCacheClient(session).async_drop(url, KEYS)


def call_get_manifest(session: aiohttp.ClientSession, url: str) -> Awaitable[object]:
    return KvStoreClient(session).async_get_manifest(url, "own")


def call_put_manifest(session: aiohttp.ClientSession, url: str) -> Awaitable[object]:
    return KvStoreClient(session).async_put_manifest(url, "own", b"{}")


def call_delete_manifest(session: aiohttp.ClientSession, url: str) -> Awaitable[object]:
    return KvStoreClient(session).async_delete_manifest(url, "own")


def call_delete_block(session: aiohttp.ClientSession, url: str) -> Awaitable[object]:
    return KvStoreClient(session).async_delete_block(url, "own")


FAILING_CALLS: list[tuple[Call, bytes, bytes, type[Exception]]] = [
    (call_export, EXPORTED, FAILED, UpstreamTransferError),
    (call_import, IMPORTED, DAMAGED, StoredPrefixLostError),
    (call_drop, EXPORTED, FAILED, UpstreamTransferError),
    (call_put_manifest, IMPORTED, FAILED, StoreUnavailableError),
    (call_delete_manifest, EXPORTED, FAILED, StoreUnavailableError),
    (call_delete_block, make_answer(), FAILED, StoreUnavailableError),
]
ARRIVALS = pytest.mark.parametrize("arrival", Arrival)


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession(connector=LimitedConnector()) as own_session:
        yield own_session


async def async_first_call(session: aiohttp.ClientSession, url: str) -> None:
    await KvStoreClient(session).async_get_manifest(url, "first")
    await asyncio.sleep(3 * PAUSE_S)


# Guards against a failed import, removal or write that is taken for a completed one.
@ARRIVALS
@pytest.mark.parametrize(
    ("call", "late", "own", "error"),
    FAILING_CALLS,
    ids=[call.__name__ for call, *_ in FAILING_CALLS],
)
async def test_failed_call_is_not_completed_by_a_late_second_answer(
    *,
    session: aiohttp.ClientSession,
    call: Call,
    late: bytes,
    own: bytes,
    error: type[Exception],
    arrival: Arrival,
) -> None:
    async with TwiceAnsweringUpstream([late, own], late, arrival) as url:
        await async_first_call(session, url)
        with pytest.raises(error):
            await call(session, url)


# Guards against another prefix's manifest, whose blocks would be deleted as the own.
@ARRIVALS
async def test_manifest_is_the_requested_one(
    session: aiohttp.ClientSession, arrival: Arrival
) -> None:
    first, own = make_answer(b'"first"'), make_answer(b'"own"')
    async with TwiceAnsweringUpstream([first, own], first, arrival) as url:
        await async_first_call(session, url)
        assert await call_get_manifest(session, url) == b'"own"'

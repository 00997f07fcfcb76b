"""Late second answers of the table service and the object store.

The tests use sockets, since the HTTP library reads from its own transports.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

import msgspec
import pytest

from banyanswitch.components.table_service.http_client import (
    PlatformClient,
    new_platform_session,
)
from banyanswitch.components.table_service.object_store import HttpObjectStore
from banyanswitch.components.table_service.table_store import HttpTableStore
from banyanswitch.components.table_service.write_budget import WriteBudget
from banyanswitch.exceptions import ConditionFailedError
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import Write, WriteClass
from tests.fakes.second_answers import (
    PAUSE_S,
    Arrival,
    TwiceAnsweringUpstream,
    make_answer,
)

Connect = Callable[[str], PlatformClient]
TIMEOUT_S = 1.0
WRITTEN = make_answer(msgspec.json.encode({"revisions": [1]}))
CONFLICT = make_answer(
    msgspec.json.encode({"failed_keys": ["b"]}), status="409 Conflict"
)
ITEM = make_answer(
    msgspec.json.encode({"items": [{"key": "a", "revision": 1, "value": ""}]})
)
NO_ITEM = make_answer(msgspec.json.encode({"items": []}))
ARRIVALS = pytest.mark.parametrize("arrival", Arrival)


@pytest.fixture
async def client() -> AsyncIterator[Connect]:
    async with new_platform_session() as session:
        yield lambda url: PlatformClient(session, url, InstanceId("i1"), TIMEOUT_S)


# Guards against a claim that is taken for granted and lets a call run twice.
@ARRIVALS
async def test_write_is_not_confirmed_by_a_late_second_answer(
    client: Connect, arrival: Arrival
) -> None:
    async with TwiceAnsweringUpstream([WRITTEN, CONFLICT], WRITTEN, arrival) as url:
        now_s = asyncio.get_running_loop().time()
        table = HttpTableStore(client(url), WriteBudget(1_000.0, now_s))
        await table.async_transact([Write("a", b"", 0)], WriteClass.CLAIM)
        await asyncio.sleep(3 * PAUSE_S)
        with pytest.raises(ConditionFailedError):
            await table.async_transact([Write("b", b"", 0)], WriteClass.CLAIM)


# Guards against the item of another read taken for the requested one.
@ARRIVALS
async def test_read_item_is_the_requested_one(
    client: Connect, arrival: Arrival
) -> None:
    async with TwiceAnsweringUpstream([ITEM, NO_ITEM], ITEM, arrival) as url:
        now_s = asyncio.get_running_loop().time()
        table = HttpTableStore(client(url), WriteBudget(1_000.0, now_s))
        assert await table.async_get(["a"])
        await asyncio.sleep(3 * PAUSE_S)
        assert await table.async_get(["b"]) == ()


# Guards against another caller's stored response that is sent as the own one.
@ARRIVALS
async def test_object_is_the_requested_one(client: Connect, arrival: Arrival) -> None:
    first, own = make_answer(b'"first"'), make_answer(b'"own"')
    async with TwiceAnsweringUpstream([first, own], first, arrival) as url:
        objects = HttpObjectStore(client(url))
        assert await objects.async_get_object("a") == b'"first"'
        await asyncio.sleep(3 * PAUSE_S)
        assert await objects.async_get_object("b") == b'"own"'

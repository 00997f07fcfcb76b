"""Tests of the table client against the stand-in of the platform's store."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest
from aiohttp.test_utils import TestServer

from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.exceptions import (
    ConditionFailedError,
    HistoryGoneError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from banyanswitch.helpers.store_version import make_version
from banyanswitch.interfaces import Write, WriteClass
from banyanswitch.platform.tables import PlatformTables
from banyanswitch_standins.users_platform.store import PlatformStore

LEASE = WriteClass.LEASE


@dataclass
class Setup:
    store: PlatformStore
    tables: PlatformTables


@pytest.fixture
async def setup() -> AsyncIterator[Setup]:
    store = PlatformStore()
    server = TestServer(store.make_app())
    await server.start_server()
    client = HttpClient(ConnectionPool())
    yield Setup(store, PlatformTables(client, f"127.0.0.1:{server.port}", 0.5))
    client.close()
    await server.close()


async def test_conditional_write_is_read_back(setup: Setup) -> None:
    (revision,) = await setup.tables.async_transact(
        [Write("lease/orders", b"\x00\xff", 0)], LEASE
    )
    (item,) = await setup.tables.async_get(["lease/orders", "lease/none"])
    assert (item.key, item.revision, item.value) == (
        "lease/orders",
        revision,
        b"\x00\xff",
    )


async def test_failed_condition_contains_its_key(setup: Setup) -> None:
    await setup.tables.async_transact([Write("t/k", b"1", 0)], LEASE)
    with pytest.raises(ConditionFailedError) as caught:
        await setup.tables.async_transact([Write("t/k", b"2", 0)], LEASE)
    assert caught.value.keys == ("t/k",)


async def test_lost_response_leaves_the_outcome_unknown(setup: Setup) -> None:
    setup.store.faults.drops_responses = True
    with pytest.raises(PlatformOutcomeUnknownError):
        await setup.tables.async_transact([Write("t/k", b"1", 0)], LEASE)
    assert setup.store.rows["t", "", "k"].value == b"1"


async def test_unavailable_store_applies_no_write(setup: Setup) -> None:
    setup.store.faults.is_down = True
    with pytest.raises(PlatformUnavailableError):
        await setup.tables.async_transact([Write("t/k", b"1", 0)], LEASE)
    assert setup.store.rows == {}


async def test_feed_delivers_changes_and_removals(setup: Setup) -> None:
    await setup.store.async_put("op", "a", b"1")
    snapshot = await setup.tables.async_read_table("op")
    assert [item.key for item in snapshot.items] == ["op/a"]
    waiting = asyncio.create_task(
        setup.tables.async_changes("op", snapshot.version, 2.0)
    )
    await asyncio.sleep(0.05)
    await setup.store.async_put("op", "a", None)
    changes = await waiting
    assert changes.removed == ("op/a",)
    assert setup.tables.clock_s() is not None


async def test_row_removed_and_written_again_is_kept(setup: Setup) -> None:
    """Tests that of several changes of one row in a response, the last one applies.

    Entries that expire in an outage are written again before the next feed call.
    """
    await setup.store.async_put("op", "back", b"1")
    await setup.store.async_put("op", "gone", b"1")
    for key, value in (("back", None), ("back", b"2"), ("gone", b"2"), ("gone", None)):
        await setup.store.async_put("op", key, value)
    first = make_version(setup.store.era, 1)
    changes = await setup.tables.async_changes("op", first, 0.05)
    assert [(item.key, item.value) for item in changes.items] == [("op/back", b"2")]
    assert changes.removed == ("op/gone",)


async def test_feed_without_changes_returns_after_its_wait(setup: Setup) -> None:
    start = make_version(setup.store.era, 0)
    changes = await setup.tables.async_changes("op", start, 0.05)
    assert changes.items == ()


async def test_lost_history_raises(setup: Setup) -> None:
    for number in range(3):
        await setup.store.async_put("op", "a", b"%d" % number)
    setup.store.discard_history()
    first = make_version(setup.store.era, 1)
    with pytest.raises(HistoryGoneError):
        await setup.tables.async_changes("op", first, 0.05)

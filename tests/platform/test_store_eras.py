"""Table client in front of a store that returns from an older copy."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest
from aiohttp.test_utils import TestServer
from msgspec.structs import replace

from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.exceptions import (
    ConditionFailedError,
    HistoryGoneError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from banyanswitch.helpers.store_version import era_of, make_version
from banyanswitch.interfaces import Write, WriteClass
from banyanswitch.platform.rows import Rows
from banyanswitch.platform.tables import PlatformTables
from banyanswitch_standins.users_platform.store import EraFault, PlatformStore

LEASE = WriteClass.LEASE


@dataclass
class Setup:
    store: PlatformStore
    tables: PlatformTables

    def calls(self) -> int:
        return sum(self.store.call_counts.values())

    async def async_write(self, value: bytes, expected_revision: int) -> int:
        write = Write("lease/orders", value, expected_revision)
        (revision,) = await self.tables.async_transact([write], LEASE)
        return revision

    async def async_return(self) -> None:
        self.store.go_away()
        await self.store.async_return_from_copy()


@pytest.fixture
async def setup() -> AsyncIterator[Setup]:
    store = PlatformStore()
    server = TestServer(store.make_app())
    await server.start_server()
    client = HttpClient(ConnectionPool())
    yield Setup(store, PlatformTables(client, f"127.0.0.1:{server.port}", 0.5))
    client.close()
    await server.close()


async def test_revisions_rise_although_the_stores_numbers_go_back(setup: Setup) -> None:
    await setup.store.async_put("op", "a", b"1")
    setup.store.take_copy()
    await setup.store.async_put("op", "a", b"2")
    before = await setup.tables.async_read_table("op")
    await setup.async_return()
    after = await setup.tables.async_read_table("op")
    assert after.items[0].value == b"1"
    assert after.items[0].revision > before.items[0].revision
    assert after.version > before.version
    assert setup.tables.era() == setup.store.era == 2


# Guards against changes of the new era that follow a version of the earlier one.
async def test_cursor_of_an_earlier_era_is_not_continued(setup: Setup) -> None:
    setup.store.take_copy()
    await setup.store.async_put("op", "lost", b"1")
    cursor = (await setup.tables.async_read_table("op")).version
    await setup.async_return()
    await setup.store.async_put("op", "first", b"1")
    await setup.store.async_put("op", "second", b"1")
    with pytest.raises(HistoryGoneError):
        await setup.tables.async_changes("op", cursor, 0.05)
    calls = setup.calls()
    with pytest.raises(HistoryGoneError):
        await setup.tables.async_changes("op", cursor, 0.05)
    assert setup.calls() == calls
    assert len((await setup.tables.async_read_table("op")).items) == 2


# Guards against a write whose condition holds by a number that was given out again.
async def test_condition_on_a_number_that_was_given_out_again_fails(
    setup: Setup,
) -> None:
    first = await setup.async_write(b"a", 0)
    setup.store.take_copy()
    old = await setup.async_write(b"b", first)
    await setup.async_return()
    rival = PlatformTables(
        setup.tables._client, setup.tables._address, setup.tables._timeout_s
    )
    (seen,) = await rival.async_get(["lease/orders"])
    write = Write("lease/orders", b"rival", seen.revision)
    (again,) = await rival.async_transact([write], LEASE)
    assert again != old
    with pytest.raises(PlatformOutcomeUnknownError):
        await setup.async_write(b"c", old)
    calls = setup.calls()
    with pytest.raises(ConditionFailedError):
        await setup.async_write(b"d", old)
    assert setup.calls() == calls


async def test_table_that_is_read_across_a_return_is_not_used(
    setup: Setup, monkeypatch: pytest.MonkeyPatch
) -> None:
    await setup.store.async_put("op", "a", b"1")
    setup.store.take_copy()
    read_rows = setup.tables._async_rows
    eras = []

    async def async_rows(query: dict[str, str]) -> tuple[Rows, int]:
        page, era = await read_rows(query)
        eras.append(era)
        if len(eras) == 1:
            await setup.async_return()
            return replace(page, hasMore=True), era
        return page, era

    monkeypatch.setattr(setup.tables, "_async_rows", async_rows)
    with pytest.raises(PlatformUnavailableError):
        await setup.tables.async_read_table("op")
    assert eras == [1, 2]


@pytest.mark.parametrize("fault", [EraFault.MISSING, EraFault.NOT_A_NUMBER])
async def test_unreadable_era_counts_as_the_known_one(
    setup: Setup, fault: EraFault
) -> None:
    setup.store.take_copy()
    await setup.async_return()
    await setup.tables.async_read_table("op")
    setup.store.faults.era = fault
    snapshot = await setup.tables.async_read_table("op")
    assert era_of(snapshot.version) == 2
    await setup.tables.async_changes("op", snapshot.version, 0.05)
    assert era_of(await setup.async_write(b"a", 0)) == 2


async def test_response_of_an_earlier_era_is_not_used(setup: Setup) -> None:
    setup.store.take_copy()
    await setup.async_return()
    snapshot = await setup.tables.async_read_table("op")
    setup.store.faults.era = EraFault.LOWER
    with pytest.raises(PlatformUnavailableError):
        await setup.tables.async_read_table("op")
    with pytest.raises(PlatformUnavailableError):
        await setup.tables.async_changes("op", snapshot.version, 0.05)
    with pytest.raises(PlatformOutcomeUnknownError):
        await setup.async_write(b"a", 0)
    assert setup.tables.era() == 2


async def test_store_without_eras_keeps_its_numbers(setup: Setup) -> None:
    setup.store.faults.era = EraFault.MISSING
    revision = await setup.async_write(b"a", 0)
    assert revision == setup.store.version
    assert revision == make_version(0, revision)


# Guards against one wrong value that makes all later responses unusable.
async def test_era_that_skips_some_is_used_once_it_is_repeated(setup: Setup) -> None:
    await setup.tables.async_read_table("op")
    setup.store.era = 900
    with pytest.raises(PlatformUnavailableError):
        await setup.tables.async_read_table("op")
    setup.store.era = 1
    await setup.tables.async_read_table("op")
    assert setup.tables.era() == 1
    setup.store.era = 3
    with pytest.raises(PlatformUnavailableError):
        await setup.tables.async_read_table("op")
    snapshot = await setup.tables.async_read_table("op")
    assert era_of(snapshot.version) == setup.tables.era() == 3

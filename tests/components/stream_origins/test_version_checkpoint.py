"""Checkpoint of the software versions, in the stand-in of the users' store."""

import json
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest
from aiohttp.test_utils import TestServer

from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.stream_origins.version_checkpoint import VersionCheckpoint
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.exceptions import HistoryGoneError, PlatformUnavailableError
from banyanswitch.platform.documents import RowDecoder
from banyanswitch.platform.tables import PlatformTables
from banyanswitch_standins.users_platform.store import PlatformStore
from tests.process.platform_fleet import registry_entry

TABLE = "servers"
ADDRESS = "127.0.0.1:1"
SERVICE = "llm"


@dataclass
class Setup:
    store: PlatformStore
    client: HttpClient
    address: str

    async def async_put(self, name: str, version: str | None) -> None:
        """Write an entry, or remove it."""
        entry = version and registry_entry(name, ADDRESS, version=version)
        await self.store.async_put(TABLE, name, entry or None)

    async def async_start_instance(self) -> VersionCheckpoint:
        """Start an instance that has read the entries."""
        checkpoint, mirror = self.make_instance()
        await mirror._async_step()
        return checkpoint

    def make_instance(self) -> tuple[VersionCheckpoint, TableMirror]:
        tables = PlatformTables(self.client, self.address, 0.5)
        mirror = TableMirror(TABLE, tables, random.Random(1))
        checkpoint = VersionCheckpoint(
            table=tables, history=tables, mirror=mirror, decoder=RowDecoder()
        )
        return checkpoint, mirror


@pytest.fixture
async def setup() -> AsyncIterator[Setup]:
    store = PlatformStore()
    server = TestServer(store.make_app())
    await server.start_server()
    client = HttpClient(ConnectionPool())
    setup = Setup(store, client, f"127.0.0.1:{server.port}")
    await setup.async_put("i-1", "v1")
    yield setup
    client.close()
    await server.close()


@pytest.mark.parametrize(
    ("writes", "expected"),
    [
        ([], {}),
        ([("i-2", "v2")], {"v2"}),
        ([("i-2", "v2"), ("i-2", None)], {"v2"}),
        ([("i-1", "v2"), ("i-1", "v3")], {"v2", "v3"}),
        ([("i-1", None)], {}),
    ],
    ids=["nothing", "joined", "joined and left", "replaced twice", "left"],
)
async def test_all_versions_written_since_the_checkpoint_are_found(
    setup: Setup, writes: list[tuple[str, str | None]], expected: set[str]
) -> None:
    earlier = await setup.async_start_instance()
    await earlier.async_write()
    for name, version in writes:
        await setup.async_put(name, version)
    later = await setup.async_start_instance()
    versions = await later.async_versions_since()
    assert versions == ({SERVICE: expected} if expected else {})


# Guards against rows that were lost, or discarded, and look complete.
@pytest.mark.parametrize("has_era", [True, False])
async def test_lost_history_is_noticed(setup: Setup, has_era: bool) -> None:
    earlier = await setup.async_start_instance()
    await earlier.async_write()
    setup.store.take_copy()
    await setup.async_put("i-2", "v2")
    if has_era:
        setup.store.go_away()
        await setup.store.async_return_from_copy()
    else:
        setup.store.discard_history()
    later = await setup.async_start_instance()
    with pytest.raises(HistoryGoneError):
        await later.async_versions_since()


async def test_checkpoint_of_an_instance_that_follows_the_new_era_is_continued(
    setup: Setup,
) -> None:
    setup.store.take_copy()
    setup.store.go_away()
    await setup.store.async_return_from_copy()
    earlier = await setup.async_start_instance()
    await earlier.async_write()
    await setup.async_put("i-2", "v2")
    later = await setup.async_start_instance()
    assert await later.async_versions_since() == {SERVICE: {"v2"}}


async def test_instance_without_entries_neither_reads_nor_writes_a_checkpoint(
    setup: Setup,
) -> None:
    first = await setup.async_start_instance()
    assert await first.async_versions_since() is None
    unread, _ = setup.make_instance()
    await unread.async_write()
    assert await first.async_versions_since() is None
    with pytest.raises(PlatformUnavailableError):
        await unread.async_versions_since()


async def test_unreadable_checkpoint_is_no_checkpoint(setup: Setup) -> None:
    await setup.store.async_put("checkpoint", "software", json.dumps("x").encode())
    later = await setup.async_start_instance()
    with pytest.raises(PlatformUnavailableError):
        await later.async_versions_since()

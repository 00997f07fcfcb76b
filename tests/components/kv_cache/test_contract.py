"""Clients of engines and stores follow the protocol, also under injected faults."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from banyanswitch.components.kv_cache.engine_client import EngineCacheClient
from banyanswitch.components.kv_cache.errors import (
    StoredPrefixLostError,
    StoreUnavailableError,
    TransferError,
    UpstreamTransferError,
)
from banyanswitch.components.kv_cache.pins import PinTable
from banyanswitch.components.kv_cache.store_client import KvStoreClient
from banyanswitch.components.kv_cache.transfers import (
    PrefixTransferrer,
    TransferRoute,
)
from banyanswitch.decisions.cache_view import CacheEventKind
from banyanswitch.decisions.prefix import cache_salt
from banyanswitch_standins.engine.cache import PieceOrigin
from banyanswitch_standins.engine.stand_in import EngineStandIn
from banyanswitch_standins.kv_store import KvStoreStandIn
from tests.components.kv_cache.test_transfers import EXPORT, IMPORT_PLAN, KEYS, NAME

ORIGIN = PieceOrigin("v1", cache_salt("shop", "v1"))


@dataclass
class Harness:
    session: aiohttp.ClientSession
    source: EngineStandIn
    target: EngineStandIn
    store: KvStoreClient
    engines: EngineCacheClient
    transferrer: PrefixTransferrer
    export_route: TransferRoute
    import_route: TransferRoute

    async def inject(
        self, url: str, route: str, kind: str, times: int | None = 1
    ) -> None:
        fault = {"route": route, "kind": kind, "times": times}
        async with self.session.post(f"{url}/faults", json=fault) as response:
            assert response.status == 200


@pytest.fixture
async def harness() -> AsyncIterator[Harness]:
    source, target = EngineStandIn(), EngineStandIn()
    stand_ins = (source, target, KvStoreStandIn())
    servers = [TestServer(each.build_application()) for each in stand_ins]
    for server in servers:
        await server.start_server()
    urls = [str(server.make_url("")).rstrip("/") for server in servers]
    async with aiohttp.ClientSession() as session:
        store, engines = KvStoreClient(session), EngineCacheClient(session)
        for key in KEYS:
            source.cache.store(key, ORIGIN)
        yield Harness(
            session,
            source,
            target,
            store,
            engines,
            PrefixTransferrer(store, engines, PinTable(), "a"),
            TransferRoute(urls[0], urls[2]),
            TransferRoute(urls[1], urls[2]),
        )
    for server in servers:
        await server.close()


async def test_prefix_is_transferred_between_engines(harness: Harness) -> None:
    manifest = await harness.transferrer.async_export(EXPORT, harness.export_route)
    assert await harness.transferrer.async_import(
        IMPORT_PLAN, harness.import_route
    ) == len(KEYS)
    assert harness.target.cache.leading_hits(KEYS, ORIGIN) == len(KEYS)
    status = await harness.store.async_status(harness.import_route.store_url)
    assert status.memory_used_bytes == manifest.size_bytes


@pytest.mark.parametrize(
    ("kind", "times"),
    [("torn", 1), ("corrupt", 1), ("fail", 1), ("refuse", None)],
)
async def test_unreadable_block_is_not_imported(
    harness: Harness, kind: str, times: int | None
) -> None:
    # The HTTP library retries a request that is refused once, and then succeeds.
    await harness.transferrer.async_export(EXPORT, harness.export_route)
    await harness.inject(harness.import_route.store_url, "/blocks", kind, times)
    with pytest.raises(TransferError):
        await harness.transferrer.async_import(IMPORT_PLAN, harness.import_route)
    assert harness.target.cache.keys() == []


@pytest.mark.parametrize("kind", ["fail", "refuse", "lose_answer"])
@pytest.mark.parametrize("route", ["/blocks", "/manifests/prefix"])
async def test_failed_export_leaves_nothing_to_import(
    harness: Harness, route: str, kind: str
) -> None:
    await harness.inject(harness.export_route.store_url, route, kind)
    try:
        await harness.transferrer.async_export(EXPORT, harness.export_route)
    except TransferError:
        with pytest.raises(TransferError):
            await harness.transferrer.async_import(IMPORT_PLAN, harness.import_route)
        assert harness.target.cache.keys() == []
        return
    assert await harness.transferrer.async_import(
        IMPORT_PLAN, harness.import_route
    ) == len(KEYS)


async def test_import_with_lost_response_is_dropped(harness: Harness) -> None:
    await harness.transferrer.async_export(EXPORT, harness.export_route)
    url = harness.import_route.upstream_url
    await harness.inject(url, "/engine/kv/import", "lose_answer")
    with pytest.raises(UpstreamTransferError):
        await harness.transferrer.async_import(IMPORT_PLAN, harness.import_route)
    assert harness.target.cache.keys() == []


async def test_store_requests(harness: Harness) -> None:
    url = harness.export_route.store_url
    await harness.transferrer.async_export(EXPORT, harness.export_route)
    assert await harness.store.async_get_manifest(url, NAME) is not None
    await harness.store.async_delete_manifest(url, NAME)
    await harness.store.async_delete_manifest(url, NAME)
    assert await harness.store.async_get_manifest(url, NAME) is None
    with pytest.raises(StoredPrefixLostError):
        await harness.transferrer.async_import(IMPORT_PLAN, harness.import_route)
    await harness.inject(url, "/status", "fail")
    with pytest.raises(StoreUnavailableError):
        await harness.store.async_status(url)


async def test_engine_cache_events(harness: Harness) -> None:
    url = harness.export_route.upstream_url
    response = await harness.engines.async_events(url, 1)
    assert [event.key for event in response.events] == list(KEYS[1:])
    assert {event.kind for event in response.events} == {CacheEventKind.STORED}
    assert (response.oldest_sequence, response.newest_sequence) == (1, len(KEYS))
    await harness.engines.async_drop(url, KEYS[2:])
    keys = await harness.engines.async_keys(url)
    assert (keys.keys, keys.sequence) == (KEYS[:2], 6)

"""The clients speak with engines and stores as the protocol says, also under faults."""

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
from tests.components.kv_cache.test_transfers import EXPORT, KEYS, NAME, ORDER

ORIGIN = PieceOrigin("v1", cache_salt("shop", "v1"))


@dataclass
class Bed:
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
async def bed() -> AsyncIterator[Bed]:
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
        yield Bed(
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


async def test_prefix_goes_from_one_engine_to_another(bed: Bed) -> None:
    manifest = await bed.transferrer.async_export(EXPORT, bed.export_route)
    assert await bed.transferrer.async_import(ORDER, bed.import_route) == len(KEYS)
    assert bed.target.cache.leading_hits(KEYS, ORIGIN) == len(KEYS)
    status = await bed.store.async_status(bed.import_route.store_url)
    assert status.memory_used_bytes == manifest.size_bytes


@pytest.mark.parametrize(
    ("kind", "times"),
    [("torn", 1), ("corrupt", 1), ("fail", 1), ("refuse", None)],
)
async def test_block_that_can_not_be_read_whole_is_not_imported(
    bed: Bed, kind: str, times: int | None
) -> None:
    # A request refused once is repeated by the HTTP library and then succeeds.
    await bed.transferrer.async_export(EXPORT, bed.export_route)
    await bed.inject(bed.import_route.store_url, "/blocks", kind, times)
    with pytest.raises(TransferError):
        await bed.transferrer.async_import(ORDER, bed.import_route)
    assert bed.target.cache.keys() == []


@pytest.mark.parametrize("kind", ["fail", "refuse", "lose_answer"])
@pytest.mark.parametrize("route", ["/blocks", "/manifests/prefix"])
async def test_export_that_fails_leaves_nothing_that_can_be_imported(
    bed: Bed, route: str, kind: str
) -> None:
    await bed.inject(bed.export_route.store_url, route, kind)
    try:
        await bed.transferrer.async_export(EXPORT, bed.export_route)
    except TransferError:
        with pytest.raises(TransferError):
            await bed.transferrer.async_import(ORDER, bed.import_route)
        assert bed.target.cache.keys() == []
        return
    assert await bed.transferrer.async_import(ORDER, bed.import_route) == len(KEYS)


async def test_import_whose_answer_is_lost_is_dropped(bed: Bed) -> None:
    await bed.transferrer.async_export(EXPORT, bed.export_route)
    url = bed.import_route.upstream_url
    await bed.inject(url, "/engine/kv/import", "lose_answer")
    with pytest.raises(UpstreamTransferError):
        await bed.transferrer.async_import(ORDER, bed.import_route)
    assert bed.target.cache.keys() == []


async def test_calls_of_the_store(bed: Bed) -> None:
    url = bed.export_route.store_url
    await bed.transferrer.async_export(EXPORT, bed.export_route)
    assert await bed.store.async_get_manifest(url, NAME) is not None
    await bed.store.async_delete_manifest(url, NAME)
    await bed.store.async_delete_manifest(url, NAME)
    assert await bed.store.async_get_manifest(url, NAME) is None
    with pytest.raises(StoredPrefixLostError):
        await bed.transferrer.async_import(ORDER, bed.import_route)
    await bed.inject(url, "/status", "fail")
    with pytest.raises(StoreUnavailableError):
        await bed.store.async_status(url)


async def test_cache_events_of_the_engine(bed: Bed) -> None:
    url = bed.export_route.upstream_url
    answer = await bed.engines.async_events(url, 1)
    assert [event.key for event in answer.events] == list(KEYS[1:])
    assert {event.kind for event in answer.events} == {CacheEventKind.STORED}
    assert (answer.oldest_sequence, answer.newest_sequence) == (1, len(KEYS))
    await bed.engines.async_drop(url, KEYS[2:])
    keys = await bed.engines.async_keys(url)
    assert (keys.keys, keys.sequence) == (KEYS[:2], 6)

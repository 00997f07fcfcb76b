"""Imports never use freed, partly written or another workspace's blocks."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

import pytest

from banyanswitch.components.kv_cache.const import FREE_GRACE_S, IMPORT_TIMEOUT_S
from banyanswitch.components.kv_cache.errors import (
    ManifestRefusedError,
    StoredPrefixLostError,
    StoreUnavailableError,
    TransferError,
    UpstreamTransferError,
)
from banyanswitch.components.kv_cache.manifests import (
    decode_manifest,
    encode_manifest,
    manifest_name,
)
from banyanswitch.components.kv_cache.models import ImportPlan, Manifest
from banyanswitch.components.kv_cache.pins import PinTable
from banyanswitch.components.kv_cache.transfers import (
    PrefixTransferrer,
    TransferRoute,
)
from banyanswitch.decisions.prefix import cache_salt, chained_piece_hashes
from banyanswitch.decisions.reuse_models import Export, StoreTier
from tests.fakes.kv import FakeEngine, FakeKvStore

ROUTE = TransferRoute("http://engine", "http://store")
KEYS = chained_piece_hashes(b"x" * 40, 10, cache_salt("shop", "v1"))
NAME = manifest_name(KEYS[-1])
EXPORT = Export(
    workspace="shop",
    weight_version="v1",
    upstream="r1",
    store="s1",
    tier=StoreTier.MEMORY,
    manifest=KEYS[-1],
    piece_hashes=KEYS,
    stored_pieces=0,
    size_bytes=40,
)
IMPORT_PLAN = ImportPlan(
    workspace="shop",
    weight_version="v1",
    upstream="r2",
    store="s1",
    manifest=KEYS[-1],
    pieces=len(KEYS),
    piece_hashes=KEYS,
)


@dataclass
class Harness:
    store: FakeKvStore
    source: FakeEngine
    target: FakeEngine
    exporter: PrefixTransferrer
    importer: PrefixTransferrer
    other_instance: PrefixTransferrer


@pytest.fixture
def harness() -> Harness:
    store = FakeKvStore()
    source, target = FakeEngine(store), FakeEngine(store)
    source.compute(*KEYS)
    pins = PinTable()
    return Harness(
        store,
        source,
        target,
        PrefixTransferrer(store, source, pins, "a"),
        PrefixTransferrer(store, target, pins, "b"),
        PrefixTransferrer(store, target, PinTable(), "c"),
    )


def change_manifest(harness: Harness, change: Callable[[Manifest], Manifest]) -> None:
    manifest = decode_manifest(harness.store.manifests[NAME])
    harness.store.manifests[NAME] = encode_manifest(change(manifest))


async def test_manifest_is_written_after_the_last_block(harness: Harness) -> None:
    manifest = await harness.exporter.async_export(EXPORT, ROUTE)
    assert harness.store.log.index("put_manifest") > max(
        index for index, call in enumerate(harness.store.log) if call == "put_block"
    )
    assert [piece.key for piece in manifest.pieces] == list(KEYS)
    assert await harness.importer.async_import(IMPORT_PLAN, ROUTE) == len(KEYS)
    assert harness.target.cache == harness.source.cache


async def test_blocks_of_two_generations_have_different_names(harness: Harness) -> None:
    first = await harness.exporter.async_export(EXPORT, ROUTE)
    harness.store.manifests.clear()
    second = await harness.exporter.async_export(EXPORT, ROUTE)
    names = {piece.block for piece in first.pieces + second.pieces}
    assert len(names) == 2 * len(KEYS)


async def test_stored_prefix_is_not_written_again(
    harness: Harness,
) -> None:
    first = await harness.exporter.async_export(EXPORT, ROUTE)
    assert await harness.importer.async_export(EXPORT, ROUTE) == first
    assert len(harness.store.blocks) == len(KEYS)


async def test_longer_prefix_reuses_the_blocks_of_the_shorter_one(
    harness: Harness,
) -> None:
    short = replace(EXPORT, manifest=KEYS[1], piece_hashes=KEYS[:2])
    shorter = await harness.exporter.async_export(short, ROUTE)
    longer = await harness.exporter.async_export(
        replace(EXPORT, stored_pieces=2, replaces=KEYS[1]), ROUTE
    )
    assert longer.pieces[:2] == shorter.pieces
    assert set(harness.store.manifests) == {NAME}
    assert len(harness.store.blocks) == len(KEYS)
    assert await harness.importer.async_import(IMPORT_PLAN, ROUTE) == len(KEYS)


@pytest.mark.parametrize("broken_after", [0, 2, 3])
async def test_engine_failure_during_export_leaves_no_manifest(
    harness: Harness, broken_after: int
) -> None:
    harness.source.export_fails_after_blocks = broken_after
    with pytest.raises(UpstreamTransferError):
        await harness.exporter.async_export(EXPORT, ROUTE)
    assert (harness.store.manifests, harness.store.blocks) == ({}, {})


async def test_partly_evicted_prefix_is_not_published(harness: Harness) -> None:
    del harness.source.cache[KEYS[2]]
    with pytest.raises(UpstreamTransferError):
        await harness.exporter.async_export(EXPORT, ROUTE)
    assert (harness.store.manifests, harness.store.blocks) == ({}, {})


@pytest.mark.parametrize("call", ["put_block", "put_manifest"])
async def test_store_failure_during_export_leaves_nothing_to_import(
    harness: Harness, call: str
) -> None:
    harness.store.failing_calls = {call}
    with pytest.raises(StoreUnavailableError):
        await harness.exporter.async_export(EXPORT, ROUTE)
    harness.store.failing_calls.clear()
    with pytest.raises(StoredPrefixLostError):
        await harness.importer.async_import(IMPORT_PLAN, ROUTE)
    assert harness.target.cache == {}


@pytest.mark.parametrize(
    "damage",
    [lambda block: block[:-1], lambda block: b"", lambda block: block[::-1]],
    ids=["torn", "empty", "corrupt"],
)
@pytest.mark.parametrize("position", [0, 3])
async def test_damaged_block_is_not_imported(
    harness: Harness, damage: Callable[[bytes], bytes], position: int
) -> None:
    manifest = await harness.exporter.async_export(EXPORT, ROUTE)
    name = manifest.pieces[position].block
    harness.store.blocks[name] = damage(harness.store.blocks[name])
    with pytest.raises(StoredPrefixLostError):
        await harness.importer.async_import(IMPORT_PLAN, ROUTE)
    assert harness.target.cache == {}


async def test_truncated_manifest_is_not_imported(harness: Harness) -> None:
    await harness.exporter.async_export(EXPORT, ROUTE)
    harness.store.manifests[NAME] = harness.store.manifests[NAME][:-10]
    with pytest.raises(StoredPrefixLostError):
        await harness.importer.async_import(IMPORT_PLAN, ROUTE)


async def test_pieces_with_wrong_digest_are_dropped(harness: Harness) -> None:
    await harness.exporter.async_export(EXPORT, ROUTE)
    harness.target.reports_wrong_digests = True
    with pytest.raises(StoredPrefixLostError):
        await harness.importer.async_import(IMPORT_PLAN, ROUTE)
    assert harness.target.cache == {}


@pytest.mark.parametrize(
    "change",
    [
        lambda manifest: replace(manifest, workspace="other"),
        lambda manifest: replace(manifest, weight_version="v2"),
        lambda manifest: replace(manifest, cache_salt=cache_salt("other", "v1")),
        lambda manifest: replace(manifest, pieces=manifest.pieces[1:]),
        lambda manifest: replace(manifest, pieces=manifest.pieces[::-1]),
        lambda manifest: replace(manifest, pieces=()),
    ],
    ids=["workspace", "version", "salt", "first_missing", "reordered", "empty"],
)
async def test_manifest_of_another_prefix_is_refused(
    harness: Harness, change: Callable[[Manifest], Manifest]
) -> None:
    await harness.exporter.async_export(EXPORT, ROUTE)
    change_manifest(harness, change)
    with pytest.raises(ManifestRefusedError):
        await harness.importer.async_import(IMPORT_PLAN, ROUTE)
    assert harness.target.cache == {}


def test_manifest_names_differ_by_workspace_and_version() -> None:
    salts = [("shop", "v1"), ("shop", "v2"), ("shopv", "1"), ("other", "v1")]
    names = {
        manifest_name(chained_piece_hashes(b"x" * 40, 10, cache_salt(*salt))[-1])
        for salt in salts
    }
    assert len(names) == len(salts)


@pytest.mark.looptime
@pytest.mark.parametrize("reader", ["importer", "other_instance"])
async def test_prefix_freed_during_import(harness: Harness, reader: str) -> None:
    await harness.exporter.async_export(EXPORT, ROUTE)
    harness.target.block_read_s = IMPORT_TIMEOUT_S / (len(KEYS) + 1)
    transferrer: PrefixTransferrer = getattr(harness, reader)
    reading = asyncio.create_task(transferrer.async_import(IMPORT_PLAN, ROUTE))
    await asyncio.sleep(0.1)
    freeing = asyncio.create_task(harness.exporter.async_free(ROUTE.store_url, NAME))
    await asyncio.sleep(0.1)
    with pytest.raises(StoredPrefixLostError):
        await transferrer.async_import(IMPORT_PLAN, ROUTE)
    assert await reading == len(KEYS)
    assert harness.target.cache == harness.source.cache
    assert await freeing
    assert (harness.store.manifests, harness.store.blocks) == ({}, {})


@pytest.mark.looptime
async def test_prefix_exported_again_while_being_freed_is_retained(
    harness: Harness,
) -> None:
    await harness.exporter.async_export(EXPORT, ROUTE)
    freeing = asyncio.create_task(harness.exporter.async_free(ROUTE.store_url, NAME))
    await asyncio.sleep(1.0)
    await harness.exporter.async_export(EXPORT, ROUTE)
    assert await freeing
    assert await harness.importer.async_import(IMPORT_PLAN, ROUTE) == len(KEYS)


@pytest.mark.looptime
async def test_blocks_are_retained_if_the_manifest_cannot_be_deleted(
    harness: Harness,
) -> None:
    await harness.exporter.async_export(EXPORT, ROUTE)
    harness.store.failing_calls = {"delete_manifest"}
    assert not await harness.exporter.async_free(ROUTE.store_url, NAME)
    await asyncio.sleep(2 * FREE_GRACE_S)
    assert await harness.importer.async_import(IMPORT_PLAN, ROUTE) == len(KEYS)


@pytest.mark.looptime
async def test_import_that_times_out_is_dropped(harness: Harness) -> None:
    await harness.exporter.async_export(EXPORT, ROUTE)
    harness.target.block_read_s = IMPORT_TIMEOUT_S
    started_at_s = asyncio.get_running_loop().time()
    with pytest.raises(TransferError):
        await harness.importer.async_import(IMPORT_PLAN, ROUTE, timeout_s=1.0)
    assert asyncio.get_running_loop().time() - started_at_s == pytest.approx(1.0)
    assert harness.target.cache == {}

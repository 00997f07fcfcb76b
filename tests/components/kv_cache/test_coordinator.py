"""A served prompt is exported, found again, and dropped when a store is full."""

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest

from banyanswitch.components.configuration.packed_records import PackedRecords
from banyanswitch.components.configuration.view import ActiveConfiguration
from banyanswitch.components.kv_cache.const import FREE_GRACE_S, RETIRE_GRACE_S
from banyanswitch.components.kv_cache.coordinator import ReuseCoordinator
from banyanswitch.components.kv_cache.pins import PinTable
from banyanswitch.components.kv_cache.stored_prefixes import StoredPrefixAnnouncer
from banyanswitch.components.kv_cache.stores import StoreStates
from banyanswitch.components.kv_cache.transfers import PrefixTransferrer
from banyanswitch.components.routing.models import PromptServed
from banyanswitch.config import Configuration, Link
from banyanswitch.config.records import to_records
from banyanswitch.core import Kernel
from banyanswitch.decisions.cache_view import CacheView
from banyanswitch.decisions.upstream_pool import UpstreamPool
from banyanswitch.interfaces import ConfigurationChanged, ConfigurationView
from tests.components.kv_cache.test_importer import make_attempt
from tests.components.kv_cache.test_transfers import KEYS, NAME
from tests.config.test_validation import SERVICE, VALID
from tests.fakes.kv import FakeEngine, FakeKvStore
from tests.fakes.peers import FakeNetwork

CONFIGURATION: Configuration = replace(
    VALID,
    services=(replace(SERVICE, piece_size_bytes=20),),
    links=(Link(store="s1", bytes_per_s=1e6),),
)


class Bed:
    def __init__(self) -> None:
        self.kernel = Kernel(settings=None)
        self.store = FakeKvStore()
        self.engine = FakeEngine(self.store)
        self.view = CacheView()
        self.pool = UpstreamPool()
        self.held = held = ActiveConfiguration()
        self.kernel.provide(ConfigurationView, held)
        self.kernel.provide(random.Random, random.Random(1))
        node = FakeNetwork().add(0)
        self.stores = StoreStates(held, self.store, node)
        self.coordinator = ReuseCoordinator(
            self.kernel,
            PrefixTransferrer(self.store, self.engine, PinTable(), "a"),
            self.stores,
            StoredPrefixAnnouncer(node, node, self.view),
            cache_view=self.view,
            pool=self.pool,
        )

    def start(self) -> None:
        """Start in the test, since its clock differs from the fixture's."""
        self.configure(CONFIGURATION)
        self.kernel.create_task(self.coordinator.async_run_exports(), "exports")
        self.kernel.create_task(self.coordinator.async_run_stores(), "stores")

    def configure(self, configuration: Configuration) -> None:
        revision = self.held.revision + 1
        records = PackedRecords.from_records(to_records(configuration))
        self.held.replace(revision, records)
        self.kernel.bus.publish(ConfigurationChanged(revision))

    def serve(self) -> None:
        self.engine.compute(*KEYS)
        self.view.add("r1", KEYS)
        self.kernel.bus.publish(PromptServed(make_attempt(), 0))


@pytest.fixture
async def bed() -> AsyncIterator[Bed]:
    bed = Bed()
    yield bed
    await bed.kernel.async_stop()


@pytest.mark.looptime
async def test_served_prompt_is_exported_and_found(bed: Bed) -> None:
    bed.start()
    bed.serve()
    await asyncio.sleep(10.0)
    assert NAME in bed.store.manifests
    stored = bed.view.stored_match(KEYS)
    assert stored is not None
    assert (stored.store, stored.pieces) == ("s1", len(KEYS))
    view = bed.pool.store("s1")
    assert view is not None
    assert view.is_available


@pytest.mark.looptime
async def test_prompt_is_exported_once(bed: Bed) -> None:
    bed.start()
    for _ in range(5):
        bed.serve()
        await asyncio.sleep(5.0)
    assert bed.store.log.count("put_manifest") == 1


@pytest.mark.looptime
async def test_store_that_fails_is_used_again_when_it_is_back(bed: Bed) -> None:
    bed.start()
    bed.store.failing_calls = {"put_block"}
    bed.serve()
    await asyncio.sleep(10.0)
    assert bed.view.stored_match(KEYS) is None
    bed.store.failing_calls.clear()
    bed.serve()
    await asyncio.sleep(60.0)
    assert bed.view.stored_match(KEYS) is not None


@pytest.mark.looptime
async def test_full_store_is_freed(bed: Bed) -> None:
    bed.start()
    bed.serve()
    await asyncio.sleep(10.0)
    bed.store.blocks["foreign"] = b"x" * 1950
    await asyncio.sleep(60.0)
    assert bed.view.stored_match(KEYS) is None
    assert set(bed.store.blocks) == {"foreign"}
    assert bed.store.manifests == {}


@pytest.mark.looptime
async def test_prefixes_of_a_store_that_died_are_forgotten(bed: Bed) -> None:
    bed.start()
    bed.serve()
    await asyncio.sleep(10.0)
    bed.store.is_down = True
    await asyncio.sleep(60.0)
    assert bed.view.stored_match(KEYS) is None
    view = bed.pool.store("s1")
    assert view is not None
    assert not view.is_available


@pytest.mark.looptime
async def test_prefixes_of_a_version_go_when_no_run_can_use_them(bed: Bed) -> None:
    bed.start()
    bed.serve()
    await asyncio.sleep(10.0)
    service = CONFIGURATION.services[0]
    swapped = replace(service, weight_version="v2")
    bed.configure(replace(CONFIGURATION, services=(swapped,)))
    await asyncio.sleep(service.request_timeout_s)
    assert NAME in bed.store.manifests
    await asyncio.sleep(RETIRE_GRACE_S + FREE_GRACE_S + 1.0)
    assert (bed.store.manifests, bed.store.blocks) == ({}, {})

"""Prefixes of served prompts are stored and found, and deleted if a store is full."""

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


class Harness:
    def __init__(self) -> None:
        self.kernel = Kernel(settings=None)
        self.store = FakeKvStore()
        self.engine = FakeEngine(self.store)
        self.view = CacheView()
        self.pool = UpstreamPool()
        self.configuration = configuration = ActiveConfiguration()
        self.kernel.provide(ConfigurationView, configuration)
        self.kernel.provide(random.Random, random.Random(1))
        node = FakeNetwork().add(0)
        self.stores = StoreStates(configuration, self.store, node)
        self.coordinator = ReuseCoordinator(
            self.kernel,
            PrefixTransferrer(self.store, self.engine, PinTable(), "a"),
            self.stores,
            StoredPrefixAnnouncer(node, node, self.view),
            cache_view=self.view,
            pool=self.pool,
        )

    def start(self) -> None:
        """Start the tasks in the test, since its clock differs from the fixture's."""
        self.configure(CONFIGURATION)
        self.kernel.create_task(self.coordinator.async_run_exports(), "exports")
        self.kernel.create_task(self.coordinator.async_run_stores(), "stores")

    def configure(self, configuration: Configuration) -> None:
        revision = self.configuration.revision + 1
        records = PackedRecords.from_records(to_records(configuration))
        self.configuration.replace(revision, records)
        self.kernel.bus.publish(ConfigurationChanged(revision))

    def serve(self) -> None:
        self.engine.compute(*KEYS)
        self.view.add("r1", KEYS)
        self.kernel.bus.publish(PromptServed(make_attempt(), 0))


@pytest.fixture
async def harness() -> AsyncIterator[Harness]:
    harness = Harness()
    yield harness
    await harness.kernel.async_stop()


@pytest.mark.looptime
async def test_served_prompt_is_exported_and_found(harness: Harness) -> None:
    harness.start()
    harness.serve()
    await asyncio.sleep(10.0)
    assert NAME in harness.store.manifests
    stored = harness.view.stored_match(KEYS)
    assert stored is not None
    assert (stored.store, stored.pieces) == ("s1", len(KEYS))
    view = harness.pool.store("s1")
    assert view is not None
    assert view.is_available


@pytest.mark.looptime
async def test_prompt_is_exported_once(harness: Harness) -> None:
    harness.start()
    for _ in range(5):
        harness.serve()
        await asyncio.sleep(5.0)
    assert harness.store.log.count("put_manifest") == 1


@pytest.mark.looptime
async def test_failed_store_is_used_again_after_recovery(harness: Harness) -> None:
    harness.start()
    harness.store.failing_calls = {"put_block"}
    harness.serve()
    await asyncio.sleep(10.0)
    assert harness.view.stored_match(KEYS) is None
    harness.store.failing_calls.clear()
    harness.serve()
    await asyncio.sleep(60.0)
    assert harness.view.stored_match(KEYS) is not None


@pytest.mark.looptime
async def test_full_store_is_freed(harness: Harness) -> None:
    harness.start()
    harness.serve()
    await asyncio.sleep(10.0)
    harness.store.blocks["foreign"] = b"x" * 1950
    await asyncio.sleep(60.0)
    assert harness.view.stored_match(KEYS) is None
    assert set(harness.store.blocks) == {"foreign"}
    assert harness.store.manifests == {}


@pytest.mark.looptime
async def test_prefixes_of_a_failed_store_are_removed(harness: Harness) -> None:
    harness.start()
    harness.serve()
    await asyncio.sleep(10.0)
    harness.store.is_down = True
    await asyncio.sleep(60.0)
    assert harness.view.stored_match(KEYS) is None
    view = harness.pool.store("s1")
    assert view is not None
    assert not view.is_available


@pytest.mark.looptime
async def test_prefixes_of_an_old_version_are_deleted_when_unused(
    harness: Harness,
) -> None:
    harness.start()
    harness.serve()
    await asyncio.sleep(10.0)
    service = CONFIGURATION.services[0]
    swapped = replace(service, weight_version="v2")
    harness.configure(replace(CONFIGURATION, services=(swapped,)))
    await asyncio.sleep(service.request_timeout_s)
    assert NAME in harness.store.manifests
    await asyncio.sleep(RETIRE_GRACE_S + FREE_GRACE_S + 1.0)
    assert (harness.store.manifests, harness.store.blocks) == ({}, {})

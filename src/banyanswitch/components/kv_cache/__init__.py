"""Export of KV cache prefixes to stores, their import and their deletion."""

import uuid
from typing import cast

import aiohttp

from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.kv_cache.cache_events import CacheEventPoller
from banyanswitch.components.kv_cache.const import DOMAIN
from banyanswitch.components.kv_cache.coordinator import ReuseCoordinator
from banyanswitch.components.kv_cache.engine_client import EngineCacheClient
from banyanswitch.components.kv_cache.importer import StoredPrefixImporter
from banyanswitch.components.kv_cache.pins import PinTable
from banyanswitch.components.kv_cache.store_client import KvStoreClient
from banyanswitch.components.kv_cache.stored_prefixes import StoredPrefixAnnouncer
from banyanswitch.components.kv_cache.stores import StoreStates
from banyanswitch.components.kv_cache.transfers import PrefixTransferrer
from banyanswitch.components.routing.model_runs import ModelRuns
from banyanswitch.components.routing.models import PromptServed
from banyanswitch.components.routing.placement import AttemptPlacer
from banyanswitch.components.routing.pools import UpstreamPools
from banyanswitch.const import HEADER_CALLER
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.interfaces import ConfigurationView, PeerDirectory, PeerTransport
from banyanswitch.settings import EntrySettings

__all__ = ["DOMAIN", "async_setup"]


async def async_setup(kernel: Kernel) -> None:
    """Set up prompt reuse through stores and polling of cache events."""
    settings = cast(EntrySettings, kernel.settings)
    configuration = kernel.require(ConfigurationView)
    directory = kernel.require(PeerDirectory)
    placer = kernel.require(AttemptPlacer)
    cache_view = placer.cache_view
    session = aiohttp.ClientSession(
        connector=LimitedConnector(), headers={HEADER_CALLER: settings.instance}
    )
    kernel.on_stop(DOMAIN, session.close)
    engines = EngineCacheClient(session)
    store_client = KvStoreClient(session)
    stores = StoreStates(configuration, store_client, directory, placer.links)
    transferrer = PrefixTransferrer(
        store_client, engines, PinTable(), incarnation=uuid.uuid4().hex[:16]
    )
    announcer = StoredPrefixAnnouncer(
        directory, kernel.require(PeerTransport), cache_view
    )
    pool = kernel.require(UpstreamPools).pool
    coordinator = ReuseCoordinator(
        kernel, transferrer, stores, announcer, cache_view=cache_view, pool=pool
    )
    poller = CacheEventPoller(configuration, engines, cache_view)
    kernel.bus.subscribe(
        PromptServed, lambda message: poller.note_used(message.attempt.place.upstream)
    )
    kernel.require(ModelRuns).set_importer(
        StoredPrefixImporter(transferrer, stores, cache_view, coordinator.on_lost)
    )
    kernel.create_task(coordinator.async_run_exports(), "kv_cache_exports")
    kernel.create_task(coordinator.async_run_stores(), "kv_cache_stores")
    kernel.create_task(announcer.async_run(), "kv_cache_announcements")
    kernel.create_task(poller.async_run(), "kv_cache_events")


REGISTRY.register(
    DOMAIN, async_setup, depends_on=("routing", "peers", "membership", "configuration")
)

"""Export of prefixes to stores, and announcement and deletion of stored prefixes."""

import asyncio
import random

import structlog

from banyanswitch.components.kv_cache.const import (
    EXPORT_INTERVAL_S,
    MAX_CONCURRENT_EXPORTS,
    RETIRE_GRACE_S,
    STATUS_INTERVAL_S,
)
from banyanswitch.components.kv_cache.errors import TransferError
from banyanswitch.components.kv_cache.manifests import manifest_name
from banyanswitch.components.kv_cache.models import Manifest
from banyanswitch.components.kv_cache.stored_prefixes import StoredPrefixAnnouncer
from banyanswitch.components.kv_cache.stores import StoreStates
from banyanswitch.components.kv_cache.transfers import (
    PrefixTransferrer,
    TransferRoute,
)
from banyanswitch.components.routing.models import Attempt, PromptServed
from banyanswitch.config.models import Service, Upstream
from banyanswitch.core import Kernel, callback
from banyanswitch.decisions.cache_view import CacheView, StoredPrefix
from banyanswitch.decisions.reuse import ReusePlanner
from banyanswitch.decisions.reuse_models import (
    Drop,
    Export,
    PromptUse,
    ReuseSettings,
    StoreTier,
)
from banyanswitch.decisions.upstream_pool import UpstreamPool
from banyanswitch.identifiers import ServiceName, WeightVersion
from banyanswitch.interfaces import ConfigurationChanged, ConfigurationView

LOGGER = structlog.get_logger(__name__)


class ReuseCoordinator:
    """Execute the exports and deletions that the reuse planners decide on.

    Each model service has a planner of its own.

    Parameters
    ----------
    kernel : Kernel
        Runs the transfers and delivers ``PromptServed``.
    pool : UpstreamPool
        Receives the state of stores and links, for placement.
    """

    def __init__(
        self,
        kernel: Kernel,
        transferrer: PrefixTransferrer,
        stores: StoreStates,
        announcer: StoredPrefixAnnouncer,
        *,
        cache_view: CacheView,
        pool: UpstreamPool,
    ) -> None:
        self._kernel = kernel
        self._configuration = kernel.require(ConfigurationView)
        self._generator = kernel.require(random.Random)
        self._transferrer = transferrer
        self._stores = stores
        self._announcer = announcer
        self._cache_view = cache_view
        self._pool = pool
        self._planners: dict[ServiceName, ReusePlanner] = {}
        self._exports_running = 0
        self._versions: dict[ServiceName, WeightVersion | None] = {}
        kernel.bus.subscribe(PromptServed, self._on_prompt_served)
        kernel.bus.subscribe(ConfigurationChanged, self._on_configuration_changed)

    @callback
    def on_lost(self, attempt: Attempt, stored: StoredPrefix) -> None:
        """Remove a stored prefix that could not be read."""
        planner = self._planners.get(attempt.request.service)
        if planner is None:
            self._cache_view.discard_stored(attempt.request.piece_hashes[-1])
            return
        planner.on_lost(stored)

    async def async_run_exports(self) -> None:
        """Update store and link states and start exports, until cancelled."""
        while True:
            await asyncio.sleep(EXPORT_INTERVAL_S)
            self._stores.refresh_links()
            for view in self._stores.views():
                self._pool.update_store(view)
            for planner in tuple(self._planners.values()):
                self._start_exports(planner)

    async def async_run_stores(self) -> None:
        """Poll the stores and delete prefixes from full ones, until cancelled."""
        while True:
            for store in await self._stores.async_poll():
                LOGGER.warning("store_lost", store=store)
                for planner in self._planners.values():
                    planner.on_store_lost(store)
            self._start_drops()
            await asyncio.sleep(STATUS_INTERVAL_S)

    @callback
    def _on_prompt_served(self, message: PromptServed) -> None:
        request = message.attempt.request
        upstream = self._configuration.upstream(message.attempt.place.upstream)
        service = self._configuration.service(request.service)
        if upstream is None or service is None or request.weight_version is None:
            return
        use = PromptUse(
            workspace=request.workspace,
            weight_version=request.weight_version,
            piece_hashes=request.piece_hashes,
            upstream=upstream.name,
            failure_domain=upstream.failure_domain,
        )
        self._planner(service, upstream).on_used(use, self._kernel.now_s)

    @callback
    def _on_configuration_changed(self, _message: ConfigurationChanged) -> None:
        for service in self._configuration.services():
            planner = self._planners.get(service.name)
            if planner is not None:
                planner.set_policy(service.reuse, service.piece_size_bytes)
            old = self._versions.get(service.name)
            self._versions[service.name] = service.weight_version
            if old is not None and old != service.weight_version:
                self._kernel.create_task(
                    self._async_retire(service, old), f"retire {old}"
                )

    async def _async_retire(self, service: Service, version: WeightVersion) -> None:
        """Delete the stored prefixes of a version once no run can use them."""
        await asyncio.sleep(service.request_timeout_s + RETIRE_GRACE_S)
        planner = self._planners.get(service.name)
        if planner is None or self._versions.get(service.name) == version:
            return
        for drop in planner.retire_version(version):
            self._start_drop(drop)

    def _planner(self, service: Service, upstream: Upstream) -> ReusePlanner:
        planner = self._planners.get(service.name)
        if planner is None:
            settings = ReuseSettings(
                weights=service.reuse,
                piece_size_bytes=service.piece_size_bytes,
                piece_prefill_s=service.piece_tokens / upstream.prefill_tokens_per_s,
            )
            planner = ReusePlanner(
                settings, self._cache_view, self._stores.links, self._generator
            )
            self._planners[service.name] = planner
        return planner

    def _start_exports(self, planner: ReusePlanner) -> None:
        spaces = self._stores.spaces()
        while spaces and self._exports_running < MAX_CONCURRENT_EXPORTS:
            export = planner.next_export(spaces, self._kernel.now_s)
            if export is None:
                return
            self._exports_running += 1
            self._kernel.create_task(
                self._async_export(planner, export), f"export {export.manifest}"
            )

    async def _async_export(self, planner: ReusePlanner, export: Export) -> None:
        started_at_s = self._kernel.now_s
        try:
            manifest = await self._async_transfer(export)
        except TransferError as error:
            LOGGER.info(
                "prefix_not_exported", upstream=export.upstream, reason=str(error)
            )
            planner.on_export_failed(export, self._kernel.now_s)
            return
        finally:
            self._exports_running -= 1
        is_on_disk = export.tier is StoreTier.DISK
        now_s = self._kernel.now_s
        planner.on_exported(export, now_s - started_at_s, now_s, is_on_disk=is_on_disk)
        stored = _stored_prefix(export, manifest, is_on_disk=is_on_disk)
        self._announcer.add(export.workspace, stored)

    async def _async_transfer(self, export: Export) -> Manifest:
        upstream = self._configuration.upstream(export.upstream)
        store_url = self._stores.url(export.store)
        if upstream is None or store_url is None:
            raise TransferError(
                f"upstream {export.upstream} or store {export.store} was removed"
            )
        route = TransferRoute(upstream.url.rstrip("/"), store_url)
        return await self._transferrer.async_export(export, route)

    def _start_drops(self) -> None:
        for space in self._stores.spaces():
            bytes_to_free = self._stores.bytes_to_free(space.store)
            if bytes_to_free == 0:
                continue
            for planner in self._planners.values():
                now_s = self._kernel.now_s
                for drop in planner.next_drops(space.store, bytes_to_free, now_s):
                    self._start_drop(drop)

    def _start_drop(self, drop: Drop) -> None:
        self._kernel.create_task(self._async_drop(drop), f"drop {drop.manifest}")

    async def _async_drop(self, drop: Drop) -> None:
        store_url = self._stores.url(drop.store)
        if store_url is not None:
            name = manifest_name(drop.manifest)
            await self._transferrer.async_free(store_url, name)


def _stored_prefix(
    export: Export, manifest: Manifest, *, is_on_disk: bool
) -> StoredPrefix:
    return StoredPrefix(
        store=export.store,
        manifest=export.manifest,
        pieces=len(manifest.pieces),
        size_bytes=manifest.size_bytes,
        is_on_disk=is_on_disk,
    )

"""State of the KV stores and of the links to them."""

import asyncio

import structlog

from banyanswitch.components.kv_cache.const import (
    FREE_SPACE_SHARE,
    INSTANCES_PER_WORKSPACE,
    STORE_LOST_AFTER_S,
)
from banyanswitch.components.kv_cache.errors import StoreUnavailableError
from banyanswitch.components.kv_cache.store_client import KvStoreClient, StoreStatus
from banyanswitch.config.models import KvStore, Link
from banyanswitch.decisions.link_budget import LinkBudget, LinkBudgets, LinkSettings
from banyanswitch.decisions.reuse_models import StoreSpace
from banyanswitch.decisions.upstream_pool import StoreView
from banyanswitch.identifiers import StoreId, WorkspaceId
from banyanswitch.interfaces import ConfigurationView, PeerDirectory

LOGGER = structlog.get_logger(__name__)


class StoreStates:
    """Last known status of each store, and this instance's budget for each link.

    Parameters
    ----------
    client : KvStoreClient
        Reads the status of stores.
    directory : PeerDirectory
        Lists the instances among which the background share and the workspaces'
        shares of a link are divided.
    links : LinkBudgets, optional
        Budgets that are shared with placement.
    """

    def __init__(
        self,
        configuration: ConfigurationView,
        client: KvStoreClient,
        directory: PeerDirectory,
        links: LinkBudgets | None = None,
    ) -> None:
        self.links = LinkBudgets() if links is None else links
        self._configuration = configuration
        self._client = client
        self._directory = directory
        self._link_settings: dict[StoreId, LinkSettings] = {}
        self._statuses: dict[StoreId, StoreStatus] = {}
        self._last_status_at_s: dict[StoreId, float] = {}

    def url(self, store: StoreId) -> str | None:
        """Return the URL of a store, or ``None`` if it is not configured."""
        for known in self._configuration.stores():
            if known.name == store:
                return known.url.rstrip("/")
        return None

    def refresh_links(self) -> None:
        """Update the link budgets to the configured links and number of instances."""
        entries = max(1, len(self._directory.peers()))
        for link in self._configuration.links():
            settings = _link_settings(link, entries)
            if self._link_settings.get(link.store) == settings:
                continue
            self._link_settings[link.store] = settings
            budget = LinkBudget(settings, self._workspace_share, _now_s())
            self.links.put(link.store, budget)

    async def async_poll(self) -> tuple[StoreId, ...]:
        """Read the status of all stores.

        Returns
        -------
        lost : tuple of StoreId
            Stores whose time without a response has just reached
            ``STORE_LOST_AFTER_S``.
        """
        stores = self._configuration.stores()
        results = await asyncio.gather(*(self._async_poll(store) for store in stores))
        return tuple(
            store.name
            for store, is_lost in zip(stores, results, strict=True)
            if is_lost
        )

    def spaces(self) -> tuple[StoreSpace, ...]:
        """Return the free space of the stores that responded to the last poll."""
        return tuple(
            _store_space(store, self._statuses[store.name])
            for store in self._configuration.stores()
            if store.name in self._statuses
        )

    def views(self) -> tuple[StoreView, ...]:
        """Return the state of stores and links, for placement."""
        views: list[StoreView] = []
        for store in self._configuration.stores():
            budget = self.links.get(store.name)
            if budget is None:
                continue
            view = budget.view(_now_s())
            is_available = view.is_available and store.name in self._statuses
            views.append(
                StoreView(
                    store=view.store,
                    bytes_per_s=view.bytes_per_s,
                    queued_bytes=view.queued_bytes,
                    is_available=is_available,
                )
            )
        return tuple(views)

    def bytes_to_free(self, store: StoreId) -> int:
        """Return how many bytes must be deleted to restore a store's free share."""
        status = self._statuses.get(store)
        if status is None:
            return 0
        total = status.memory_bytes + status.disk_bytes
        used = status.memory_used_bytes + status.disk_used_bytes
        return max(0, used - int(total * (1.0 - FREE_SPACE_SHARE)))

    async def _async_poll(self, store: KvStore) -> bool:
        try:
            status = await self._client.async_status(store.url.rstrip("/"))
        except StoreUnavailableError as error:
            if self._statuses.pop(store.name, None) is not None:
                LOGGER.warning("store_unavailable", store=store.name, reason=str(error))
            return self._is_newly_lost(store.name)
        self._statuses[store.name] = status
        self._last_status_at_s[store.name] = _now_s()
        return False

    def _is_newly_lost(self, store: StoreId) -> bool:
        last_status_at_s = self._last_status_at_s.get(store)
        if last_status_at_s is None or _now_s() - last_status_at_s < STORE_LOST_AFTER_S:
            return False
        del self._last_status_at_s[store]
        return True

    def _workspace_share(self, workspace: WorkspaceId) -> float:
        declared = self._configuration.workspace(workspace)
        if declared is None:
            return 0.0
        entries = min(INSTANCES_PER_WORKSPACE, max(1, len(self._directory.peers())))
        return declared.limits.link_share / entries


def _link_settings(link: Link, entries: int) -> LinkSettings:
    return LinkSettings(
        store=link.store,
        bytes_per_s=link.bytes_per_s,
        background_share=link.background_share,
        entries=entries,
    )


def _store_space(store: KvStore, status: StoreStatus) -> StoreSpace:
    return StoreSpace(
        store=store.name,
        failure_domain=store.failure_domain,
        memory_free_bytes=status.memory_bytes - status.memory_used_bytes,
        disk_free_bytes=status.disk_bytes - status.disk_used_bytes,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()

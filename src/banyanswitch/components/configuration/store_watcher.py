"""Polling of the platform for newly accepted revisions."""

import asyncio
import random

import structlog

from banyanswitch.components.configuration.const import (
    BACKGROUND_READS_PER_S,
    PEER_CHECK_INTERVAL_S,
    PEER_CONTENT_WAIT_S,
    PEER_DISCOVERY_TIMEOUT_S,
    STORE_READ_DELAY_S,
    WATCH_INTERVAL_S,
    WATCHER_COUNT,
)
from banyanswitch.components.configuration.content_updater import ContentUpdater
from banyanswitch.components.configuration.coordinator import ConfigurationCoordinator
from banyanswitch.components.configuration.models import Head
from banyanswitch.components.configuration.repository import ConfigurationRepository
from banyanswitch.components.configuration.watchers import choose_watchers
from banyanswitch.exceptions import PlatformError
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import Peer, PeerDirectory

LOGGER = structlog.get_logger(__name__)


class StoreWatcher:
    """Poll the head in the table service and activate new content.

    A few instances, the watchers, poll it at each interval. All others together make
    at most two reads per second on average, in case the watchers can't reach the
    platform. A non-watcher without content waits for its peers before it reads the
    platform.

    Parameters
    ----------
    repository : ConfigurationRepository
        Reads accepted revisions.
    updater : ContentUpdater
        Active content.
    coordinator : ConfigurationCoordinator
        Activates content and announces it.
    directory : PeerDirectory
        Live instances.
    generator : random.Random
        Varies the waits, and chooses when a non-watcher reads.
    """

    def __init__(
        self,
        repository: ConfigurationRepository,
        updater: ContentUpdater,
        coordinator: ConfigurationCoordinator,
        *,
        directory: PeerDirectory,
        generator: random.Random,
    ) -> None:
        self._repository = repository
        self._updater = updater
        self._coordinator = coordinator
        self._directory = directory
        self._random = generator
        self._is_platform_readable = True
        self._peer_wait_ends_at_s = 0.0
        self._discovery_ends_at_s = 0.0
        self._last_peers: tuple[Peer, ...] = ()
        self._watchers: tuple[InstanceId, ...] = ()

    async def async_run(self) -> None:
        """Poll until cancelled."""
        started_at_s = asyncio.get_running_loop().time()
        wait_s = PEER_CONTENT_WAIT_S * self._random.uniform(1.0, 2.0)
        self._peer_wait_ends_at_s = started_at_s + wait_s
        await asyncio.sleep(STORE_READ_DELAY_S * self._random.uniform(0.5, 1.0))
        self._discovery_ends_at_s = started_at_s + PEER_DISCOVERY_TIMEOUT_S
        while True:
            if self._is_awaiting_discovery():
                await asyncio.sleep(PEER_CHECK_INTERVAL_S)
                continue
            if self._is_read_due():
                await self.async_read()
            await asyncio.sleep(WATCH_INTERVAL_S * self._random.uniform(0.9, 1.1))

    async def async_read(self) -> None:
        """Read the head, and activate its content if its revision is later."""
        try:
            accepted = await self._repository.async_head()
            if accepted.head is not None:
                await self._async_apply(accepted.head)
        except PlatformError as error:
            if self._is_platform_readable:
                LOGGER.warning("configuration_not_readable", reason=str(error))
            self._is_platform_readable = False
            return
        if not self._is_platform_readable:
            LOGGER.info("configuration_readable_again")
        self._is_platform_readable = True

    async def _async_apply(self, head: Head) -> None:
        active = self._updater.content
        if head.revision <= active.revision:
            return
        self._updater.record_digest(head.revision, head.digest)
        if active.revision >= head.snapshot_revision:
            deltas = await self._repository.async_deltas(active.revision)
            await self._coordinator.async_apply_deltas(deltas)
            return
        content = await self._repository.async_content(head, active)
        await self._coordinator.async_apply_content(content)

    def _is_awaiting_discovery(self) -> bool:
        is_alone = len(self._directory.peers()) < 2
        now_s = asyncio.get_running_loop().time()
        return is_alone and now_s < self._discovery_ends_at_s

    def _is_read_due(self) -> bool:
        peers = self._directory.peers()
        this_instance = self._directory.this_instance().instance
        if peers is not self._last_peers:
            self._last_peers = peers
            self._watchers = choose_watchers(peers, WATCHER_COUNT)
        if this_instance in self._watchers:
            return True
        now_s = asyncio.get_running_loop().time()
        if self._updater.content.revision == 0:
            return now_s >= self._peer_wait_ends_at_s
        reads_per_interval = BACKGROUND_READS_PER_S * WATCH_INTERVAL_S
        return self._random.random() < reads_per_interval / max(1, len(peers))

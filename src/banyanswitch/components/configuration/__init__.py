"""The active configuration: stored encoded, replicated between instances."""

import random

from banyanswitch.components.configuration.cleanup import ConfigurationCleanup
from banyanswitch.components.configuration.const import DOMAIN
from banyanswitch.components.configuration.content_updater import ContentUpdater
from banyanswitch.components.configuration.coordinator import ConfigurationCoordinator
from banyanswitch.components.configuration.repository import ConfigurationRepository
from banyanswitch.components.configuration.store_watcher import StoreWatcher
from banyanswitch.components.configuration.view import ActiveConfiguration
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.helpers.wall_clock import WallClock
from banyanswitch.interfaces import (
    ConfigurationView,
    LeaseManager,
    ObjectStore,
    PeerDirectory,
    PeerTransport,
    TableStore,
)

__all__ = ["DOMAIN", "async_setup"]


async def async_setup(kernel: Kernel) -> None:
    """Provide the active configuration and keep it up to date."""
    active = ActiveConfiguration()
    directory = kernel.require(PeerDirectory)
    generator = kernel.require(random.Random)
    updater = ContentUpdater(active, kernel.bus)
    coordinator = ConfigurationCoordinator(
        updater, directory, kernel.require(PeerTransport), generator
    )
    repository = ConfigurationRepository(
        kernel.require(TableStore), kernel.require(ObjectStore)
    )
    watcher = StoreWatcher(
        repository, updater, coordinator, directory=directory, generator=generator
    )
    cleanup = ConfigurationCleanup(
        kernel.require(TableStore),
        kernel.require(ObjectStore),
        kernel.require(LeaseManager),
        active,
        kernel.require(WallClock),
    )
    kernel.provide(ConfigurationView, active)
    kernel.create_task(coordinator.async_run_messages(), "configuration_messages")
    kernel.create_task(
        coordinator.async_run_announcements(), "configuration_announcements"
    )
    kernel.create_task(watcher.async_run(), "configuration_watcher")
    kernel.create_task(cleanup.async_run(), "configuration_cleanup")


REGISTRY.register(
    DOMAIN, async_setup, depends_on=("table_service", "peers", "membership", "lease")
)

"""Leases on duties, which are carried out by one instance at a time."""

import asyncio
import random
import uuid
from typing import cast

from banyanswitch.components.lease.const import DOMAIN
from banyanswitch.components.lease.coordinator import LeaseCoordinator
from banyanswitch.components.table_service.const import DOMAIN as PLATFORM_DOMAIN
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.interfaces import LeaseManager, PeerDirectory, TableStore
from banyanswitch.settings import EntrySettings

__all__ = ["DOMAIN", "LeaseCoordinator", "async_setup"]


async def async_setup(kernel: Kernel) -> None:
    """Provide the lease manager and start its renewal task."""
    settings = cast(EntrySettings, kernel.settings)
    coordinator = LeaseCoordinator(
        table=kernel.require(TableStore),
        peers=kernel.require(PeerDirectory),
        holder=f"{settings.instance}/{uuid.uuid4().hex}",
        lease_s=settings.lease_s,
        generator=kernel.require(random.Random),
        on_change=kernel.bus.publish,
    )
    kernel.provide(LeaseManager, coordinator)
    task = kernel.create_task(coordinator.async_run(), DOMAIN)

    async def async_stop() -> None:
        task.cancel()
        await asyncio.wait({task})
        await coordinator.async_release_all()

    kernel.on_stop(DOMAIN, async_stop)


REGISTRY.register(DOMAIN, async_setup, depends_on=(PLATFORM_DOMAIN, "membership"))

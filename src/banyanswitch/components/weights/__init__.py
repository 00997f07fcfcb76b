"""Reconciliation of weight versions, under one lease per model service."""

import asyncio
from typing import cast

import aiohttp

from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.lease.const import DOMAIN as LEASE_DOMAIN
from banyanswitch.components.weights.const import DOMAIN
from banyanswitch.components.weights.coordinator import WeightsCoordinator
from banyanswitch.components.weights.models import LoadOrder, OrderIssued, OrderResult
from banyanswitch.components.weights.order_sender import HttpOrderSender
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.helpers.wall_clock import WallClock
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import (
    ConfigurationView,
    LeaseManager,
    UpstreamDirectory,
)
from banyanswitch.settings import EntrySettings

__all__ = [
    "DOMAIN",
    "LoadOrder",
    "OrderIssued",
    "OrderResult",
    "WeightsCoordinator",
    "async_setup",
]


async def async_setup(kernel: Kernel) -> None:
    """Start the reconciler; each order is published as ``OrderIssued``."""
    settings = cast(EntrySettings, kernel.settings)
    session = aiohttp.ClientSession(connector=LimitedConnector())
    coordinator = WeightsCoordinator(
        configuration=kernel.require(ConfigurationView),
        directory=kernel.require(UpstreamDirectory),
        leases=kernel.require(LeaseManager),
        sender=HttpOrderSender(session, InstanceId(settings.instance)),
        wall_clock=kernel.require(WallClock),
        on_order=kernel.bus.publish,
    )
    task = kernel.create_task(coordinator.async_run(), DOMAIN)

    async def async_stop() -> None:
        task.cancel()
        await asyncio.wait({task})
        await session.close()

    kernel.on_stop(DOMAIN, async_stop)


REGISTRY.register(
    DOMAIN, async_setup, depends_on=(LEASE_DOMAIN, "configuration", "upstream_load")
)
